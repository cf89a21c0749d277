package commander

import (
	"context"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/parser"
)

var basePattern = regexp.MustCompile(`\bposition (\d{1,18})\.(\d{1,5}) hash ([0-9a-f]{16})\b`)

// parseBases returns the versions that config show wrote in the comments of the
// section headers, by section.
func parseBases(text *parser.File) map[string]client.Base {
	found := map[string]client.Base{}
	for _, section := range text.Sections() {
		match := basePattern.FindStringSubmatch(section.Comment())
		if match == nil {
			continue
		}
		// Cannot fail: the pattern only matches digits, and the numbers fit.
		offset, _ := strconv.ParseInt(match[1], 10, 64)
		index, _ := strconv.ParseInt(match[2], 10, 32)
		found[section.Name()] = client.Base{
			Position: client.Position{
				Offset: offset,
				Index:  int32(index),
			},
			Hash: match[3],
		}
	}
	return found
}

func (c *Commander) configPublish() *cobra.Command {
	var remove, only []string
	var ontoCurrent bool
	command := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish the sections of a document that differ",
		Long: `Publish the sections of a document that differ from the published ones. Each
section is published independently. A section is published only if the version in
its header, as printed by show, is still the current one. A section without a
version must not exist yet, unless --onto-current is given.`,
		Example: `  damaskspread config publish document.ini --team platform
  damaskspread config publish document.ini --team platform --section "zone gaspe"
  damaskspread config publish document.ini --team platform --remove "kind watcher"`,
		Args: cobra.ExactArgs(1),
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, args []string) error {
			if err := c.requireTeam(); err != nil {
				return err
			}
			text, err := c.readFile(args[0])
			if err != nil {
				return err
			}
			request, err := publishRequest(args[0], text, only)
			if err != nil {
				return err
			}
			request.Team, request.Remove = c.team, remove
			if err := addCurrentBases(ctx, apiClient, request, ontoCurrent); err != nil {
				return err
			}
			return c.publish(ctx, apiClient, request)
		}),
	}
	command.Flags().StringArrayVar(&remove, "remove", nil, "section to remove; may be repeated")
	command.Flags().StringArrayVar(&only, "section", nil, "publish only this section; may be repeated")
	command.Flags().BoolVar(&ontoCurrent, "onto-current", false, "replace the current version of sections that have no version in the file")
	return command
}

// publishRequest returns a request to publish the sections named in only, or all
// sections if only is empty.
func publishRequest(file, text string, only []string) (*client.PublishRequest, error) {
	parsed := parser.Parse(file, text)
	request := &client.PublishRequest{
		Text: text,
		Base: parseBases(parsed),
	}
	if len(only) == 0 {
		return request, nil
	}
	var b strings.Builder
	for _, name := range only {
		section, exists := parsed.Section(name)
		if !exists {
			return nil, usageErrorf("%s has no section [%s]", file, name)
		}
		fmt.Fprintf(&b, "[%s]\n%s", name, section.Body())
	}
	request.Text = b.String()
	return request, nil
}

// addCurrentBases sets the base of sections that have none to the current version:
// of the removed sections, and with includeUnversioned of all sections.
func addCurrentBases(ctx context.Context, apiClient *client.Client, request *client.PublishRequest, includeUnversioned bool) error {
	if len(request.Remove) == 0 && !includeUnversioned {
		return nil
	}
	config, err := apiClient.Config(ctx)
	if err != nil {
		return err
	}
	for _, section := range config.Sections {
		_, has := request.Base[section.Section]
		if !has && (includeUnversioned || slices.Contains(request.Remove, section.Section)) {
			request.Base[section.Section] = client.Base{
				Position: section.Position,
			}
		}
	}
	return nil
}

func (c *Commander) publish(ctx context.Context, apiClient *client.Client, request *client.PublishRequest) error {
	response, publishErr := apiClient.Publish(ctx, request)
	err := c.print(response, func(t *table) {
		if len(response.Results) == 0 {
			return
		}
		t.row("SECTION", "RESULT", "OFFSET", "MESSAGE")
		for _, result := range response.Results {
			offset := ""
			if result.Position != nil {
				offset = strconv.FormatInt(result.Position.Offset, 10)
			}
			t.row(result.Section, result.Result, offset, result.Message)
		}
	})
	if publishErr != nil {
		return publishErr
	}
	return err
}
