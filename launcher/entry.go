package launcher

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/configurer"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/coordinator"
	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/locator"
	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/platform"
	"damaskspread.example/damaskspread/relayer"
	"damaskspread.example/damaskspread/submitter"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

const (
	// tailWait bounds the age of a view of an idle topic to twice its value.
	tailWait = 700 * time.Millisecond
	// leaderWait keeps the view of a silent leader young enough to tell that it
	// is silent.
	leaderWait = 400 * time.Millisecond
	// followerPause gathers news at entries that don't lead.
	followerPause = 80 * time.Millisecond
	leaderPause   = 0
	// currencyShare of the bound is the age above which callers are refused.
	currencyShare = 0.9
	// leaseShare of the longest lease is granted with each report.
	leaseShare = 0.75
	// rotationDelay is the time after which the load balancer sends no new
	// connections to a process that is not ready.
	rotationDelay = 2600 * time.Millisecond
	stopMargin    = time.Second
	announceRetry = time.Second
	announceLimit = 900 * time.Millisecond
	// claimDelay is added to the silence before a claim by hosts with the
	// least processor time.
	claimDelay = 300 * time.Millisecond
)

// Entry is the process that serves callers. Its fields are set before Run.
type Entry struct {
	Settings *validator.JobSettings
	Path     string
	Reload   func(path string) (*validator.JobSettings, error)
	Clock    damaskspread.Clock

	process     process
	store       *platform.Store
	relay       *relayer.Relayer
	operations  *tailer.Tailer
	jobs        *tailer.Tailer
	leaders     *tailer.Tailer
	config      *configurer.Configurer
	index       *indexer.Index
	elector     *elector.Elector
	coordinator *coordinator.Coordinator
	submitter   *submitter.Submitter
	inFlight    atomic.Int64
}

// Run serves until the context ends, then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	e.process = process{
		settings: e.Settings,
		path:     e.Path,
		reload:   e.Reload,
		clock:    e.Clock,
	}
	e.process.begin("job_entry")
	e.assemble()
	if err := e.listen(); err != nil {
		_ = e.process.end()
		return err
	}
	e.process.run(e.operations.Run, e.jobs.Run, e.leaders.Run, e.elector.Run, e.coordinator.Run,
		e.submitter.Run, e.relay.Run, e.announce)
	select {
	case <-ctx.Done():
		e.stop()
	case <-e.process.tomb.Dying():
	}
	return e.process.end()
}

func (e *Entry) assemble() {
	s := e.Settings
	e.store = &platform.Store{
		Address: s.Peers().Log(),
		HTTP:    connector.NewHTTPClient(),
	}
	e.relay = &relayer.Relayer{
		Direct:  e.store,
		HTTP:    connector.NewHTTPClient(),
		Clock:   e.Clock,
		Elapsed: e.process.elapsed,
		Process: s.Process().ID(),
	}
	e.index = &indexer.Index{}
	e.config = &configurer.Configurer{
		Decode: platform.DecodeOperation,
	}
	e.operations = e.tail(platform.OperationsTopic, e.config.Apply)
	e.config.Age = e.operations.Age
	e.jobs = e.tail(indexer.Topic, e.index.Apply)
	e.jobs.Pause = e.jobsPause
	e.submitter = &submitter.Submitter{
		Log:           e.relay,
		Index:         e.index,
		Tail:          e.jobs,
		Clock:         e.Clock,
		VisibleWithin: s.Bounds().VisibleWithin(),
	}
	e.submitter.Init()
	e.assembleScheduling()
}

func (e *Entry) tail(topic string, apply func([]*wire.KeyedRecord, bool)) *tailer.Tailer {
	return &tailer.Tailer{
		Log:     e.relay,
		Topic:   topic,
		Clock:   e.Clock,
		Elapsed: e.process.elapsed,
		Wait:    tailWait,
		Apply:   apply,
	}
}

// jobsPause reads at once while this process schedules.
func (e *Entry) jobsPause() time.Duration {
	if e.elector.Epoch() != 0 {
		return leaderPause
	}
	return followerPause
}

func (e *Entry) assembleScheduling() {
	s := e.Settings
	e.elector = &elector.Elector{
		Log:     e.relay,
		Clock:   e.Clock,
		Elapsed: e.process.elapsed,
		Process: s.Process().ID(),
		Address: s.Listen().Agents(),
		Delay:   time.Duration(float64(claimDelay) * (1 - min(s.Process().Processors(), 1))),
	}
	e.leaders = e.tail(elector.Topic, e.elector.Apply)
	e.leaders.Wait = leaderWait
	e.elector.Tail = e.leaders
	pressure := &estimator.Pressure{}
	e.coordinator = &coordinator.Coordinator{
		Log:        e.relay,
		Index:      e.index,
		JobsTail:   e.jobs,
		Operations: e.config,
		Election:   e.elector,
		Planner: &planner.Planner{
			Weight: pressure.Weight,
		},
		Pressure:  pressure,
		Clock:     e.Clock,
		Elapsed:   e.process.elapsed,
		LeaseFor:  time.Duration(float64(s.Bounds().LeaseMax()) * leaseShare),
		StatusFor: s.Bounds().StatusFor(),
	}
	if address := s.Peers().Advice(); address != "" {
		e.coordinator.Advisor = &platform.Advice{
			Address: address,
			HTTP:    connector.NewHTTPClient(),
		}
	}
	e.coordinator.Init()
	e.elector.Won = e.coordinator.Won
	e.elector.Lost = e.coordinator.Lost
	e.index.Changed = e.coordinator.JobsChanged
}

func (e *Entry) listen() error {
	l := e.Settings.Listen()
	callers := &platform.Jobs{
		Operations:    e.config,
		Service:       e.submitter,
		Clock:         e.Clock,
		CurrencyLimit: e.currencyLimit(),
		Observe:       e.observe,
	}
	agents := http.NewServeMux()
	agents.Handle(wireconnect.NewCoordinatorServiceHandler(e.coordinator))
	agents.Handle(wireconnect.NewKeyedLogServiceHandler(&relayer.Server{
		Log:  e.store,
		Away: e.relay.Away,
	}))
	m := &monitor.Monitor{
		Checks:  e.checks(),
		Metrics: e.metrics(),
	}
	return e.process.serveAll([]site{
		{name: "callers", address: l.Callers(), handler: e.closeWhileStopping(callers)},
		{name: "readiness", address: l.Ready(), handler: m.Handler()},
		{name: "agents", address: l.Agents(), handler: agents},
		{name: "metrics", address: l.Metrics(), handler: m.Handler()},
	})
}

func (e *Entry) currencyLimit() time.Duration {
	return time.Duration(float64(e.Settings.Bounds().ConfigWithin()) * currencyShare)
}

// closeWhileStopping asks callers to open another connection after a response
// of a stopping process. Idle connections stay open: closing them would cut a
// request that a caller is just sending.
func (e *Entry) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		if e.process.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// announce publishes the address for agents once the log takes it.
func (e *Entry) announce(tb *tomb.Tomb) error {
	ctx := tb.Context(context.Background())
	presence := &wire.EntryPresence{
		Process: e.Settings.Process().ID(),
		Address: e.Settings.Listen().Agents(),
		Zone:    e.Settings.Process().Zone(),
	}
	for tb.Alive() {
		limited, cancel := context.WithTimeout(ctx, announceLimit)
		err := locator.Announce(limited, e.relay, presence)
		cancel()
		if err == nil {
			return nil
		}
		log.Info().Err(err).Msg("address not announced yet")
		damaskspread.Pause(ctx, e.Clock, announceRetry)
	}
	return nil
}

// stop serves until new connections go elsewhere and running requests have
// their answers.
func (e *Entry) stop() {
	log.Info().Int64("in_flight", e.inFlight.Load()).Msg("process stopping")
	e.process.stopping.Store(true)
	began := e.process.elapsed.Elapsed()
	limited, cancel := context.WithTimeout(context.Background(), announceLimit)
	e.elector.Resign(limited)
	cancel()
	limit := e.Settings.Bounds().Grace() - stopMargin
	for {
		passed := e.process.elapsed.Elapsed() - began
		if passed > limit || (passed > rotationDelay && e.inFlight.Load() == 0) {
			break
		}
		e.Clock.Sleep(20 * time.Millisecond)
	}
	remaining := limit - (e.process.elapsed.Elapsed() - began)
	closing, done := context.WithTimeout(context.Background(), max(remaining, 100*time.Millisecond))
	defer done()
	if err := e.process.servers[0].Shutdown(closing); err != nil {
		log.Warn().Err(err).Msg("requests were still running at the end of the grace period")
	}
}
