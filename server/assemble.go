package server

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/validator"
)

// setLogger sets the default logger: JSON lines to the standard error stream.
func setLogger(s *validator.Settings) {
	log.DefaultLogger = *monitor.NewLogger(monitor.LoggerConfig{
		Writer:  os.Stderr,
		Level:   s.Process().LogLevel(),
		Process: s.Process().ID(),
		Role:    s.Process().Role(),
		Zone:    s.Process().Zone(),
	})
}

// processSeed returns the configured seed of the process's random sources, or a
// random seed if none is configured.
func processSeed(s *validator.Settings) uint64 {
	if seed := s.Process().Seed(); seed != 0 {
		return uint64(seed)
	}
	return rand.Uint64()
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// staleConfigReason returns a readiness check. It fails while the currency age
// exceeds the limit: the process starts no work then.
func staleConfigReason(currency damaskspread.Currency, limit time.Duration) func() string {
	return func() string {
		age := currency.Age()
		if age <= limit {
			return ""
		}
		return fmt.Sprintf("the configuration is %s; the limit is %s", damaskspread.AgeText(age), limit)
	}
}

// listenerSpec describes a listener to open. The name says what it serves or who
// connects to it.
type listenerSpec struct {
	name    string
	address string
	handler http.Handler
}

// listenAll binds every address in specs and the profiling address, if one is
// configured, and appends the listeners. It is called before any goroutine
// starts, so that a port in use ends the process at once.
func listenAll(listeners *[]*listener, s *validator.Settings, specs []listenerSpec) error {
	for _, spec := range specs {
		l, err := listen(spec.name, spec.address, spec.handler)
		if err != nil {
			return err
		}
		*listeners = append(*listeners, l)
	}
	if s.Process().PprofListen() == "" {
		return nil
	}
	socket, err := monitor.ListenLoopback(s.Process().PprofListen())
	if err != nil {
		return err
	}
	*listeners = append(*listeners, &listener{
		name: "profiling",
		net:  socket,
		http: &http.Server{
			Handler:           monitor.PprofHandler(),
			ReadHeaderTimeout: headerTimeout,
		},
	})
	return nil
}

func closeAll(listeners []*listener) {
	for _, l := range listeners {
		l.close()
	}
}
