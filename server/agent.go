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
	// queuePerSlot bounds waiting requests; more of them than this would wait
	// longer than an urgent deadline.
	queuePerSlot = 8
	// workerProbe is how long a start waits for the worker. An agent without
	// one joins for its endpoint and again when the worker answers.
	workerProbe = 2 * time.Second
	// routeDelay lets entry processes stop choosing an agent that has left:
	// each learns of it within its read of the log and refreshes its routes
	// every 200 ms. Closing connections earlier would cut a request that an
	// entry process is just sending on one of them.
	routeDelay = time.Second
)

// Agent is the agent daemon.
type Agent struct {
	Settings *validator.Settings
	Clock    damaskspread.Clock

	// embedded processes share the logger of dev.
	embedded   bool
	http       *http.Client
	worker     *connector.Worker
	subscriber *subscriber.Subscriber
	executor   *executor.Executor
	admitter   *admitter.Admitter
	keys       *deduplicator.Deduplicator
	policies   agentPolicies
	stopping   atomic.Bool
	listeners  []*listener
}

// Run serves until the context ends, then stops gracefully.
func (a *Agent) Run(ctx context.Context) error {
	seed := processSeed(a.Settings)
	if !a.embedded {
		setLogger(a.Settings)
	}
	a.http = peerClient()
	a.assembleFeed(ctx, seed)
	a.assembleRequests()
	a.assembleTasks()
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
	peers := http.NewServeMux()
	if a.admitter != nil {
		peers.Handle(wireconnect.NewAgentServiceHandler(a.admitter, compressLarge))
	}
	m := &monitor.Monitor{
		Checks:  a.checks(),
		Metrics: a.metrics(),
	}
	health := http.NewServeMux()
	health.Handle("/", m.Handler())
	if a.admitter != nil {
		health.Handle("POST /leave", a.admitter.LocalHandler())
	}
	return listenAll(&a.listeners, s, []endpointListener{
		{name: "entries and agents", address: s.Agent().Listen(), handler: peers},
		{name: "monitoring", address: s.Process().MonitorListen(), handler: health},
	})
}

func (a *Agent) checks() []monitor.Check {
	return []monitor.Check{
		{
			Name:    "configuration_current",
			Failing: staleReason(a.subscriber, a.Settings.Limits().CurrencyLimit()),
		},
		{
			Name: "joined",
			Failing: func() string {
				if a.subscriber.View().Joined() {
					return ""
				}
				return "the host is not a member yet"
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
	runs := []func(*tomb.Tomb) error{a.subscriber.Run}
	if a.executor != nil {
		runs = append(runs, a.executor.Run, a.drainOnOrder)
	}
	if a.admitter != nil {
		runs = append(runs, a.keys.Run, a.admitter.Run, a.assignShards)
	}
	for _, run := range runs {
		t.Go(func() error { return run(t) })
	}
}

// drainOnOrder evicts the host's tasks at once when an operator drains it. The
// scheduler waits a minute with the tasks of a leaving host, because it cannot
// tell a drain from an agent that restarts.
func (a *Agent) drainOnOrder(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		changed := a.subscriber.Changed()
		if a.subscriber.View().Leaving() && !a.subscriber.Departing() {
			break
		}
		select {
		case <-changed:
		case <-t.Dying():
			return nil
		}
	}
	log.Info().Msg("draining the host's tasks as ordered")
	if err := a.executor.Drain(ctx); err != nil {
		log.Warn().Err(err).Msg("the drain did not finish")
	}
	return nil
}

// assignShards passes the shards of each view to the deduplicator.
func (a *Agent) assignShards(t *tomb.Tomb) error {
	for {
		changed := a.subscriber.Changed()
		a.assignFrom(a.subscriber.View())
		select {
		case <-changed:
		case <-t.Dying():
			return nil
		}
	}
}

func (a *Agent) assignFrom(view *subscriber.View) {
	assignments := make([]deduplicator.Assignment, 0, len(view.Shards()))
	for _, shard := range view.Shards() {
		assignments = append(assignments, deduplicator.Assignment{
			State:            shard.GetState(),
			Previous:         shard.GetState().GetPreviousEpoch(),
			PrimaryAddress:   shard.GetPrimaryAddress(),
			SecondaryAddress: shard.GetSecondaryAddress(),
		})
	}
	a.keys.Assign(a.subscriber.Ref(), assignments)
}

// stop refuses new requests, lets running ones finish, and keeps serving its
// keys until the departure moved its shards. Tasks run on for the successor.
func (a *Agent) stop() {
	log.Info().Msg("agent stopping")
	a.stopping.Store(true)
	a.listeners[0].draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), a.Settings.Limits().DrainTimeout())
	defer cancel()
	left := make(chan error, 1)
	go func() { left <- a.leave(ctx) }()
	if a.admitter != nil {
		if err := a.admitter.Drain(ctx); err != nil {
			log.Warn().Err(err).Msg("requests were still running at the end of drain_timeout")
		}
	}
	if err := <-left; err != nil {
		log.Warn().Err(err).Msg("the departure was not recorded")
	}
	select {
	case <-a.Clock.After(routeDelay):
	case <-ctx.Done():
	}
	if err := a.listeners[0].drain(ctx); err != nil && !errors.Is(err, context.Canceled) {
		log.Warn().Err(err).Msg("connections were still busy at the end of drain_timeout")
	}
}

func (a *Agent) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return a.subscriber.Leave(ctx)
}
