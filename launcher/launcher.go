// Package launcher assembles the processes that serve jobs: the entry, which
// takes callers' jobs and may lead the scheduling, and the agent beside an
// executor.
//
// A process owns its listeners and one tomb that runs every duty. A planned
// stop of an entry turns readiness off, gives the leadership up, and serves
// until the load balancer has taken it out of rotation.
package launcher

import (
	"context"
	"errors"
	"fmt"
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
	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/validator"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// memoryShare of the limit is the target of the garbage collector.
	memoryShare = 0.7
	// collectPercent trades memory for processor time on small heaps.
	collectPercent = 400
)

// ListenError means that a process cannot use one of its addresses.
type ListenError struct {
	Name, Address string
	Cause         error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %q for %s: %v", e.Address, e.Name, e.Cause)
}

func (e *ListenError) Unwrap() error { return e.Cause }

// bootClock implements damaskspread.ElapsedClock.
type bootClock struct{}

// Elapsed also counts the time during which the host was suspended.
func (bootClock) Elapsed() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(fmt.Sprintf("CLOCK_BOOTTIME is not available: %v", err))
	}
	return time.Duration(now.Nano())
}

// site is one listener with its handler.
type site struct {
	name, address string
	handler       http.Handler
}

// process is what entry and agent have in common.
type process struct {
	settings *validator.JobSettings
	path     string
	reload   func(path string) (*validator.JobSettings, error)
	clock    damaskspread.Clock
	elapsed  damaskspread.ElapsedClock
	lines    *monitor.LineWriter
	set      *metrics.Set
	tomb     *tomb.Tomb
	servers  []*http.Server
	stopping atomic.Bool
}

func (p *process) begin(role string) {
	p.elapsed = bootClock{}
	p.lines = &monitor.LineWriter{
		Out:   os.Stdout,
		Clock: p.clock,
	}
	s := p.settings.Process()
	log.DefaultLogger = *monitor.NewLogger(monitor.LoggerConfig{
		Writer:  p.lines,
		Level:   s.LogLevel(),
		Process: s.ID(),
		Role:    role,
		Zone:    s.Zone(),
	})
	p.set = metrics.NewSet()
	p.set.NewGauge("damaskspread_log_lines_dropped_total", func() float64 { return float64(p.lines.Dropped()) })
	tracer.Install(&tracer.Tracer{
		Clock: p.clock,
		Counters: &tracer.Counters{
			Set: p.set,
		},
	})
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes()) * memoryShare))
	p.tomb = &tomb.Tomb{}
	p.tomb.Go(func() error { return p.lines.Run(p.tomb) })
	p.tomb.Go(p.watchReload)
	log.Info().Int("pid", os.Getpid()).Msg("process started")
}

// serve binds a listener before anything starts, so that an address in use
// ends the process at once.
func (p *process) serve(s site) error {
	config := net.ListenConfig{
		KeepAliveConfig: connector.KeepAlive(),
		Control:         connector.SetUnackedTimeout,
	}
	socket, err := config.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return &ListenError{
			Name:    s.name,
			Address: s.address,
			Cause:   err,
		}
	}
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	p.servers = append(p.servers, server)
	p.tomb.Go(func() error {
		if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			return &ListenError{
				Name:    s.name,
				Address: s.address,
				Cause:   err,
			}
		}
		return nil
	})
	return nil
}

func (p *process) serveAll(sites []site) error {
	for _, s := range sites {
		if s.address == "" {
			continue
		}
		if err := p.serve(s); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) run(duties ...func(*tomb.Tomb) error) {
	for _, duty := range duties {
		p.tomb.Go(func() error { return duty(p.tomb) })
	}
}

// watchReload checks the settings again when told that they changed. Addresses
// take effect with the next start.
func (p *process) watchReload() error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case <-hangups:
			p.reloadSettings()
		}
	}
}

func (p *process) reloadSettings() {
	settings, err := p.reload(p.path)
	if err != nil {
		log.Error().Err(err).Msg("settings not reloaded: the earlier ones stay in force")
		return
	}
	log.DefaultLogger.SetLevel(log.ParseLevel(settings.Process().LogLevel()))
	log.Info().Msg("settings reloaded")
}

// end closes the listeners and waits for every duty.
func (p *process) end() error {
	p.tomb.Kill(nil)
	for _, server := range p.servers {
		_ = server.Close()
	}
	err := p.tomb.Wait()
	log.Info().Err(err).Msg("process stopped")
	p.lines.Flush()
	return err
}
