package launcher

import (
	"context"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/validator"
)

// Daemons holds what the processes need besides their settings. Its methods are
// the commands' run functions; each runs until the context ends.
type Daemons struct {
	Clock damaskspread.Clock
	// Reload reads and checks the settings file again.
	Reload func(path string) (*validator.JobSettings, error)
}

// Entry runs an entry process with the settings read from path.
func (d Daemons) Entry(ctx context.Context, path string, settings *validator.JobSettings) error {
	entry := &Entry{
		Settings: settings,
		Path:     path,
		Reload:   d.Reload,
		Clock:    d.Clock,
	}
	return entry.Run(ctx)
}

// Agent runs the agent beside an executor with the settings read from path.
func (d Daemons) Agent(ctx context.Context, path string, settings *validator.JobSettings) error {
	agent := &Agent{
		Settings: settings,
		Path:     path,
		Reload:   d.Reload,
		Clock:    d.Clock,
	}
	return agent.Run(ctx)
}
