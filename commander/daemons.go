package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"damaskspread.example/damaskspread/validator"
)

// devSettings are the settings of the dev command without --settings.
const devSettings = "[process]\nid = dev\nrole = dev\nregion = local\nzone = local\n"

func (c *Commander) daemons() []*cobra.Command {
	return []*cobra.Command{
		c.daemon("entry", "Run an entry process", c.Entry),
		c.daemon("agent", "Run the agent of a host with an endpoint or a worker", c.Agent),
		c.daemon("emulator", "Run the emulated platform with fault injection", c.Emulator),
		c.daemon("dev", "Run the emulated platform, an entry process and agents in one process", c.Dev),
	}
}

func (c *Commander) daemon(role, short string, start RunFunc) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:     role,
		Short:   short,
		Example: fmt.Sprintf("  damaskspread %s --settings %s.ini", role, role),
		Args:    cobra.NoArgs,
		RunE: c.run(func(cmd *cobra.Command, _ []string) error {
			settings, err := c.loadSettings(path, role)
			if err != nil {
				return err
			}
			if start != nil {
				return start(cmd.Context(), settings)
			}
			checked := map[string]string{
				"id":     settings.Process().ID(),
				"role":   role,
				"status": "settings are valid; this build has no " + role + " daemon",
			}
			return c.print(checked, func(t *table) { t.row(checked["id"], checked["status"]) })
		}),
	}
	command.Flags().StringVar(&path, "settings", "", "settings file of the process")
	return command
}

func (c *Commander) loadSettings(path, role string) (*validator.Settings, error) {
	text := devSettings
	switch {
	case path != "":
		var err error
		if text, err = c.readFile(path); err != nil {
			return nil, err
		}
	case role != "dev":
		return nil, usageErrorf("--settings is required")
	}
	settings, diagnostics := validator.LoadSettings(path, text)
	if len(diagnostics) > 0 {
		return nil, &validator.InvalidError{
			Diagnostics: diagnostics,
		}
	}
	// Rejects a settings file that is passed to the wrong command: an agent that
	// runs as an entry process would announce the wrong addresses.
	if found := settings.Process().Role(); found != role {
		return nil, &validator.InvalidError{
			Diagnostics: []validator.Diagnostic{{
				File:     path,
				Section:  "process",
				Key:      "role",
				Line:     1,
				Found:    found,
				Expected: role + ", the role of this command",
			}},
		}
	}
	return settings, nil
}
