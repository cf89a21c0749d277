package operator_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// Guards against the answer that a change is in force, from a state that does not
// have the records that reverted it: the log would never get the change.
func TestChangeIsNotUnchangedByAnOldState(t *testing.T) {
	f := newFixture(t)
	f.handler.Clock = clockwork.NewRealClock()
	f.handler.CurrencyLimit = 200 * time.Millisecond
	team := client.TeamRequest{
		Team: "ops",
	}
	publication := client.PublishRequest{
		Team: "ops",
		Text: twoSections,
	}
	f.publish("ops", twoSections, nil)
	var zone client.Zone
	var failure client.ErrorResponse
	f.age = func() time.Duration { return time.Hour }
	assert.Equal(t, f.call(http.MethodPost, "/v1/zones/a/in", team, &failure), http.StatusServiceUnavailable)
	assert.Equal(t, failure.Error.Outcome, client.OutcomeNotRun)
	assert.Equal(t, f.call(http.MethodPost, "/v1/config/publish", publication, &failure), http.StatusServiceUnavailable)
	assert.Equal(t, failure.Error.Outcome, client.OutcomeNotRun)
	looks := 0
	f.age = func() time.Duration {
		if looks++; looks > 1 {
			return 0
		}
		f.takeZoneOut("a")
		return time.Hour
	}
	assert.Equal(t, f.call(http.MethodPost, "/v1/zones/a/in", team, &zone), http.StatusOK)
	assert.Assert(t, zone.InService && zone.Changed)
}

// takeZoneOut applies the record of another entry process.
func (f *fixture) takeZoneOut(zone string) {
	f.t.Helper()
	var base *wire.Position
	f.View(func(state *replayer.State) {
		section, _ := state.Section("zone " + zone)
		base = section.GetPosition()
	})
	f.apply([]*wire.Record{{
		Id:    "out",
		Actor: "ops/ana",
		Body: &wire.Record_SectionPublished{
			SectionPublished: &wire.SectionPublished{
				Section: "zone " + zone,
				Text:    "owner = ops\nin_service = no\n",
				Base:    base,
				Team:    "ops",
			},
		},
	}})
}
