package server

import (
	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/dispatcher"
	"damaskspread.example/damaskspread/recorder"
	"damaskspread.example/damaskspread/validator"
)

// DecisionsOf returns what the daemons take from a document.
func DecisionsOf(document *validator.Document, service string) (dispatcher.Policy, damaskspread.Objective) {
	p := newPolicies(document)
	return p.dispatch(service), p.objective()
}

// StartScheduling runs the state and scheduling of an entry with another
// placement policy, without its listeners.
func StartScheduling(t *tomb.Tomb, settings *validator.Settings, clock damaskspread.Clock, policy damaskspread.PlacementPolicy) *recorder.Recorder {
	e := &Entry{
		Settings: settings,
		Clock:    clock,
		random:   newRandom(1),
		http:     peerClient(),
		set:      metrics.NewSet(),
	}
	e.assembleState()
	e.assembleRequests()
	e.assembleScheduling()
	e.scheduler.Planner.Policy = policy
	for _, run := range []func(*tomb.Tomb) error{e.follower.Run, e.recorder.Run, e.feeder.Run, e.policies.run, e.scheduler.Run} {
		t.Go(func() error { return run(t) })
	}
	return e.recorder
}
