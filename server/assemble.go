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

// setLogger makes the process log JSON lines.
func setLogger(s *validator.Settings) {
	log.DefaultLogger = *monitor.NewLogger(monitor.LoggerConfig{
		Writer:  os.Stderr,
		Level:   s.Process().LogLevel(),
		Process: s.Process().ID(),
		Role:    s.Process().Role(),
		Zone:    s.Process().Zone(),
	})
}

// processSeed is the seed of the process's randomness.
func processSeed(s *validator.Settings) uint64 {
	if seed := s.Process().Seed(); seed != 0 {
		return uint64(seed)
	}
	return rand.Uint64()
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// staleReason reports a process that starts nothing because it does not know
// that its configuration is current.
func staleReason(currency damaskspread.Currency, limit time.Duration) func() string {
	return func() string {
		age := currency.Age()
		if age <= limit {
			return ""
		}
		return fmt.Sprintf("the configuration is %s; the limit is %s", damaskspread.AgeText(age), limit)
	}
}

type endpointListener struct {
	name    string
	address string
	handler http.Handler
}

// listenAll binds every address before anything starts, so that a port in use
// ends the process at once.
func listenAll(all *[]*listener, s *validator.Settings, wanted []endpointListener) error {
	for _, w := range wanted {
		l, err := listen(w.name, w.address, w.handler)
		if err != nil {
			return err
		}
		*all = append(*all, l)
	}
	if s.Process().PprofListen() == "" {
		return nil
	}
	socket, err := monitor.ListenLoopback(s.Process().PprofListen())
	if err != nil {
		return err
	}
	*all = append(*all, &listener{
		name: "profiling",
		net:  socket,
		http: &http.Server{
			Handler:           monitor.Pprof(),
			ReadHeaderTimeout: headerTimeout,
		},
	})
	return nil
}

func closeAll(all []*listener) {
	for _, l := range all {
		l.close()
	}
}
