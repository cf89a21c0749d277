// Package server assembles the daemons of the scheduler for latency-critical
// requests and tasks, in which all processes replay one log: entry, agent,
// emulator and dev. Package launcher assembles the processes of the scheduler for
// jobs, which stores its state under keys of a log.
//
// An Entry or Agent owns its listeners, the order of its shutdown, and one tomb
// with all its goroutines: one for each listener and one for each Run function of
// the other packages. They wait for requests, for changes of the replayed state,
// or for the tomb to die. A graceful shutdown first turns readiness off. An Entry
// then waits for requests in progress and records its leave in the log; an Agent
// does both at the same time. The tomb is killed last.
//
// Open question: connections between entries, agents and the platform are not
// encrypted.
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
	"damaskspread.example/damaskspread/connector"
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
	// maxTries bounds the tries of a request. The caller's deadline is divided
	// among them, but each try gets at least minTryTimeout.
	maxTries      = 3
	minTryTimeout = 50 * time.Millisecond
	// backoffBase and backoffMax bound the backoff before a retry: long enough
	// for the reported loads to change, much shorter than the deadline of a
	// latency-critical request.
	backoffBase = 5 * time.Millisecond
	backoffMax  = 250 * time.Millisecond
	retryBurst  = 20
	// zoneRampTime is how long a zone that returned to service takes to become
	// fully available to batch tasks.
	zoneRampTime = 30 * time.Second
	// loadLag is the age of a reported service time: agents report a mean over
	// the last few requests with each Sync, about once a second.
	loadLag = time.Second
	// leaveTimeout bounds the append of the leave record. Without the record,
	// the membership expires member_hold after the last heartbeat.
	leaveTimeout = 3 * time.Second
)

// Entry is the entry daemon. It routes callers' requests, schedules tasks and
// serves operators and agents. The exported fields are set before Run.
type Entry struct {
	Settings *validator.Settings
	Clock    damaskspread.Clock
	// Version is reported to operators.
	Version string

	// embedded is set in a daemon of a Dev process, which has set the logger.
	embedded   bool
	http       *http.Client
	random     *rand.Rand
	metricsSet *metrics.Set
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

// Run serves until the context ends and then shuts down gracefully. It returns
// an error if an address is in use or a goroutine of the entry fails.
func (e *Entry) Run(ctx context.Context) error {
	seed := processSeed(e.Settings)
	if !e.embedded {
		setLogger(e.Settings)
	}
	e.random = newRandom(seed)
	e.http = peerClient()
	e.metricsSet = metrics.NewSet()
	e.assembleState()
	e.assembleRequestHandling()
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
	routes := bunrouter.New()
	e.operator().Register(routes)
	requestHandler := instrumentRequests(e.metricsSet, e.Clock, e.dispatcher)
	routes.POST("/v1/services/:service/requests/*path", bunrouter.HTTPHandler(requestHandler))
	peerMux := http.NewServeMux()
	peerMux.Handle(wireconnect.NewEntryServiceHandler(e.feeder, connector.CompressLargeResponses()))
	m := &monitor.Monitor{
		Checks:  e.checks(),
		Metrics: e.metrics(),
	}
	return listenAll(&e.listeners, s, []listenerSpec{
		{name: "callers and operators", address: s.Entry().Listen(), handler: routes},
		{name: "agents and entries", address: s.Entry().PeerListen(), handler: peerMux},
		{name: "monitoring", address: s.Process().MonitorListen(), handler: m.Handler()},
	})
}

func (e *Entry) checks() []monitor.Check {
	return []monitor.Check{
		{
			Name:    "configuration_current",
			Failing: staleConfigReason(e.follower, e.Settings.Limits().CurrencyLimit()),
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
				if e.dispatcher.EndpointsLoaded() {
					return ""
				}
				return "the endpoints have not been read from the log yet"
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
	runFuncs := []func(*tomb.Tomb) error{
		e.follower.Run, e.recorder.Run, e.feeder.Run, e.policies.run,
		e.auditor.Run, e.dispatcher.Run, e.scheduler.Run,
	}
	for _, run := range runFuncs {
		t.Go(func() error { return run(t) })
	}
}

// stop waits for requests in progress before it records the leave, because the
// agents attached to this process switch to another one afterwards.
func (e *Entry) stop() {
	log.Info().Msg("entry stopping")
	e.stopping.Store(true)
	e.listeners[0].draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), e.Settings.Limits().DrainTimeout())
	defer cancel()
	if err := e.dispatcher.Drain(ctx); err != nil {
		log.Warn().Err(err).Msg("requests still running after drain_timeout")
	}
	if err := e.listeners[0].drain(ctx); err != nil {
		log.Warn().Err(err).Msg("connections still busy after drain_timeout")
	}
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if err := e.feeder.Leave(leaveCtx); err != nil {
		log.Warn().Err(err).Msg("recording the leave failed")
	}
}
