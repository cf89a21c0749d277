// Package server assembles the daemons from the other packages: listeners,
// goroutines, readiness, and the order of a planned stop.
//
// An Entry or Agent owns its listeners and one tomb, which runs every duty of
// the process. A planned stop first turns readiness off, then lets running
// requests finish, then announces the departure in the log, and ends the tomb
// last.
//
// Open questions: connections between own processes are not encrypted.
package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/samber/oops"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/auditor"
	"damaskspread.example/damaskspread/dispatcher"
	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/feeder"
	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/recorder"
	"damaskspread.example/damaskspread/router"
	"damaskspread.example/damaskspread/scheduler"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

const (
	// tries divides a caller's deadline between endpoints.
	tries  = 3
	minTry = 50 * time.Millisecond
	// A retry waits long enough for the load view to change, and much less
	// than the deadline of an urgent request.
	backoffBase = 5 * time.Millisecond
	backoffMax  = 250 * time.Millisecond
	retryBurst  = 20
	// zoneRamp lets a returned zone fill gradually.
	zoneRamp = 30 * time.Second
	// loadLag is the age of a reported service time: agents report with each
	// Sync, about once a second, a mean over the last few requests.
	loadLag = time.Second
	// leaveTimeout bounds the record of a departure; without it the others
	// notice the silence after member_hold.
	leaveTimeout = 3 * time.Second
)

// Entry is the entry daemon.
type Entry struct {
	Settings *validator.Settings
	Clock    damaskspread.Clock
	Version  string
	// embedded processes share the logger of dev.
	embedded   bool
	http       *http.Client
	random     *rand.Rand
	set        *metrics.Set
	follower   *follower.Follower
	recorder   *recorder.Recorder
	feeder     *feeder.Feeder
	estimates  *estimator.Estimator
	router     *router.Router
	dispatcher *dispatcher.Dispatcher
	scheduler  *scheduler.Scheduler
	auditor    *auditor.Auditor
	policies   *entryPolicies
	stopping   atomic.Bool
	listeners  []*listener
}

// Run serves until the context ends, then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	seed := processSeed(e.Settings)
	if !e.embedded {
		setLogger(e.Settings)
	}
	e.random = newRandom(seed)
	e.http = peerClient()
	e.set = metrics.NewSet()
	e.assembleState()
	e.assembleRequests()
	e.assembleScheduling()
	if err := e.listen(); err != nil {
		closeAll(e.listeners)
		return err
	}
	t := &tomb.Tomb{}
	e.start(t)
	log.Info().Str("listen", e.Settings.Entry().Listen()).Uint64("seed", seed).Msg("entry started")
	select {
	case <-ctx.Done():
		e.stop()
	case <-t.Dying():
	}
	t.Kill(nil)
	closeAll(e.listeners)
	return oops.In("entry").Wrap(t.Wait())
}

func (e *Entry) listen() error {
	s := e.Settings
	router := bunrouter.New()
	e.operator().Register(router)
	requests := countOutcomes(e.set, e.Clock, e.dispatcher)
	router.POST("/v1/services/:service/requests/*path", bunrouter.HTTPHandler(requests))
	peers := http.NewServeMux()
	peers.Handle(wireconnect.NewEntryServiceHandler(e.feeder, compressLarge))
	m := &monitor.Monitor{
		Checks:  e.checks(),
		Metrics: e.metrics(),
	}
	return listenAll(&e.listeners, s, []endpointListener{
		{name: "callers and operators", address: s.Entry().Listen(), handler: router},
		{name: "agents and entries", address: s.Entry().PeerListen(), handler: peers},
		{name: "monitoring", address: s.Process().MonitorListen(), handler: m.Handler()},
	})
}

func (e *Entry) checks() []monitor.Check {
	return []monitor.Check{
		{
			Name:    "configuration_current",
			Failing: staleReason(e.follower, e.Settings.Limits().CurrencyLimit()),
		},
		{
			Name: "history_complete",
			Failing: func() string {
				if err := e.follower.Err(); err != nil {
					return err.Error()
				}
				return ""
			},
		},
		{
			Name: "routing",
			Failing: func() string {
				if e.dispatcher.Routed() {
					return ""
				}
				return "the endpoints are not known yet"
			},
		},
		{
			Name: "accepting",
			Failing: func() string {
				if e.stopping.Load() {
					return "the process is stopping"
				}
				return ""
			},
		},
	}
}

func (e *Entry) start(t *tomb.Tomb) {
	for _, l := range e.listeners {
		l.run(t)
	}
	runs := []func(*tomb.Tomb) error{
		e.follower.Run, e.recorder.Run, e.feeder.Run, e.policies.run,
		e.auditor.Run, e.dispatcher.Run, e.scheduler.Run,
	}
	for _, run := range runs {
		t.Go(func() error { return run(t) })
	}
}

// stop finishes running requests before the departure is announced, because
// the agents of this process attach to another one afterwards.
func (e *Entry) stop() {
	log.Info().Msg("entry stopping")
	e.stopping.Store(true)
	e.listeners[0].draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), e.Settings.Limits().DrainTimeout())
	defer cancel()
	if err := e.dispatcher.Drain(ctx); err != nil {
		log.Warn().Err(err).Msg("requests were still running at the end of drain_timeout")
	}
	if err := e.listeners[0].drain(ctx); err != nil {
		log.Warn().Err(err).Msg("connections were still busy at the end of drain_timeout")
	}
	leave, done := context.WithTimeout(context.Background(), leaveTimeout)
	defer done()
	if err := e.feeder.Leave(leave); err != nil {
		log.Warn().Err(err).Msg("the departure was not recorded")
	}
}
