package commander

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"damaskspread.example/damaskspread/explainer"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
)

// explainOutput is the JSON output of the explain command.
type explainOutput struct {
	Job      string          `json:"job"`
	Findings []findingOutput `json:"findings"`
	Lines    []lineOutput    `json:"lines"`
	Skipped  int             `json:"skipped_lines"`
}

type findingOutput struct {
	Kind    explainer.FindingKind `json:"kind"`
	Subject string                `json:"subject"`
	Detail  string                `json:"detail"`
	Count   int                   `json:"count"`
}

type lineOutput struct {
	Time    time.Time       `json:"time"`
	Process string          `json:"process"`
	Zone    string          `json:"zone,omitempty"`
	Level   string          `json:"level"`
	Message string          `json:"message"`
	Fields  json.RawMessage `json:"fields,omitempty"`
}

func (c *Commander) explainCommand() *cobra.Command {
	var logs []string
	command := &cobra.Command{
		Use:   "explain ID --logs FILE...",
		Short: "Show what happened to a job, from the logs of all processes",
		Long: `Show what happened to a job and why, from the logs of all processes.

ID is the id of a job or of one of its tasks. Log files may be compressed with
gzip and may contain lines of several processes; - is standard input. Lines are
in causal order (by offsets, epochs and run numbers). Times are from the clock of
each process.`,
		Example: "  damaskspread explain 517f50f645ca478b --logs entry-*.log side-*.log.gz",
		Args:    cobra.MinimumNArgs(1),
		RunE: c.run(func(_ *cobra.Command, args []string) error {
			// A shell expands --logs *.log to several arguments; all but the first
			// are positional.
			logs = append(logs, args[1:]...)
			if len(logs) == 0 {
				return usageErrorf("--logs is required: the log files of all entry processes and agents")
			}
			explanation, err := c.explain(tracker.JobOf(args[0]), logs)
			if err != nil {
				return err
			}
			return c.printExplanation(explanation)
		}),
	}
	command.Flags().StringArrayVar(&logs, "logs", nil, "log file of one or more processes; may be repeated or followed by more files")
	return command
}

func (c *Commander) explain(job string, logs []string) (*explainer.Explanation, error) {
	gatherer := &explainer.Gatherer{
		Job: job,
	}
	for _, path := range logs {
		if err := c.readLog(gatherer, path); err != nil {
			return nil, err
		}
	}
	return gatherer.Explain()
}

func (c *Commander) readLog(gatherer *explainer.Gatherer, path string) error {
	if path == "-" {
		return gatherer.Read(path, c.In)
	}
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return gatherer.Read(path, file)
}

func (c *Commander) printExplanation(e *explainer.Explanation) error {
	output := explainOutput{
		Job:      e.Job(),
		Findings: []findingOutput{},
		Skipped:  e.Skipped(),
	}
	for _, finding := range e.Findings() {
		output.Findings = append(output.Findings, findingOutput{
			Kind:    finding.Kind(),
			Subject: finding.Subject(),
			Detail:  finding.Detail(),
			Count:   finding.Count(),
		})
	}
	for _, line := range e.Lines() {
		fields, err := lineFields(line)
		if err != nil {
			return err
		}
		output.Lines = append(output.Lines, lineOutput{
			Time:    line.Time(),
			Process: line.Process(),
			Zone:    line.Zone(),
			Level:   line.Level(),
			Message: line.Message(),
			Fields:  fields,
		})
	}
	return c.print(output, output.writeTable)
}

// lineFields returns the fields of a line as JSON, or nil without fields. The
// fields of a typed event are those of its type.
func lineFields(line *tracer.Line) (json.RawMessage, error) {
	if event := line.Event(); event != nil {
		return json.Marshal(event)
	}
	if len(line.Fields()) == 0 {
		return nil, nil
	}
	return json.Marshal(line.Fields())
}

func (b *explainOutput) writeTable(t *table) {
	t.row("FINDING", "SUBJECT", "COUNT", "LATEST")
	for _, f := range b.Findings {
		t.row(f.Kind, f.Subject, f.Count, f.Detail)
	}
	t.row("")
	t.row("TIME", "PROCESS", "EVENT", "INPUTS")
	for _, line := range b.Lines {
		t.row(line.Time.UTC().Format("15:04:05.000"), line.Process, line.Message, b.inputs(line.Fields))
	}
	if b.Skipped > 0 {
		t.row("")
		t.row(fmt.Sprintf("%d lines could not be read", b.Skipped))
	}
}

// inputs returns fields as key=value pairs. It omits the job's id, which is the same
// on all lines.
func (b *explainOutput) inputs(fields json.RawMessage) string {
	text := strings.ReplaceAll(string(fields), `"job":"`+b.Job+`",`, "")
	return strings.NewReplacer(`"`, "", "{", "", "}", "", ",", " ", ":", "=").Replace(text)
}
