package server

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/admitter"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/deduplicator"
	"damaskspread.example/damaskspread/executor"
	"damaskspread.example/damaskspread/forwarder"
	"damaskspread.example/damaskspread/limiter"
	"damaskspread.example/damaskspread/subscriber"
	"damaskspread.example/damaskspread/timekeeper"
	"damaskspread.example/damaskspread/wire"
)

func (a *Agent) assembleSubscriber(ctx context.Context, seed uint64) {
	s := a.Settings
	spec := &wire.HostSpec{
		Host:     s.Process().Host(),
		Region:   s.Process().Region(),
		Zone:     s.Process().Zone(),
		Rack:     s.Process().Rack(),
		Address:  s.Agent().Address(),
		Endpoint: s.Endpoint().Spec(),
	}
	if address := s.Worker().Address(); address != "" {
		a.worker = &connector.Worker{
			Address: "http://" + address,
			HTTP:    a.http,
			Timeout: s.Worker().Timeout(),
		}
		spec.WorkerAddress = address
		statusCtx, cancel := context.WithTimeout(ctx, workerStatusTimeout)
		defer cancel()
		if status, err := a.worker.Status(statusCtx); err == nil {
			spec.WorkerBoot = status.GetBoot()
			spec.Capacity = status.GetCapacity()
		} else {
			log.Warn().Err(err).Msg("worker does not respond, joining without it")
		}
	}
	a.subscriber = &subscriber.Subscriber{
		Spec:     spec,
		Entries:  s.Agent().Entries(),
		HTTP:     a.http,
		Clock:    a.Clock,
		Load:     a.load,
		Usage:    a.usage,
		Random:   newRandom(seed),
		SyncWait: s.Limits().SyncWait(),
	}
}

func (a *Agent) load() *wire.EndpointLoad {
	if a.admitter == nil {
		return nil
	}
	return a.admitter.Load()
}

func (a *Agent) usage() []*wire.UsageSample {
	if a.executor == nil {
		return nil
	}
	return a.executor.Usage()
}

// admitterFeed implements admitter.Feed with the agent's subscriber.
type admitterFeed struct {
	*Agent
}

// Age implements admitter.Feed.
func (f admitterFeed) Age() time.Duration { return f.subscriber.Age() }

// ZoneInService implements admitter.Feed.
func (f admitterFeed) ZoneInService(zone string) bool {
	return f.policies.forView(f.subscriber.View()).zoneInService(zone)
}

// Leaving implements admitter.Feed.
func (f admitterFeed) Leaving() bool { return f.subscriber.View().Leaving() }

// Policy implements admitter.Feed.
func (f admitterFeed) Policy() admitter.Policy {
	return f.policies.forView(f.subscriber.View()).admitterPolicy(f.Settings.Endpoint().Service())
}

// executorFeed implements executor.Feed with the agent's subscriber.
type executorFeed struct {
	*subscriber.Subscriber
	agent *Agent
}

// executorView implements executor.View with one view of the subscriber.
type executorView struct {
	*subscriber.View
	policies *policies
}

// ZoneInService implements executor.View.
func (v executorView) ZoneInService(zone string) bool { return v.policies.zoneInService(zone) }

// View implements executor.Feed.
func (f executorFeed) View() executor.View {
	view := f.Subscriber.View()
	return executorView{
		View:     view,
		policies: f.agent.policies.forView(view),
	}
}

func (a *Agent) assembleRequestHandling() {
	s := a.Settings
	if s.Endpoint().Service() == "" {
		return
	}
	a.dedup = &deduplicator.Deduplicator{
		Clock:       a.Clock,
		Currency:    a.subscriber,
		Peers:       &admitter.Peers{HTTP: a.http},
		Appender:    a.subscriber,
		KeyLifetime: s.Limits().KeyLifetime(),
	}
	a.admitter = &admitter.Admitter{
		Limiter: &limiter.Limiter{
			Clock:     a.Clock,
			Slots:     s.Endpoint().Slots(),
			MaxQueued: s.Endpoint().Slots() * maxQueuedPerSlot,
		},
		Keys: a.dedup,
		Forwarder: &forwarder.Forwarder{
			Clock:          a.Clock,
			Elapsed:        timekeeper.BootClock{},
			Address:        s.Endpoint().Address(),
			MaxConnections: s.Endpoint().Connections(),
		},
		Feed:          admitterFeed{Agent: a},
		Clock:         a.Clock,
		Service:       s.Endpoint().Service(),
		Zone:          s.Process().Zone(),
		CurrencyLimit: s.Limits().CurrencyLimit(),
		OnLeave:       a.subscriber.Leave,
	}
}

func (a *Agent) assembleTaskExecution() {
	if a.worker == nil {
		return
	}
	s := a.Settings
	a.executor = &executor.Executor{
		Worker: a.worker,
		Feed: executorFeed{
			Subscriber: a.subscriber,
			agent:      a,
		},
		Clock: a.Clock,
		Host:  s.Process().Host(),
		Zone:  s.Process().Zone(),
		Heartbeat: func() *wire.HostsAlive {
			return &wire.HostsAlive{
				Hosts: []*wire.HostRef{a.subscriber.Ref()},
			}
		},
		BatchShare: func() int { return a.subscriber.View().BatchShare() },
		// Joining with the new boot requeues the tasks of the previous boot.
		OnBoot:          a.subscriber.SetWorker,
		CheckpointEvery: s.Limits().CheckpointEvery(),
		TaskHold:        s.Limits().TaskHold(),
		CurrencyLimit:   s.Limits().CurrencyLimit(),
	}
}
