package server

import (
	"context"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/auditor"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/dispatcher"
	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/feeder"
	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/operator"
	"damaskspread.example/damaskspread/placer"
	"damaskspread.example/damaskspread/recorder"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/retrier"
	"damaskspread.example/damaskspread/router"
	"damaskspread.example/damaskspread/scheduler"
	"damaskspread.example/damaskspread/wire"
)

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
		Peers:         e.peerAddresses,
		HTTP:          e.http,
		Random:        newRandom(e.random.Uint64()),
		ReadWait:      s.Log().ReadWait(),
		CallTimeout:   s.Log().ReadTimeout(),
		SnapshotEvery: int64(s.Limits().SnapshotEvery()),
		Retention:     s.Log().Retention(),
	}
	e.recorder = &recorder.Recorder{
		Log:              logClient,
		Clock:            e.Clock,
		Region:           s.Process().Region(),
		Follower:         e.follower,
		MaxRecords:       s.Limits().BatchRecords(),
		AppendsPerSecond: s.Limits().AppendsPerSecond(),
		AppendTimeout:    s.Log().AppendTimeout(),
	}
	e.estimates = &estimator.Estimator{
		Clock:   e.Clock,
		LoadLag: loadLag,
	}
	e.policies = &entryPolicies{
		source: e.follower,
		onChange: func(p *policies) {
			e.scheduler.Reconfigure(p.objective())
		},
	}
	e.auditor = &auditor.Auditor{
		Source: e.follower.Subscribe(),
		View:   e.follower.View,
	}
}

// peerAddresses returns the addresses of the other entry processes: the
// configured peers and the members in the replayed state. The configured ones
// are needed at the start, before any state is replayed.
func (e *Entry) peerAddresses() []string {
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

// loadObservers passes endpoint loads to several observers.
type loadObservers []damaskspread.LoadObserver

// ObserveLoad implements damaskspread.LoadObserver.
func (l loadObservers) ObserveLoad(host string, load *wire.EndpointLoad) {
	for _, observer := range l {
		observer.ObserveLoad(host, load)
	}
}

func (e *Entry) assembleRequestHandling() {
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
			TokensPerRequest: s.Limits().RetryPercent() / 100,
			Burst:            retryBurst,
			Base:             backoffBase,
			Max:              backoffMax,
			MinTry:           minTryTimeout,
			Random:           newRandom(e.random.Uint64()),
		},
		HTTP:          e.http,
		Clock:         e.Clock,
		CurrencyLimit: s.Limits().CurrencyLimit(),
		Policies:      func(service string) dispatcher.Policy { return e.policies.load().dispatcherPolicy(service) },
		DrainDelay:    s.Entry().DrainDelay(),
	}
}

func (e *Entry) assembleScheduling() {
	s := e.Settings
	index := placer.NewIndex()
	index.RampTime = zoneRampTime
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
		Read:         e.readWorker,
		Planner: &scheduler.Planner{
			Entry:     s.Process().ID(),
			Index:     index,
			Policy:    policy,
			Estimates: e.estimates,
			Teams:     func(name string) scheduler.Team { return e.policies.load().team(name) },
			Drains:    func(zone string) bool { return e.policies.load().drainsZone(zone) },
			Limits: scheduler.Limits{
				CurrencyLimit: s.Limits().CurrencyLimit(),
				ReadWait:      s.Log().ReadWait(),
				TaskHold:      s.Limits().TaskHold(),
			},
			Random: newRandom(e.random.Uint64()),
		},
	}
}

// fence makes the worker of a host without an agent stop the tasks with tokens
// below minToken, so that they can restart elsewhere before their leases end. It
// returns the tasks that the worker reports afterwards.
func (e *Entry) fence(ctx context.Context, host *wire.HostSpec, minToken int64) ([]*wire.WorkerTask, error) {
	workerClient := e.workerClient(host)
	if err := workerClient.Fence(ctx, host.GetWorkerBoot(), minToken); err != nil {
		return nil, err
	}
	status, err := workerClient.Status(ctx)
	return status.GetTasks(), err
}

// readWorker returns the tasks of a host's worker, or none if the worker has restarted
// and so has forgotten the tasks of the host.
func (e *Entry) readWorker(ctx context.Context, host *wire.HostSpec) ([]*wire.WorkerTask, error) {
	status, err := e.workerClient(host).Status(ctx)
	if err != nil || status.GetBoot() != host.GetWorkerBoot() {
		return nil, err
	}
	return status.GetTasks(), nil
}

func (e *Entry) workerClient(host *wire.HostSpec) *connector.Worker {
	return &connector.Worker{
		Address: "http://" + host.GetWorkerAddress(),
		HTTP:    e.http,
	}
}

// batchShare returns the smallest processor share, in permille, to which a batch
// task of the host has to be throttled, or 0 if none has to be.
func (e *Entry) batchShare(host string) int {
	share := 0
	for _, throttle := range e.scheduler.Throttles() {
		if throttle.Host == host && (share == 0 || throttle.Permille < share) {
			share = throttle.Permille
		}
	}
	return share
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
		Load:          e.router.ReportedLoad,
		BatchShare:    e.batchShare,
		Explain:       e.explain,
	}
}

func (e *Entry) explain(task string) *client.Decision {
	explanation, ok := e.scheduler.Explain(task)
	if !ok {
		return nil
	}
	return &client.Decision{
		Reason:            explanation.Reason,
		Binding:           string(explanation.Binding),
		Never:             explanation.Never,
		Owned:             explanation.Owned,
		StartBeforeUnixMs: explanation.Deadline.UnixMilli(),
	}
}
