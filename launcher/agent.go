package launcher

import (
	"context"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/locator"
	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/pacer"
	"damaskspread.example/damaskspread/platform"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/validator"
)

// Agent is the process beside an executor. It starts and stops runs on the
// executor as the leader orders. The exported fields are set before Run.
type Agent struct {
	Settings *validator.JobSettings
	// Path is the settings file, which Reload reads again on SIGHUP.
	Path   string
	Reload func(path string) (*validator.JobSettings, error)
	Clock  damaskspread.Clock

	process process
	runner  *runner.Runner
}

// Run serves until the context ends. Tasks keep running under their leases, and
// the next agent process of the host adopts them. Run returns an error if an
// address is in use or a goroutine of the agent fails.
func (a *Agent) Run(ctx context.Context) error {
	a.process = process{
		settings: a.Settings,
		path:     a.Path,
		reload:   a.Reload,
		clock:    a.Clock,
	}
	a.process.setUp("job_agent")
	a.assemble()
	if err := a.listen(); err != nil {
		_ = a.process.shutDown()
		return err
	}
	a.process.startAll(a.runner.Run)
	select {
	case <-ctx.Done():
		// A host that is removed takes its agent along, and without its report a new leader
		// waits for the end of a lease.
		a.runner.FinishDeparture(a.process.tomb.Context(context.Background()), a.Settings.Bounds().Grace()-stopMargin)
	case <-a.process.tomb.Dying():
	}
	return a.process.shutDown()
}

func (a *Agent) assemble() {
	s := a.Settings
	httpClient := connector.NewHTTPClient()
	a.runner = &runner.Runner{
		Executor: &platform.ExecutorClient{
			Address: s.Peers().Executor(),
			HTTP:    connector.NewHTTPClient(),
		},
		Leader: &locator.Locator{
			Log: &platform.Store{
				Address: s.Peers().Log(),
				HTTP:    httpClient,
			},
			HTTP:    httpClient,
			Elapsed: a.process.elapsed,
		},
		Clock:      a.Clock,
		Elapsed:    a.process.elapsed,
		Pacer:      &pacer.Pacer{},
		Host:       s.Process().ID(),
		Zone:       s.Process().Zone(),
		StopWithin: s.Bounds().StopWithin(),
		DrainFor:   s.Bounds().DrainFor(),
	}
	a.runner.Init()
	a.process.metricsSet.NewGauge("damaskspread_run_overlaps_total", func() float64 { return float64(a.runner.Overlaps()) })
	a.process.metricsSet.NewGauge("damaskspread_remembered_runs", func() float64 { return float64(a.runner.RememberedRuns()) })
}

func (a *Agent) listen() error {
	l := a.Settings.Listen()
	announcements := &platform.Announcements{
		Sink: a.runner,
	}
	m := &monitor.Monitor{
		Metrics: a.process.metricsSet,
	}
	return a.process.startListeners([]listenerSpec{
		{name: "executor", address: l.Executors(), handler: announcements.Handler()},
		{name: "metrics", address: l.Metrics(), handler: m.Handler()},
	})
}
