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

// explainBody is the JSON form of an explanation.
type explainBody struct {
	Job      string        `json:"job"`
	Findings []findingBody `json:"findings"`
	Lines    []lineBody    `json:"lines"`
	Skipped  int           `json:"skipped_lines"`
}

type findingBody struct {
	Kind    explainer.FindingKind `json:"kind"`
	Subject string                `json:"subject"`
	Detail  string                `json:"detail"`
	Count   int                   `json:"count"`
}

type lineBody struct {
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
		Short: "Tell from the logs of all processes what happened to a job",
		Long: `Tell from the logs of all processes what happened to a job and why.

ID is a job or one of its tasks. Logs may be compressed with gzip and may hold
lines of several processes; - is standard input. Lines are ordered by their
causes (offsets, epochs and run numbers); times are those of each process.`,
		Example: "  damaskspread explain 517f50f645ca478b --logs entry-*.log side-*.log.gz",
		Args:    cobra.MinimumNArgs(1),
		RunE: c.run(func(_ *cobra.Command, args []string) error {
			// A shell expands --logs *.log to further arguments.
			logs = append(logs, args[1:]...)
			if len(logs) == 0 {
				return usage("--logs is required: the logs of all entries and agents")
			}
			explanation, err := c.explain(tracker.JobOf(args[0]), logs)
			if err != nil {
				return err
			}
			return c.printExplanation(explanation)
		}),
	}
	command.Flags().StringArrayVar(&logs, "logs", nil, "log file of one or more processes; repeat it or list more files")
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
	body := explainBody{
		Job:      e.Job(),
		Findings: []findingBody{},
		Skipped:  e.Skipped(),
	}
	for _, finding := range e.Findings() {
		body.Findings = append(body.Findings, findingBody{
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
		body.Lines = append(body.Lines, lineBody{
			Time:    line.Time(),
			Process: line.Process(),
			Zone:    line.Zone(),
			Level:   line.Level(),
			Message: line.Message(),
			Fields:  fields,
		})
	}
	return c.print(body, body.draw)
}

// lineFields are the fields of a typed event, or of any other line.
func lineFields(line *tracer.Line) (json.RawMessage, error) {
	if event := line.Event(); event != nil {
		return json.Marshal(event)
	}
	if len(line.Fields()) == 0 {
		return nil, nil
	}
	return json.Marshal(line.Fields())
}

func (b *explainBody) draw(t *table) {
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

// inputs shows fields without JSON's quotes, and the job's id only once.
func (b *explainBody) inputs(fields json.RawMessage) string {
	text := strings.ReplaceAll(string(fields), `"job":"`+b.Job+`",`, "")
	return strings.NewReplacer(`"`, "", "{", "", "}", "", ",", " ", ":", "=").Replace(text)
}
