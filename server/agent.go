package server

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/oops"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/admitter"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/deduplicator"
	"damaskspread.example/damaskspread/executor"
	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/subscriber"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

const (
	// maxQueuedPerSlot bounds the waiting requests for each slot of the
	// endpoint. A longer queue takes longer than the deadline of a
	// latency-critical request.
	maxQueuedPerSlot = 8
	// workerStatusTimeout bounds the wait for the worker's status at the start.
	// If it passes, the agent joins for its endpoint only, and joins again with
	// the worker once the worker responds.
	workerStatusTimeout = 2 * time.Second
	// routeUpdateDelay is the wait between the host's leave and the closing of
	// its connections. Entry processes read the leave from the log meanwhile.
	// Closing earlier would break off requests that they are sending.
	routeUpdateDelay = time.Second
)

// Agent is the agent daemon of one host. Settings and Clock are set before Run.
type Agent struct {
	Settings *validator.Settings
	Clock    damaskspread.Clock

	// embedded is set in a daemon of a Dev process, which has set the logger.
	embedded   bool
	http       *http.Client
	worker     *connector.Worker
	subscriber *subscriber.Subscriber
	executor   *executor.Executor
	// admitter and dedup are nil without an endpoint, executor without a
	// worker.
	admitter  *admitter.Admitter
	dedup     *deduplicator.Deduplicator
	policies  agentPolicyCache
	stopping  atomic.Bool
	listeners []*listener
}

// Run serves until the context ends and then shuts down gracefully. It returns
// an error if an address is in use or a goroutine of the agent fails.
func (a *Agent) Run(ctx context.Context) error {
	seed := processSeed(a.Settings)
	if !a.embedded {
		setLogger(a.Settings)
	}
	a.http = peerClient()
	a.assembleSubscriber(ctx, seed)
	a.assembleRequestHandling()
	a.assembleTaskExecution()
	if err := a.listen(); err != nil {
		closeAll(a.listeners)
		return err
	}
	t := &tomb.Tomb{}
	a.start(t)
	log.Info().Str("listen", a.Settings.Agent().Listen()).Uint64("seed", seed).Msg("agent started")
	select {
	case <-ctx.Done():
		a.stop()
	case <-t.Dying():
	}
	t.Kill(nil)
	closeAll(a.listeners)
	return oops.In("agent").Wrap(t.Wait())
}

func (a *Agent) listen() error {
	s := a.Settings
	peerMux := http.NewServeMux()
	if a.admitter != nil {
		peerMux.Handle(wireconnect.NewAgentServiceHandler(a.admitter, connector.CompressLargeResponses()))
	}
	m := &monitor.Monitor{
		Checks:  a.checks(),
		Metrics: a.metrics(),
	}
	monitorMux := http.NewServeMux()
	monitorMux.Handle("/", m.Handler())
	if a.admitter != nil {
		monitorMux.Handle("POST /leave", a.admitter.LeaveHandler())
	}
	return listenAll(&a.listeners, s, []listenerSpec{
		{name: "entries and agents", address: s.Agent().Listen(), handler: peerMux},
		{name: "monitoring", address: s.Process().MonitorListen(), handler: monitorMux},
	})
}

func (a *Agent) checks() []monitor.Check {
	return []monitor.Check{
		{
			Name:    "configuration_current",
			Failing: staleConfigReason(a.subscriber, a.Settings.Limits().CurrencyLimit()),
		},
		{
			Name: "joined",
			Failing: func() string {
				if a.subscriber.View().Joined() {
					return ""
				}
				return "the host has not joined yet"
			},
		},
		{
			Name: "accepting",
			Failing: func() string {
				if a.stopping.Load() || a.subscriber.View().Leaving() {
					return "the host is leaving"
				}
				return ""
			},
		},
	}
}

func (a *Agent) start(t *tomb.Tomb) {
	for _, l := range a.listeners {
		l.run(t)
	}
	runFuncs := []func(*tomb.Tomb) error{a.subscriber.Run}
	if a.executor != nil {
		runFuncs = append(runFuncs, a.executor.Run, a.evictOnHostDrain)
	}
	if a.admitter != nil {
		runFuncs = append(runFuncs, a.dedup.Run, a.admitter.Run, a.assignShards)
	}
	for _, run := range runFuncs {
		t.Go(func() error { return run(t) })
	}
}

// evictOnHostDrain evicts the host's tasks as soon as an operator drains the
// host. The scheduler evicts the tasks of a leaving host only after a minute,
// because to the scheduler a restart of the agent looks the same as a drain.
func (a *Agent) evictOnHostDrain(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		changed := a.subscriber.Changed()
		if a.subscriber.View().Leaving() && !a.subscriber.LeaveCalled() {
			break
		}
		select {
		case <-changed:
		case <-t.Dying():
			return nil
		}
	}
	log.Info().Msg("host drained by operator, evicting its tasks")
	if err := a.executor.Drain(ctx); err != nil {
		log.Warn().Err(err).Msg("evicting the tasks of the drained host failed")
	}
	return nil
}

// assignShards passes the host's shards to the deduplicator at each change of
// the subscriber's view.
func (a *Agent) assignShards(t *tomb.Tomb) error {
	for {
		changed := a.subscriber.Changed()
		a.assignShardsOf(a.subscriber.View())
		select {
		case <-changed:
		case <-t.Dying():
			return nil
		}
	}
}

func (a *Agent) assignShardsOf(view *subscriber.View) {
	assignments := make([]deduplicator.Assignment, 0, len(view.Shards()))
	for _, shard := range view.Shards() {
		assignments = append(assignments, deduplicator.Assignment{
			State:            shard.GetState(),
			Previous:         shard.GetState().GetPreviousEpoch(),
			PrimaryAddress:   shard.GetPrimaryAddress(),
			SecondaryAddress: shard.GetSecondaryAddress(),
		})
	}
	a.dedup.Assign(a.subscriber.Ref(), assignments)
}

// stop refuses new requests and waits for those in progress, at most for the
// drain timeout. Meanwhile it records the host's leave, and it serves the
// idempotency keys of its shards until the leave has given them to other hosts.
// Tasks keep running; the next agent process of the host adopts them.
func (a *Agent) stop() {
	log.Info().Msg("agent stopping")
	a.stopping.Store(true)
	a.listeners[0].draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), a.Settings.Limits().DrainTimeout())
	defer cancel()
	leaveErr := make(chan error, 1)
	go func() { leaveErr <- a.leave(ctx) }()
	if a.admitter != nil {
		if err := a.admitter.Drain(ctx); err != nil {
			log.Warn().Err(err).Msg("requests still running after drain_timeout")
		}
	}
	if err := <-leaveErr; err != nil {
		log.Warn().Err(err).Msg("recording the leave failed")
	}
	select {
	case <-a.Clock.After(routeUpdateDelay):
	case <-ctx.Done():
	}
	if err := a.listeners[0].drain(ctx); err != nil && !errors.Is(err, context.Canceled) {
		log.Warn().Err(err).Msg("connections still busy after drain_timeout")
	}
}

func (a *Agent) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return a.subscriber.Leave(ctx)
}
