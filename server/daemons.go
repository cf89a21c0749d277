package server

import (
	"context"
	"io"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/validator"
)

// Daemons holds what the daemons need besides their settings. Its methods are
// the commands' run functions; each runs until the context ends.
type Daemons struct {
	Clock damaskspread.Clock
	// Version is reported to operators.
	Version string
	// Out receives the instructions that Dev prints.
	Out io.Writer
}

// Entry runs an entry process.
func (d Daemons) Entry(ctx context.Context, settings *validator.Settings) error {
	daemon := &Entry{
		Settings: settings,
		Clock:    d.Clock,
		Version:  d.Version,
	}
	return daemon.Run(ctx)
}

// Agent runs the agent of a host.
func (d Daemons) Agent(ctx context.Context, settings *validator.Settings) error {
	daemon := &Agent{
		Settings: settings,
		Clock:    d.Clock,
	}
	return daemon.Run(ctx)
}

// Emulator runs the emulated platform: log, workers and sample endpoints.
func (d Daemons) Emulator(ctx context.Context, settings *validator.Settings) error {
	daemon := &Emulator{
		Settings: settings,
		Clock:    d.Clock,
	}
	return daemon.Run(ctx)
}

// Dev runs an emulated platform, an entry and agents in one process.
func (d Daemons) Dev(ctx context.Context, settings *validator.Settings) error {
	daemon := &Dev{
		Settings: settings,
		Clock:    d.Clock,
		Version:  d.Version,
		Out:      d.Out,
	}
	return daemon.Run(ctx)
}
