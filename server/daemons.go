package server

import (
	"context"
	"io"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/validator"
)

// Daemons starts the daemons for the command line.
type Daemons struct {
	Clock   damaskspread.Clock
	Version string
	Out     io.Writer
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

// Agent runs an agent.
func (d Daemons) Agent(ctx context.Context, settings *validator.Settings) error {
	daemon := &Agent{
		Settings: settings,
		Clock:    d.Clock,
	}
	return daemon.Run(ctx)
}

// Emulator runs the emulated platform.
func (d Daemons) Emulator(ctx context.Context, settings *validator.Settings) error {
	daemon := &Emulator{
		Settings: settings,
		Clock:    d.Clock,
	}
	return daemon.Run(ctx)
}

// Dev runs the whole system in one process.
func (d Daemons) Dev(ctx context.Context, settings *validator.Settings) error {
	daemon := &Dev{
		Settings: settings,
		Clock:    d.Clock,
		Version:  d.Version,
		Out:      d.Out,
	}
	return daemon.Run(ctx)
}
