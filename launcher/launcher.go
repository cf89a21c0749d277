// Package launcher assembles the processes of the scheduler for jobs, which
// stores its state under keys of a log: the entry, which accepts jobs of callers
// and may become the leader that schedules them, and the agent beside an
// executor. Package server assembles the daemons of the scheduler for
// latency-critical requests and tasks.
//
// A process owns its listeners and one tomb with all its goroutines: one for each
// listener, one for the log lines, one that waits for SIGHUP, and one for each Run
// function of the other packages. A graceful shutdown of an entry turns readiness
// off, resigns the leadership, and keeps serving until the load balancer has taken
// the entry out of rotation.
package launcher

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/timekeeper"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/validator"
)

const (
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than the 90 s for which connector's HTTP client keeps
	// an idle connection: the server must not close one that gets a request.
	idleTimeout = 2 * time.Minute
	// gcMemoryShare is the share of the process's memory limit that the garbage
	// collector tries to stay below.
	gcMemoryShare = 0.7
	// gcPercent saves processor time on small heaps at the cost of memory.
	gcPercent = 400
)

// listenerSpec describes a listener to open. The name says what it serves or who
// connects to it.
type listenerSpec struct {
	name, address string
	handler       http.Handler
}

// process is the part that Entry and Agent have in common: logging, metrics,
// listeners, goroutines and the reload of settings.
type process struct {
	settings   *validator.JobSettings
	path       string
	reload     func(path string) (*validator.JobSettings, error)
	clock      damaskspread.Clock
	elapsed    damaskspread.ElapsedClock
	logWriter  *monitor.LineWriter
	metricsSet *metrics.Set
	tomb       *tomb.Tomb
	servers    []*http.Server
	stopping   atomic.Bool
}

func (p *process) setUp(role string) {
	p.elapsed = timekeeper.BootClock{}
	p.logWriter = &monitor.LineWriter{
		Out:   os.Stdout,
		Clock: p.clock,
	}
	s := p.settings.Process()
	log.DefaultLogger = *monitor.NewLogger(monitor.LoggerConfig{
		Writer:  p.logWriter,
		Level:   s.LogLevel(),
		Process: s.ID(),
		Role:    role,
		Zone:    s.Zone(),
	})
	p.metricsSet = metrics.NewSet()
	p.metricsSet.NewGauge("damaskspread_log_lines_dropped_total", func() float64 { return float64(p.logWriter.DroppedCount()) })
	tracer.Install(&tracer.Tracer{
		Clock: p.clock,
		Counters: &tracer.Counters{
			Set: p.metricsSet,
		},
	})
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes()) * gcMemoryShare))
	p.tomb = &tomb.Tomb{}
	p.tomb.Go(func() error { return p.logWriter.Run(p.tomb) })
	p.tomb.Go(p.reloadOnHangup)
	log.Info().Int("pid", os.Getpid()).Msg("process started")
}

// startListener binds the address and serves it in a goroutine. Listeners are
// opened before the Run functions start, so that an address in use ends the
// process at once.
func (p *process) startListener(spec listenerSpec) error {
	config := net.ListenConfig{
		KeepAliveConfig: connector.KeepAliveConfig(),
		Control:         connector.SetTCPUserTimeout,
	}
	socket, err := config.Listen(context.Background(), "tcp", spec.address)
	if err != nil {
		return &connector.ListenError{
			Name:    spec.name,
			Address: spec.address,
			Cause:   err,
		}
	}
	server := &http.Server{
		Handler:           spec.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	p.servers = append(p.servers, server)
	p.tomb.Go(func() error { return connector.Serve(spec.name, server, socket) })
	return nil
}

// startListeners opens the listeners that have an address.
func (p *process) startListeners(specs []listenerSpec) error {
	for _, spec := range specs {
		if spec.address == "" {
			continue
		}
		if err := p.startListener(spec); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) startAll(runFuncs ...func(*tomb.Tomb) error) {
	for _, run := range runFuncs {
		p.tomb.Go(func() error { return run(p.tomb) })
	}
}

// reloadOnHangup reads and checks the settings again on SIGHUP. Only the log
// level takes effect then; the others, such as addresses, at the next start.
func (p *process) reloadOnHangup() error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case <-signals:
			p.reloadSettings()
		}
	}
}

func (p *process) reloadSettings() {
	settings, err := p.reload(p.path)
	if err != nil {
		log.Error().Err(err).Msg("reloading settings failed, previous settings stay in force")
		return
	}
	log.DefaultLogger.SetLevel(log.ParseLevel(settings.Process().LogLevel()))
	log.Info().Msg("settings reloaded")
}

// shutDown kills the tomb, closes the listeners and waits for all goroutines. It
// returns the first error of a goroutine.
func (p *process) shutDown() error {
	p.tomb.Kill(nil)
	for _, server := range p.servers {
		_ = server.Close()
	}
	err := p.tomb.Wait()
	log.Info().Err(err).Msg("process stopped")
	p.logWriter.Flush()
	return err
}
