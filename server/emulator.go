package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/phuslu/log"
	"github.com/samber/oops"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

const (
	// emulatedAppends is the log's limit that the design assumes.
	emulatedAppends = 400
	emulatedCores   = 16
	emulatedMemory  = 60 << 30
	emulatedService = 20 // milliseconds
)

// Emulator is the emulated platform: the log at the listen address, the fault
// switches at the next port, then one port per worker and one per sample
// endpoint.
type Emulator struct {
	Settings *validator.Settings
	Clock    damaskspread.Clock

	platform  *emulator.Platform
	endpoints []*emulator.Endpoint
}

// portAfter returns the address that many ports after another.
func portAfter(address string, ports int) string {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return netip.AddrPortFrom(at.Addr(), at.Port()+uint16(ports)).String()
}

// Run serves until the context ends.
func (e *Emulator) Run(ctx context.Context) error {
	setLogger(e.Settings)
	if err := e.bind(); err != nil {
		return err
	}
	t := &tomb.Tomb{}
	e.start(t)
	log.Info().Str("log", e.platform.LogURL()).Str("faults", e.platform.ControlURL()).Msg("emulator started")
	select {
	case <-ctx.Done():
	case <-t.Dying():
	}
	t.Kill(nil)
	return oops.In("emulator").Wrap(t.Wait())
}

func (e *Emulator) bind() error {
	s := e.Settings.Emulator()
	e.platform = &emulator.Platform{
		Clock:            e.Clock,
		LogAddress:       s.Listen(),
		ControlAddress:   portAfter(s.Listen(), 1),
		RetainFor:        s.Retention(),
		AppendsPerSecond: emulatedAppends,
	}
	for i := range s.Workers() {
		e.platform.Workers = append(e.platform.Workers, emulator.Worker{
			Host:    emulatedHost(i),
			Address: portAfter(s.Listen(), 2+i),
			Capacity: &wire.Resources{
				Millicores:  emulatedCores * 1000,
				MemoryBytes: emulatedMemory,
			},
		})
		e.endpoints = append(e.endpoints, &emulator.Endpoint{
			Clock:   e.Clock,
			Address: portAfter(s.Listen(), 2+s.Workers()+i),
			Behavior: emulator.Behavior{
				ServiceMs: emulatedService,
			},
			Random: newRandom(rand.Uint64()),
		})
	}
	if err := e.platform.Listen(); err != nil {
		return err
	}
	for _, endpoint := range e.endpoints {
		if err := endpoint.Listen(); err != nil {
			return err
		}
	}
	return nil
}

func emulatedHost(i int) string { return fmt.Sprintf("host-%d", i) }

func (e *Emulator) start(t *tomb.Tomb) {
	t.Go(func() error { return e.platform.Run(t) })
	for _, endpoint := range e.endpoints {
		t.Go(func() error { return endpoint.Run(t) })
	}
}
