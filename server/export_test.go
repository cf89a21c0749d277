package server

import (
	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/dispatcher"
	"damaskspread.example/damaskspread/recorder"
	"damaskspread.example/damaskspread/validator"
)

// DocumentPolicies returns the dispatcher policy of a service and the objective
// of a document, as the daemons use them.
func DocumentPolicies(document *validator.Document, service string) (dispatcher.Policy, damaskspread.Objective) {
	p := newPolicies(document)
	return p.dispatcherPolicy(service), p.objective()
}

// StartScheduling runs the goroutines of an entry that replay the state and
// schedule tasks, with the given placement policy and without listeners.
func StartScheduling(t *tomb.Tomb, settings *validator.Settings, clock damaskspread.Clock, policy damaskspread.PlacementPolicy) *recorder.Recorder {
	e := &Entry{
		Settings:   settings,
		Clock:      clock,
		random:     newRandom(1),
		http:       peerClient(),
		metricsSet: metrics.NewSet(),
	}
	e.assembleState()
	e.assembleRequestHandling()
	e.assembleScheduling()
	e.scheduler.Planner.Policy = policy
	for _, run := range []func(*tomb.Tomb) error{e.follower.Run, e.recorder.Run, e.feeder.Run, e.policies.run, e.scheduler.Run} {
		t.Go(func() error { return run(t) })
	}
	return e.recorder
}
