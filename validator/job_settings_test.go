package validator_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/validator"
)

const validJobSettings = `[process]
id = edge-1
zone = kemper

[listen]
callers = 10.0.0.1:80

[peers]
log = 10.0.0.9:1

[bounds]
lease_max = 6000ms
grace = 1.5s
`

// Guards against keys that are ignored or stored in the wrong field.
func TestJobSettings(t *testing.T) {
	settings, diagnostics := validator.LoadJobSettings("x.ini", validJobSettings)
	assert.Equal(t, len(diagnostics), 0, "%v", diagnostics)
	assert.Equal(t, settings.Process().ID(), "edge-1")
	assert.Equal(t, settings.Listen().Callers(), "10.0.0.1:80")
	assert.Equal(t, settings.Listen().Ready(), "")
	assert.Equal(t, settings.Bounds().LeaseMax(), 6*time.Second)
	assert.Equal(t, settings.Bounds().Grace(), 1500*time.Millisecond)
	assert.Equal(t, settings.Bounds().StatusFor(), 2*time.Minute)
}

// Guards against copies that are on by default, and against a misspelled key that leaves
// them off without a word.
func TestSpeculativeCopiesSetting(t *testing.T) {
	settings, diagnostics := validator.LoadJobSettings("x.ini", validJobSettings)
	assert.Equal(t, len(diagnostics), 0, "%v", diagnostics)
	assert.Assert(t, !settings.Scheduling().SpeculativeCopies())
	settings, diagnostics = validator.LoadJobSettings("x.ini", validJobSettings+"[scheduling]\nspeculative_copies = yes\n")
	assert.Equal(t, len(diagnostics), 0, "%v", diagnostics)
	assert.Assert(t, settings.Scheduling().SpeculativeCopies())
	_, diagnostics = validator.LoadJobSettings("x.ini", validJobSettings+"[scheduling]\nspeculative_copy = yes\n")
	assert.Equal(t, len(diagnostics), 1, "%v", diagnostics)
	assert.Assert(t, strings.Contains(diagnostics[0].Error(), `did you mean "speculative_copies"?`), "%v", diagnostics[0])
}

// Guards against pacing that is on by default, and against a misspelled key that leaves it
// off without a word.
func TestPacedRecoverySetting(t *testing.T) {
	settings, diagnostics := validator.LoadJobSettings("x.ini", validJobSettings)
	assert.Equal(t, len(diagnostics), 0, "%v", diagnostics)
	assert.Assert(t, !settings.Scheduling().PacedRecovery())
	settings, diagnostics = validator.LoadJobSettings("x.ini", validJobSettings+"[scheduling]\npaced_recovery = yes\n")
	assert.Equal(t, len(diagnostics), 0, "%v", diagnostics)
	assert.Assert(t, settings.Scheduling().PacedRecovery())
	_, diagnostics = validator.LoadJobSettings("x.ini", validJobSettings+"[scheduling]\npace_recovery = yes\n")
	assert.Equal(t, len(diagnostics), 1, "%v", diagnostics)
	assert.Assert(t, strings.Contains(diagnostics[0].Error(), `did you mean "paced_recovery"?`), "%v", diagnostics[0])
}

// Guards against a process that starts with invalid settings.
func TestInvalidJobSettings(t *testing.T) {
	for _, change := range [][2]string{
		{"id = edge-1\n", ""},
		{"log = 10.0.0.9:1", "log = nowhere"},
		{"lease_max = 6000ms", "lease_max = 6000"},
		{"lease_max", "lease_maximum"},
		{"[bounds]", "[bound]"},
	} {
		_, diagnostics := validator.LoadJobSettings("x.ini", strings.Replace(validJobSettings, change[0], change[1], 1))
		assert.Assert(t, len(diagnostics) > 0, "%q", change[1])
	}
}
