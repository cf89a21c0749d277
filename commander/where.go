package commander

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

const (
	// whereCallTimeout bounds the call of one job-entry process. It is longer than the
	// time after which a leader gives up.
	whereCallTimeout = 4 * time.Second
	// maxPreviewResponse bounds a response; that of 64 steps with 64 hosts each has
	// about 200 KiB.
	maxPreviewResponse = 1 << 20
)

// whereOutput is the JSON output of the where command.
type whereOutput struct {
	Entry     string                `json:"entry"`
	Epoch     int64                 `json:"epoch"`
	Queue     string                `json:"queue"`
	Service   string                `json:"service"`
	Priority  int32                 `json:"priority"`
	Order     string                `json:"order"`
	Hosts     int32                 `json:"hosts"`
	Steps     []whereStepOutput     `json:"steps"`
	Admission *whereAdmissionOutput `json:"admission"`
}

type whereStepOutput struct {
	Step               int32            `json:"step"`
	Ready              bool             `json:"ready"`
	Tasks              int32            `json:"tasks"`
	TasksTried         int32            `json:"tasks_tried"`
	Starts             int32            `json:"starts"`
	Hosts              []hostStarts     `json:"hosts"`
	MoreHosts          int32            `json:"more_hosts"`
	Obstacles          map[string]int32 `json:"obstacles"`
	RemainingObstacles map[string]int32 `json:"remaining_obstacles"`
	StepsFirst         int32            `json:"steps_first"`
	StepsWaiting       int32            `json:"steps_waiting"`
	CostClass          string           `json:"cost_class"`
	CostAmount         float64          `json:"cost_amount"`
	SlackMs            int64            `json:"slack_ms"`
}

type hostStarts struct {
	Host  string `json:"host"`
	Tasks int32  `json:"tasks"`
}

// whereAdmissionOutput is nil if admission is off.
type whereAdmissionOutput struct {
	Refused       bool   `json:"refused"`
	Reason        string `json:"reason"`
	WaitMs        int64  `json:"wait_ms"`
	PathMs        int64  `json:"path_ms"`
	LimitMs       int64  `json:"limit_ms"`
	RetryAfterMs  int64  `json:"retry_after_ms"`
	EstimateAgeMs int64  `json:"estimate_age_ms"`
}

func (c *Commander) whereCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "where FILE",
		Short: "Show where the tasks of a job would start now, without submitting it",
		Long: `Show where the tasks of a job would start now, without submitting it.

FILE is the job in JSON, with its queue and steps; - reads standard input. --entry is
the address for agents of any job-entry process, which names the scheduling leader.
Nothing is reserved, started or stored.`,
		Example: "  damaskspread where job.json --entry 10.20.0.1:7400 --output json",
		Args:    cobra.ExactArgs(1),
		RunE: c.runWithClient(func(ctx context.Context, _ *client.Client, args []string) error {
			text, err := c.readFile(args[0])
			if err != nil {
				return err
			}
			job := &wire.Job{}
			if err := protojson.Unmarshal([]byte(text), job); err != nil {
				return fmt.Errorf("%s is not a job: %w", args[0], err)
			}
			entry, preview, err := c.previewJob(ctx, job)
			if err != nil {
				return err
			}
			return c.printWhere(newWhereOutput(entry, preview))
		}),
	}
}

// previewJob asks the first entry process that leads or knows the leader. It returns the
// address of the process that responded.
func (c *Commander) previewJob(ctx context.Context, job *wire.Job) (string, *wire.JobPreview, error) {
	return askLeader(c.entries, "does not lead and knows no leader",
		func(entry string) (*wire.JobPreview, *wire.Leadership, error) {
			response, err := callPreview(ctx, entry, job)
			return response.GetPreview(), response.GetLeader(), err
		})
}

func callPreview(ctx context.Context, entry string, job *wire.Job) (*wire.PreviewJobResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, whereCallTimeout)
	defer cancel()
	previewClient := wireconnect.NewCoordinatorServiceClient(connector.NewHTTPClient(), "http://"+entry,
		connect.WithReadMaxBytes(maxPreviewResponse))
	response, err := previewClient.PreviewJob(callCtx, connect.NewRequest(&wire.PreviewJobRequest{
		Job: job,
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func newWhereOutput(entry string, preview *wire.JobPreview) *whereOutput {
	output := &whereOutput{
		Entry:    entry,
		Epoch:    preview.GetEpoch(),
		Queue:    preview.GetQueue(),
		Service:  preview.GetService(),
		Priority: preview.GetPriority(),
		Order:    "deadline",
		Hosts:    preview.GetHosts(),
		Steps:    []whereStepOutput{},
	}
	if preview.GetCostOrder() {
		output.Order = "cost"
	}
	for _, step := range preview.GetSteps() {
		output.Steps = append(output.Steps, newWhereStepOutput(step))
	}
	if admission := preview.GetAdmission(); admission != nil {
		output.Admission = &whereAdmissionOutput{
			Refused:       admission.GetRefused(),
			Reason:        admission.GetReason(),
			WaitMs:        admission.GetWaitMs(),
			PathMs:        admission.GetPathMs(),
			LimitMs:       admission.GetLimitMs(),
			RetryAfterMs:  admission.GetRetryAfterMs(),
			EstimateAgeMs: admission.GetEstimateAgeMs(),
		}
	}
	return output
}

func newWhereStepOutput(step *wire.StepPreview) whereStepOutput {
	output := whereStepOutput{
		Step:               step.GetStep(),
		Ready:              !step.GetNotReady(),
		Tasks:              step.GetTasks(),
		TasksTried:         step.GetTasksTried(),
		Starts:             step.GetStarts(),
		Hosts:              []hostStarts{},
		MoreHosts:          step.GetMoreHosts(),
		Obstacles:          step.GetObstacles(),
		RemainingObstacles: step.GetRemainingObstacles(),
		StepsFirst:         step.GetStepsFirst(),
		StepsWaiting:       step.GetStepsWaiting(),
		CostClass:          step.GetCostClass(),
		CostAmount:         step.GetCostAmount(),
		SlackMs:            step.GetSlackMs(),
	}
	for _, host := range step.GetHosts() {
		output.Hosts = append(output.Hosts, hostStarts{
			Host:  host.GetHost(),
			Tasks: host.GetTasks(),
		})
	}
	return output
}
