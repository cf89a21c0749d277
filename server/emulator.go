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
	"damaskspread.example/damaskspread/timekeeper"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

const (
	// emulatedAppendsPerSecond is the limit of the log that the design assumes.
	emulatedAppendsPerSecond = 400
	emulatedCores            = 16
	emulatedMemoryBytes      = 60 << 30
	emulatedServiceMs        = 20
)

// Emulator is the emulated platform. The log uses the listen address, the control
// interface for injecting faults the next port. The workers follow with one port
// each, then the sample endpoints, one for each worker. Settings and Clock are
// set before Run.
type Emulator struct {
	Settings *validator.Settings
	Clock    damaskspread.Clock

	platform  *emulator.Platform
	endpoints []*emulator.Endpoint
}

// portAfter returns the address with the port increased by offset. An address
// that does not parse is returned unchanged.
func portAfter(address string, offset int) string {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return netip.AddrPortFrom(addrPort.Addr(), addrPort.Port()+uint16(offset)).String()
}

// Run serves until the context ends. It returns an error if an address is in use
// or a goroutine of the platform fails.
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
		AppendsPerSecond: emulatedAppendsPerSecond,
	}
	for i := range s.Workers() {
		e.platform.Workers = append(e.platform.Workers, emulator.Worker{
			Host:    emulatedHost(i),
			Address: portAfter(s.Listen(), 2+i),
			Capacity: &wire.Resources{
				Millicores:  emulatedCores * 1000,
				MemoryBytes: emulatedMemoryBytes,
			},
		})
		e.endpoints = append(e.endpoints, &emulator.Endpoint{
			Clock:   e.Clock,
			Elapsed: timekeeper.BootClock{},
			Address: portAfter(s.Listen(), 2+s.Workers()+i),
			Behavior: emulator.Behavior{
				ServiceMs: emulatedServiceMs,
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
