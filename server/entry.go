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
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/dispatcher"
	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/feeder"
	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/operator"
	"damaskspread.example/damaskspread/placer"
	"damaskspread.example/damaskspread/recorder"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/retrier"
	"damaskspread.example/damaskspread/router"
	"damaskspread.example/damaskspread/scheduler"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
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

func (e *Entry) assembleState() {
	s := e.Settings
	logClient := &connector.Log{
		Address: "http://" + s.Log().Address(),
		HTTP:    e.http,
		Timeout: s.Log().AppendTimeout(),
	}
	e.follower = &follower.Follower{
		Log:           logClient,
		Clock:         e.Clock,
		Region:        s.Process().Region(),
		Peers:         e.peers,
		HTTP:          e.http,
		Random:        newRandom(e.random.Uint64()),
		ReadWait:      s.Log().ReadWait(),
		CallTimeout:   s.Log().ReadTimeout(),
		SnapshotEvery: int64(s.Limits().SnapshotEvery()),
	}
	e.recorder = &recorder.Recorder{
		Log:              logClient,
		Clock:            e.Clock,
		Region:           s.Process().Region(),
		Applied:          e.follower,
		MaxRecords:       s.Limits().BatchRecords(),
		AppendsPerSecond: s.Limits().AppendsPerSecond(),
		AppendTimeout:    s.Log().AppendTimeout(),
	}
	e.estimates = &estimator.Estimator{
		Clock: e.Clock,
	}
	e.policies = &entryPolicies{
		source: e.follower,
	}
	e.auditor = &auditor.Auditor{
		Source: e.follower.Subscribe(),
		View:   e.follower.View,
	}
}

// peers returns the addresses of the other entry processes: the configured
// ones, which help a process that starts with empty memory, and those in the
// state.
func (e *Entry) peers() []string {
	s := e.Settings
	seen := map[string]bool{
		s.Entry().Address(): true,
	}
	var addresses []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range s.Entry().Peers() {
		add(address)
	}
	e.follower.View(func(state *replayer.State) {
		for entry := range state.Entries() {
			add(entry.GetEntry().GetAddress())
		}
	})
	return addresses
}

// loadObservers passes endpoint loads to routing and to the estimates.
type loadObservers []damaskspread.LoadObserver

// ObserveLoad implements damaskspread.LoadObserver.
func (l loadObservers) ObserveLoad(host string, load *wire.EndpointLoad) {
	for _, observer := range l {
		observer.ObserveLoad(host, load)
	}
}

func (e *Entry) assembleRequests() {
	s := e.Settings
	e.router = &router.Router{
		Clock: e.Clock,
		Zone:  s.Process().Zone(),
		Seed:  e.random.Uint64(),
	}
	e.feeder = &feeder.Feeder{
		Follower: e.follower,
		Recorder: e.recorder,
		Clock:    e.Clock,
		Entry: &wire.EntryAlive{
			Entry:   s.Process().ID(),
			Address: s.Entry().Address(),
			Region:  s.Process().Region(),
			Zone:    s.Process().Zone(),
		},
		Loads:         loadObservers{e.router, e.estimates},
		Usage:         e.estimates,
		BatchShare:    e.batchShare,
		MemberHold:    s.Limits().MemberHold(),
		CurrencyLimit: s.Limits().CurrencyLimit(),
		MaxSyncWait:   s.Limits().SyncWait(),
	}
	e.dispatcher = &dispatcher.Dispatcher{
		Follower: e.follower,
		Router:   e.router,
		Retries: &retrier.Retrier{
			Share:  s.Limits().RetryPercent() / 100,
			Burst:  retryBurst,
			Base:   backoffBase,
			Max:    backoffMax,
			Tries:  tries,
			MinTry: minTry,
			Random: newRandom(e.random.Uint64()),
		},
		HTTP:          e.http,
		Clock:         e.Clock,
		CurrencyLimit: s.Limits().CurrencyLimit(),
		Policies:      func(service string) dispatcher.Policy { return e.policies.load().dispatch(service) },
		DrainDelay:    s.Entry().DrainDelay(),
	}
}

func (e *Entry) assembleScheduling() {
	s := e.Settings
	index := placer.NewIndex()
	index.RampTime = zoneRamp
	policy := &placer.Spread{
		Index:        index,
		Interference: e.estimates,
		Random:       newRandom(e.random.Uint64()),
	}
	e.scheduler = &scheduler.Scheduler{
		Follower:     e.follower,
		Subscription: e.follower.Subscribe(),
		Recorder:     e.recorder,
		Clock:        e.Clock,
		Fence:        e.fence,
		Planner: &scheduler.Planner{
			Entry:     s.Process().ID(),
			Index:     index,
			Policy:    policy,
			Estimates: e.estimates,
			Teams:     func(name string) scheduler.Team { return e.policies.load().team(name) },
			Limits: scheduler.Limits{
				CurrencyLimit: s.Limits().CurrencyLimit(),
				TaskHold:      s.Limits().TaskHold(),
			},
			Random: newRandom(e.random.Uint64()),
		},
	}
}

// fence makes a worker whose agent is gone stop its tasks, so that they need
// not wait for the end of their leases.
func (e *Entry) fence(ctx context.Context, host *wire.HostSpec, minToken int64) error {
	worker := &connector.Worker{
		Address: "http://" + host.GetWorkerAddress(),
		HTTP:    e.http,
	}
	return worker.Fence(ctx, host.GetWorkerBoot(), minToken)
}

// batchShare is the smallest share that the estimates ask of a batch task on
// the host.
func (e *Entry) batchShare(host string) int {
	share := 0
	for _, throttle := range e.scheduler.Throttles() {
		if throttle.Host == host && (share == 0 || throttle.Permille < share) {
			share = throttle.Permille
		}
	}
	return share
}

func (e *Entry) listen() error {
	s := e.Settings
	router := bunrouter.New()
	e.operator().Register(router)
	requests := countOutcomes(e.set, e.Clock, e.dispatcher)
	router.POST("/v1/services/:service/requests/*path", bunrouter.HTTPHandler(requests))
	peers := http.NewServeMux()
	peers.Handle(wireconnect.NewEntryServiceHandler(e.feeder))
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

func (e *Entry) operator() *operator.Handler {
	return &operator.Handler{
		State:         e.follower,
		Appender:      e.recorder,
		Audit:         e.auditor,
		Clock:         e.Clock,
		Entry:         e.Settings.Process().ID(),
		Version:       e.Version,
		CurrencyLimit: e.Settings.Limits().CurrencyLimit(),
		Explain: func(task string) any {
			explanation, ok := e.scheduler.Explain(task)
			if !ok {
				return nil
			}
			return explanation
		},
	}
}

func (e *Entry) checks() []monitor.Check {
	return []monitor.Check{
		{
			Name:    "configuration_current",
			Failing: staleReason(e.follower, e.Settings.Limits().CurrencyLimit()),
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
