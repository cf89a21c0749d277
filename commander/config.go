package commander

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/parser"
	"damaskspread.example/damaskspread/validator"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (c *Commander) configCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "config",
		Short: "Validate, compare, publish and show the configuration document",
		Example: `  damaskspread config show > document.ini
  damaskspread config diff document.ini
  damaskspread config publish document.ini --team platform`,
	}
	command.AddCommand(c.configCheck(), c.configDiff(), c.configPublish(), c.configShow(), c.configDefaults())
	return command
}

func (c *Commander) configCheck() *cobra.Command {
	var settings bool
	command := &cobra.Command{
		Use:     "check FILE",
		Short:   "Validate a configuration document or the settings of a process, without an entry process",
		Example: "  damaskspread config check document.ini\n  damaskspread config check --settings entry.ini",
		Args:    cobra.ExactArgs(1),
		RunE: c.run(func(_ *cobra.Command, args []string) error {
			text, err := c.readFile(args[0])
			if err != nil {
				return err
			}
			var diagnostics []validator.Diagnostic
			if settings {
				_, diagnostics = validator.LoadSettings(args[0], text)
			} else {
				_, diagnostics = validator.ParseDocument(args[0], text)
			}
			if len(diagnostics) > 0 {
				return &validator.InvalidError{
					Diagnostics: diagnostics,
				}
			}
			return c.print(map[string]string{"status": "valid"}, func(t *table) { t.row(args[0] + " is valid") })
		}),
	}
	command.Flags().BoolVar(&settings, "settings", false, "the file contains the settings of a process")
	return command
}

func (c *Commander) configDefaults() *cobra.Command {
	var document bool
	command := &cobra.Command{
		Use:     "defaults",
		Short:   "Print all keys with their defaults and descriptions",
		Example: "  damaskspread config defaults\n  damaskspread config defaults --document",
		Args:    cobra.NoArgs,
		RunE: c.run(func(*cobra.Command, []string) error {
			schema := validator.SettingsSchema()
			if document {
				schema = validator.DocumentSchema()
			}
			if c.output == "json" {
				return c.print(defaultsByKey(schema), nil)
			}
			_, err := fmt.Fprint(c.Out, validator.FormatDefaults(schema))
			return err
		}),
	}
	command.Flags().BoolVar(&document, "document", false, "print the keys of the configuration document instead of the settings")
	return command
}

func defaultsByKey(schema []validator.SectionSchema) map[string]map[string]string {
	all := map[string]map[string]string{}
	for _, section := range schema {
		all[section.Name()] = map[string]string{}
		for _, field := range section.Fields() {
			all[section.Name()][field.Name()] = field.Default()
		}
	}
	return all
}

func (c *Commander) configShow() *cobra.Command {
	return &cobra.Command{
		Use:   "show [SECTION]",
		Short: "Print the published document, or one section",
		Long: `Print the published document, or one section. A comment on each header contains
the position and hash of the section's version. publish uses them as the base and
refuses a section that has changed since.`,
		Example: "  damaskspread config show > document.ini\n  damaskspread config show \"zone gaspe\"",
		Args:    cobra.MaximumNArgs(1),
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, args []string) error {
			config := &client.ConfigResponse{}
			if len(args) == 1 {
				section, err := apiClient.Section(ctx, args[0])
				if err != nil {
					return err
				}
				config.Sections = []client.Section{*section}
			} else {
				var err error
				if config, err = apiClient.Config(ctx); err != nil {
					return err
				}
			}
			if c.output == "json" {
				return c.print(config, nil)
			}
			return c.writeDocument(config.Sections)
		}),
	}
}

func (c *Commander) writeDocument(sections []client.Section) error {
	for _, section := range sections {
		_, err := fmt.Fprintf(c.Out, "[%s] # position %d.%d hash %s\n%s\n", section.Section,
			section.Position.Offset, section.Position.Index, client.TextHash(section.Text), section.Text)
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Commander) configDiff() *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show the differences between a document and the published one",
		Example: "  damaskspread config diff document.ini",
		Args:    cobra.ExactArgs(1),
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, args []string) error {
			text, err := c.readFile(args[0])
			if err != nil {
				return err
			}
			config, err := apiClient.Config(ctx)
			if err != nil {
				return err
			}
			differences := diffSections(config.Sections, parser.Parse(args[0], text))
			return c.print(differences, func(t *table) {
				for _, d := range differences {
					t.row(d.Sign + " [" + d.Section + "] " + d.Key + " = " + d.Value)
				}
			})
		}),
	}
}

// difference is a key that is absent or has another value in the other document.
// Sign is - for the published document and + for the file.
type difference struct {
	Sign    string `json:"sign"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
}

func diffSections(published []client.Section, text *parser.File) []difference {
	list := []difference{}
	current := map[string]*parser.Section{}
	for _, section := range published {
		current[section.Section] = parser.ParseBody("published", section.Section, section.Text)
	}
	for _, section := range text.Sections() {
		publishedSection := current[section.Name()]
		if publishedSection == nil {
			publishedSection = parser.ParseBody("published", section.Name(), "")
		}
		list = append(list, keysOnlyIn("-", publishedSection, section)...)
		list = append(list, keysOnlyIn("+", section, publishedSection)...)
	}
	return list
}

func keysOnlyIn(sign string, section, other *parser.Section) []difference {
	var list []difference
	for _, key := range section.Keys() {
		if same, exists := other.Key(key.Name()); exists && same.Value() == key.Value() {
			continue
		}
		list = append(list, difference{
			Sign:    sign,
			Section: section.Name(),
			Key:     key.Name(),
			Value:   key.Value(),
		})
	}
	return list
}
