package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"damaskspread.example/damaskspread/validator"
)

// settingsVariable names the settings file where no flag does.
const settingsVariable = "DAMASKSPREAD_CONFIG"

// JobRunFunc runs a process that serves jobs until the context ends.
type JobRunFunc func(ctx context.Context, path string, settings *validator.JobSettings) error

func (c *Commander) jobDaemons() []*cobra.Command {
	return []*cobra.Command{
		c.jobDaemon("job-entry", "Run an entry process that takes callers' jobs", c.JobEntry),
		c.jobDaemon("job-agent", "Run the agent beside an executor of jobs", c.JobAgent),
	}
}

func (c *Commander) jobDaemon(role, short string, start JobRunFunc) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:     role,
		Short:   short,
		Example: fmt.Sprintf("  damaskspread %s --settings %s.ini", role, role),
		Args:    cobra.NoArgs,
		RunE: c.run(func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(settingsVariable)
			}
			settings, err := c.LoadJobSettings(path)
			if err != nil {
				return err
			}
			if start == nil {
				return c.print(map[string]string{"id": settings.Process().ID(), "role": role},
					func(t *table) { t.row(settings.Process().ID(), "settings are valid; this build has no "+role) })
			}
			return start(cmd.Context(), path, settings)
		}),
	}
	command.Flags().StringVar(&path, "settings", "", "settings file of the process; by default the one that "+settingsVariable+" names")
	return command
}

// LoadJobSettings reads and checks the settings of a process that serves jobs.
func (c *Commander) LoadJobSettings(path string) (*validator.JobSettings, error) {
	if path == "" {
		return nil, usage("--settings or %s is required", settingsVariable)
	}
	text, err := c.readFile(path)
	if err != nil {
		return nil, err
	}
	settings, diagnostics := validator.LoadJobSettings(path, text)
	if len(diagnostics) > 0 {
		return nil, &validator.InvalidError{
			Diagnostics: diagnostics,
		}
	}
	return settings, nil
}
