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
