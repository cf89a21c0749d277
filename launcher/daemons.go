package launcher

import (
	"context"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/validator"
)

// Daemons starts the processes for the command line.
type Daemons struct {
	Clock  damaskspread.Clock
	Reload func(path string) (*validator.JobSettings, error)
}

// Entry runs an entry process.
func (d Daemons) Entry(ctx context.Context, path string, settings *validator.JobSettings) error {
	entry := &Entry{
		Settings: settings,
		Path:     path,
		Reload:   d.Reload,
		Clock:    d.Clock,
	}
	return entry.Run(ctx)
}

// Agent runs the agent beside an executor.
func (d Daemons) Agent(ctx context.Context, path string, settings *validator.JobSettings) error {
	agent := &Agent{
		Settings: settings,
		Path:     path,
		Reload:   d.Reload,
		Clock:    d.Clock,
	}
	return agent.Run(ctx)
}
