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

// table writes rows with aligned columns.
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

// print writes a value to Out in the format of --output. writeTable writes its rows
// and may be nil if the format is json.
func (c *Commander) print(value any, writeTable func(t *table)) error {
	if c.output == "json" {
		return writeJSON(c.Out, value)
	}
	t := &table{
		writer: tabwriter.NewWriter(c.Out, 0, 4, 2, ' ', 0),
	}
	writeTable(t)
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
	var clientErr *client.Error
	var invalidErr *validator.InvalidError
	if c.output == "json" {
		body := &client.ErrorBody{
			Outcome: client.OutcomeNotRun,
			Message: err.Error(),
		}
		if errors.As(err, &invalidErr) {
			body.Reason = "invalid"
			body.Diagnostics = invalidErr.Diagnostics
		}
		if errors.As(err, &clientErr) {
			body = &clientErr.Body
		}
		_ = writeJSON(c.Err, client.ErrorResponse{Error: body})
		return
	}
	if exitCode(err) == ExitUsage {
		_, _ = fmt.Fprintf(c.Err, "%v\nRun \"damaskspread help\" for a list of commands.\n", err)
		return
	}
	_, _ = fmt.Fprintln(c.Err, err)
	if errors.As(err, &clientErr) {
		for _, d := range clientErr.Body.Diagnostics {
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

func formatCores(millicores int64) string {
	return strconv.FormatFloat(float64(millicores)/1000, 'f', -1, 64)
}

func formatGigabytes(bytes int64) string {
	return strconv.FormatFloat(float64(bytes)/1e9, 'f', 1, 64) + "GB"
}

func formatTime(unixMs int64) string {
	if unixMs == 0 {
		return ""
	}
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}

func formatCounts[N int | int32](m map[string]N) string {
	var parts []string
	for _, name := range sortedKeys(m) {
		parts = append(parts, fmt.Sprintf("%d %s", m[name], name))
	}
	return strings.Join(parts, ", ")
}
