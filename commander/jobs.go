package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"damaskspread.example/damaskspread/validator"
)

// settingsEnvVar is the environment variable with the path of the settings file,
// used without --settings.
const settingsEnvVar = "DAMASKSPREAD_CONFIG"

// JobRunFunc runs a job-entry or job-agent process until the context is canceled.
// The path is that of the settings file.
type JobRunFunc func(ctx context.Context, path string, settings *validator.JobSettings) error

func (c *Commander) jobDaemons() []*cobra.Command {
	return []*cobra.Command{
		c.jobDaemon("job-entry", "Run an entry process that accepts jobs from callers", c.JobEntry),
		c.jobDaemon("job-agent", "Run the agent of a host with an executor of jobs", c.JobAgent),
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
				path = os.Getenv(settingsEnvVar)
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
	command.Flags().StringVar(&path, "settings", "", "settings file of the process (default: the value of "+settingsEnvVar+")")
	return command
}

// LoadJobSettings reads and validates the settings of a job-entry or job-agent
// process. It returns a validator.InvalidError for invalid settings.
func (c *Commander) LoadJobSettings(path string) (*validator.JobSettings, error) {
	if path == "" {
		return nil, usageErrorf("--settings or %s is required", settingsEnvVar)
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
