package validator_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/parser"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

const minimalSettings = "[process]\nid = e1\nregion = quebec\nzone = gaspe\n"

// Guards against diagnostics that lack the place, the reason or the suggestion that
// an operator needs to correct the text.
func TestDocumentDiagnostics(t *testing.T) {
	cases := []struct {
		name, text, want string
	}{
		{"misspelled key", "[zone a]\nowner = ops\nin_servce = no\n", `d.ini:3: [zone a] in_servce: found "in_servce", expected one of the keys owner, region, in_service, drain; did you mean "in_service"?`},
		{"misspelled section", "[zoen a]\nowner = ops\n", `d.ini:1: [zoen a] found "[zoen a]", expected [zone NAME], [service NAME], [team NAME], [kind NAME] or [objective]; did you mean "zone a"?`},
		{"misspelled choice", "[kind a]\nowner = ops\nclass = bach\n", `d.ini:3: [kind a] class: found "bach", expected one of batch, latency_critical; did you mean "batch"?`},
		{"no owner", "\n[zone a]\n", `d.ini:2: [zone a] owner: found "no key owner", expected owner = a name of 1 to 63 letters, digits, _, . and -`},
		{"duration without unit", "[service a]\nowner = ops\ntimeout = 3\n", `d.ini:3: [service a] timeout: found "3", expected a duration from 1ms to 1h, such as 250ms, 3s or 15m; did you mean "3s"?`},
		{"bad boolean", "[zone a]\nowner = ops\nin_service = maybe\n", `found "maybe", expected yes or no`},
		{"reference in a boolean", "[zone a]\nowner = ops\nin_service = %(owner)s\n", `found "%(owner)s", expected yes or no`},
		{"memory without unit", "[team a]\nowner = ops\nmemory = 60\n", `found "60", expected memory with a unit`},
		{"negative processors", "[team a]\nowner = ops\nprocessors = -1\n", `found "-1", expected processors`},
		{"too precise", "[team a]\nowner = ops\nprocessors = 0.0001\n", `found "0.0001"`},
		{"memory overflow", "[team a]\nowner = ops\nmemory = 9000000000TB\n", `found "9000000000TB"`},
		{"not a number", "[objective]\nowner = ops\nevictions = NaN\n", `found "NaN"`},
		{"no weight", "[objective]\nowner = ops\ntail_latency = 0\nbatch_throughput = 0\nevictions = 0\n", `all weights are 0`},
		{"class not listed", "[service a]\nowner = ops\nclasses = preview\nidempotent = previw\n", `did you mean "preview"?`},
		{"duplicate section", "[zone a]\nowner = ops\n[zone a]\nowner = ops\n", `d.ini:3: [zone a] found "[zone a]", expected valid syntax: the section is already defined at line 1`},
		{"key outside a section", "owner = ops\n", `found "[]", expected [zone NAME]`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, diagnostics := validator.ParseDocument("d.ini", c.text)
			assert.Equal(t, len(diagnostics), 1)
			assert.Assert(t, strings.Contains(diagnostics[0].Error(), c.want), diagnostics[0].Error())
		})
	}
}

// Guards against an invalid section that invalidates others, and against a removed
// section that still takes effect.
func TestFromSectionsIsolatesFaults(t *testing.T) {
	states := []*wire.SectionState{
		{Section: "zone a", Text: "owner = ops\nin_service = no\n"},
		{Section: "zone b", Text: "owner = ops\nin_service = perhaps\n"},
		{Section: "kind render", Text: "owner = ops\nprocessors = 1.25\nmemory = 2GiB\nmay_wait = 30m\n"},
		{Section: "kind gone", Text: "owner = ops\n", Removed: true},
	}
	document, diagnostics := validator.DocumentFromSections(slices.Values(states))
	assert.Equal(t, len(diagnostics), 1)
	assert.Equal(t, diagnostics[0].Section, "zone b")
	a, ok := document.Zone("a")
	assert.Assert(t, ok && !a.InService())
	_, ok = document.Zone("b")
	assert.Assert(t, !ok)
	_, ok = document.Kind("gone")
	assert.Assert(t, !ok)
	render, _ := document.Kind("render")
	assert.Equal(t, render.Resources().GetMillicores(), int64(1250))
	assert.Equal(t, render.Resources().GetMemoryBytes(), int64(2<<30))
	assert.Equal(t, render.MayWait(), 30*time.Minute)
	assert.Equal(t, document.Objective().TailLatency(), 1.0)
}

// Guards against a reversed order of load shedding.
func TestPriority(t *testing.T) {
	document, diagnostics := validator.ParseDocument("d", "[service a]\nowner = x\nclasses = watcher, render, preview\nidempotent = preview\n")
	assert.Equal(t, len(diagnostics), 0)
	service, _ := document.Service("a")
	assert.Equal(t, service.Priority("preview"), int32(0))
	assert.Equal(t, service.Priority("watcher"), int32(2))
	assert.Equal(t, service.Priority("other"), int32(3))
	assert.Assert(t, service.Idempotent("preview") && !service.Idempotent("render"))
}

// Guards against invalid settings that are accepted: unreachable addresses, waits
// that make the replayed state stale, and hold times that are too short.
func TestSettings(t *testing.T) {
	settings, diagnostics := validator.LoadSettings("p.ini", minimalSettings)
	assert.Equal(t, len(diagnostics), 0)
	assert.Equal(t, settings.Process().Host(), "e1")
	assert.Equal(t, settings.Entry().Address(), settings.Entry().PeerListen())
	assert.Equal(t, settings.Limits().CurrencyLimit(), 3*time.Second)
	assert.Equal(t, settings.Limits().MemberHold(), 6*time.Second)
	assert.Equal(t, settings.Limits().TaskHold(), 15*time.Minute)
	assert.Equal(t, settings.Limits().KeyLifetime(), 10*time.Minute)
	cases := []struct {
		name, text, want string
	}{
		{"no process", "", "found \"no key id\""},
		{"host name as address", minimalSettings + "[log]\naddress = log:7100\n", "expected ip:port"},
		{"pprof on a non-loopback address", minimalSettings + "pprof_listen = 0.0.0.0:7403\n", "expected ip:port of a loopback address"},
		{"long read wait", minimalSettings + "[log]\nread_wait = 2s\n", `[log] read_wait: found "2s", expected at most half of currency_limit (3s)`},
		{"short member hold", minimalSettings + "[limits]\nmember_hold = 1s\n", "expected at least twice sync_wait (1.25s)"},
		{"short task hold", minimalSettings + "[limits]\ntask_hold = 2s\n", "expected at least member_hold (6s)"},
		{"unreachable address", minimalSettings + "[agent]\nlisten = 0.0.0.0:7410\n", "an IP address that other processes can reach"},
		{"currency limit too long", minimalSettings + "[limits]\ncurrency_limit = 5s\n", "a duration from 100ms to 4s"},
		{"entry listed twice", minimalSettings + "[agent]\nentries = 10.0.0.1:1, 10.0.0.1:1\n", "expected a comma-separated list of ip:port"},
		{"misspelled section", minimalSettings + "[limit]\n", `did you mean "limits"?`},
		{"duplicate section", minimalSettings + "[log]\n[log]\n", "is already defined at line 5"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, diagnostics := validator.LoadSettings("p.ini", c.text)
			assert.Assert(t, len(diagnostics) > 0)
			assert.Assert(t, strings.Contains(diagnostics[0].Error(), c.want), diagnostics[0].Error())
		})
	}
}

// Guards against defaults that are invalid values of their key.
func TestDefaultsAreValid(t *testing.T) {
	text := strings.NewReplacer("# id =   (required)", "id = a", "# region =   (required)", "region = a",
		"# zone =   (required)", "zone = a").Replace(validator.FormatDefaults(validator.SettingsSchema()))
	_, diagnostics := validator.LoadSettings("defaults", text)
	assert.Equal(t, len(diagnostics), 0, "%v", diagnostics)
	text = strings.NewReplacer("# owner =   (required)", "owner = a", " NAME]", " a]").Replace(
		validator.FormatDefaults(validator.DocumentSchema()))
	_, diagnostics = validator.ParseDocument("defaults", text)
	assert.Equal(t, len(diagnostics), 0, "%v", diagnostics)
}

// Guards against text that makes validation panic, and against a section that is
// valid in a document but invalid once its body is published.
func FuzzCheckText(f *testing.F) {
	f.Add("[zone a]\nowner = ops\nin_service = no\n[service b]\nowner = x\nclasses = a, b\ntimeout = 2s\n")
	f.Add("[team a]\nowner = x\nprocessors = 1.5\nmemory = 3GiB\nshare = 2\n[objective]\nowner = x\nevictions = 3\n")
	f.Add("[zoen a]\n=\n")
	f.Fuzz(func(t *testing.T, text string) {
		document, diagnostics := validator.ParseDocument("f", text)
		if len(diagnostics) > 0 {
			return
		}
		var states []*wire.SectionState
		for _, section := range parser.Parse("f", text).Sections() {
			states = append(states, &wire.SectionState{
				Section: section.Name(),
				Text:    section.Body(),
			})
		}
		published, diagnostics := validator.DocumentFromSections(slices.Values(states))
		assert.Equal(t, len(diagnostics), 0)
		for zone := range document.Zones() {
			other, ok := published.Zone(zone.Name())
			assert.Assert(t, ok && *other == *zone)
		}
	})
}
