package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/validator"
)

// table writes aligned columns.
type table struct {
	writer *tabwriter.Writer
}

func (t *table) row(cells ...any) {
	text := make([]string, len(cells))
	for i, cell := range cells {
		text[i] = strings.ReplaceAll(fmt.Sprint(cell), "\n", " ")
		if text[i] == "" {
			text[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(t.writer, strings.Join(text, "\t"))
}

// print writes a value as JSON or as a table.
func (c *Commander) print(value any, draw func(t *table)) error {
	if c.output == "json" {
		return writeJSON(c.Out, value)
	}
	t := &table{
		writer: tabwriter.NewWriter(c.Out, 0, 4, 2, ' ', 0),
	}
	draw(t)
	return t.writer.Flush()
}

func writeJSON(w io.Writer, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}

func (c *Commander) printError(err error) {
	var refused *client.Error
	var invalid *validator.InvalidError
	if c.output == "json" {
		body := &client.ErrorBody{
			Outcome: client.NotRun,
			Message: err.Error(),
		}
		if errors.As(err, &invalid) {
			body.Reason = "invalid"
			body.Diagnostics = invalid.Diagnostics
		}
		if errors.As(err, &refused) {
			body = &refused.Body
		}
		_ = writeJSON(c.Err, client.ErrorResponse{Error: body})
		return
	}
	if exitCode(err) == ExitUsage {
		_, _ = fmt.Fprintf(c.Err, "%v\nRun damaskspread help for the commands.\n", err)
		return
	}
	_, _ = fmt.Fprintln(c.Err, err)
	if errors.As(err, &refused) {
		for _, d := range refused.Body.Diagnostics {
			_, _ = fmt.Fprintln(c.Err, d.Error())
		}
	}
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func cores(millicores int64) string {
	return strconv.FormatFloat(float64(millicores)/1000, 'f', -1, 64)
}

func gigabytes(bytes int64) string {
	return strconv.FormatFloat(float64(bytes)/1e9, 'f', 1, 64) + "GB"
}

func at(unixMs int64) string {
	if unixMs == 0 {
		return ""
	}
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}

func counts(m map[string]int) string {
	var parts []string
	for _, name := range sortedKeys(m) {
		parts = append(parts, fmt.Sprintf("%d %s", m[name], name))
	}
	return strings.Join(parts, ", ")
}
