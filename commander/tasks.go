package commander

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/validator"
)

func (c *Commander) taskCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "task",
		Short:   "Submit, list, show, cancel and explain tasks",
		Example: "  damaskspread task submit --team cutting --kind render\n  damaskspread task list --phase pending",
	}
	command.AddCommand(c.taskSubmit(), c.taskList(), c.taskShow(), c.taskCancel(), c.taskExplain())
	return command
}

// submitFlags are the flags of task submit.
type submitFlags struct {
	id, kind, class, key             string
	processors, memory, accelerators string
	maxWait, expected                time.Duration
	canCheckpoint                    bool
	zones                            []string
	parameters                       map[string]string
}

func (c *Commander) taskSubmit() *cobra.Command {
	var s submitFlags
	command := &cobra.Command{
		Use:   "submit",
		Short: "Submit a task",
		Long: `Submit a task. Values that the section of the kind declares may be omitted. With a
key, a submission whose outcome is unknown may be repeated: it creates only one
task.`,
		Example: "  damaskspread task submit --team cutting --kind render --key sheet-81 --param sheet=81",
		Args:    cobra.NoArgs,
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, _ []string) error {
			if err := c.requireTeam(); err != nil {
				return err
			}
			request, err := s.request(c.team)
			if err != nil {
				return err
			}
			task, err := apiClient.Submit(ctx, request, s.key)
			if err != nil {
				return err
			}
			return c.printTask(task)
		}),
	}
	s.addFlags(command)
	return command
}

func (s *submitFlags) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&s.id, "id", "", "id of the task (default: a random id)")
	flags.StringVar(&s.kind, "kind", "", "kind of the task (required)")
	flags.StringVar(&s.class, "class", "", "class of the task: batch or latency_critical")
	flags.StringVar(&s.key, "key", "", "idempotency key")
	flags.StringVar(&s.processors, "processors", "0", "processors in cores, such as 0.5")
	flags.StringVar(&s.memory, "memory", "0", "memory, such as 4GB")
	flags.StringVar(&s.accelerators, "accelerators", "0", "number of accelerators")
	flags.DurationVar(&s.maxWait, "max-wait", 0, "how long the task may wait before it starts")
	flags.DurationVar(&s.expected, "expected", 0, "expected run time")
	flags.BoolVar(&s.canCheckpoint, "checkpoint", false, "the task can save its progress")
	flags.StringSliceVar(&s.zones, "zone", nil, "zone that the task may run in; may be repeated")
	flags.StringToStringVar(&s.parameters, "param", nil, "parameter name=value; may be repeated")
}

func (s *submitFlags) request(team string) (*client.TaskRequest, error) {
	amounts, diagnostic := validator.ParseResources(s.processors, s.memory, s.accelerators)
	if diagnostic != nil {
		return nil, usageErrorf("--%s: found %q, expected %s", diagnostic.Key, diagnostic.Found, diagnostic.Expected)
	}
	return &client.TaskRequest{
		Task:  s.id,
		Team:  team,
		Kind:  s.kind,
		Class: s.class,
		Resources: client.Resources{
			Millicores:   amounts.GetMillicores(),
			MemoryBytes:  amounts.GetMemoryBytes(),
			Accelerators: amounts.GetAccelerators(),
		},
		ExpectedDurationMs: s.expected.Milliseconds(),
		MaxWaitMs:          s.maxWait.Milliseconds(),
		CanCheckpoint:      s.canCheckpoint,
		Zones:              s.zones,
		Parameters:         s.parameters,
	}, nil
}

func (c *Commander) taskList() *cobra.Command {
	var filter client.TaskFilter
	command := &cobra.Command{
		Use:     "list",
		Short:   "List tasks",
		Example: "  damaskspread task list --phase claimed --host host-01 --limit 20",
		Args:    cobra.NoArgs,
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, _ []string) error {
			filter.Team = c.team
			list, err := apiClient.Tasks(ctx, filter)
			if err != nil {
				return err
			}
			return c.print(list, func(t *table) {
				t.row("TASK", "TEAM", "KIND", "PHASE", "ATTEMPT", "HOST", "RESULT", "SUBMITTED")
				for _, task := range list.Tasks {
					t.row(task.Task, task.Team, task.Kind, task.Phase, task.Attempt, task.Host, task.Result, formatTime(task.SubmittedUnixMs))
				}
				if list.Next != "" {
					t.row(fmt.Sprintf("%d tasks; next page: --after %s", list.Total, list.Next))
				}
			})
		}),
	}
	flags := command.Flags()
	flags.StringVar(&filter.Kind, "kind", "", "list only tasks of this kind")
	flags.StringVar(&filter.Phase, "phase", "", "list only tasks in this phase: pending, claimed or finished")
	flags.StringVar(&filter.Host, "host", "", "list only tasks on this host")
	flags.StringVar(&filter.After, "after", "", "list only tasks after this id")
	flags.IntVar(&filter.Limit, "limit", 100, "number of tasks in a page, at most 1000")
	return command
}

func (c *Commander) printTask(task *client.Task) error {
	return c.print(task, func(t *table) {
		t.row("task", task.Task)
		t.row("team", task.Team)
		t.row("kind", task.Kind+" ("+task.Class+")")
		t.row("needs", formatCores(task.Resources.Millicores)+" cores, "+formatGigabytes(task.Resources.MemoryBytes)+
			fmt.Sprintf(", %d accelerators", task.Resources.Accelerators))
		t.row("phase", task.Phase)
		t.row("attempt", task.Attempt)
		t.row("host", task.Host)
		t.row("result", strings.TrimSpace(task.Result+" "+task.Detail))
		t.row("reason", task.Reason)
		t.row("checkpoint", task.Checkpoint)
		t.row("evictions", task.Evictions)
		t.row("failures", task.Failures)
		t.row("cancel requested", yesNo(task.CancelRequested))
		t.row("submitted", formatTime(task.SubmittedUnixMs))
		t.row("since", formatTime(task.PhaseUnixMs))
	})
}

func (c *Commander) taskShow() *cobra.Command {
	return &cobra.Command{
		Use:     "show TASK",
		Short:   "Show a task",
		Example: "  damaskspread task show sheet-81",
		Args:    cobra.ExactArgs(1),
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, args []string) error {
			task, err := apiClient.Task(ctx, args[0])
			if err != nil {
				return err
			}
			return c.printTask(task)
		}),
	}
}

func (c *Commander) taskCancel() *cobra.Command {
	return &cobra.Command{
		Use:     "cancel TASK",
		Short:   "Cancel a task of the team",
		Example: "  damaskspread task cancel sheet-81 --team cutting",
		Args:    cobra.ExactArgs(1),
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, args []string) error {
			if err := c.requireTeam(); err != nil {
				return err
			}
			task, err := apiClient.Cancel(ctx, args[0])
			if err != nil {
				return err
			}
			return c.printTask(task)
		}),
	}
}

func (c *Commander) taskExplain() *cobra.Command {
	return &cobra.Command{
		Use:     "explain TASK",
		Short:   "Show why a task is pending or runs on its host",
		Example: "  damaskspread task explain sheet-81",
		Args:    cobra.ExactArgs(1),
		RunE: c.runWithClient(func(ctx context.Context, apiClient *client.Client, args []string) error {
			explanation, err := apiClient.Explain(ctx, args[0])
			if err != nil {
				return err
			}
			return c.print(explanation, func(t *table) { writeTaskExplanation(t, explanation) })
		}),
	}
}

func writeTaskExplanation(t *table, explanation *client.Explanation) {
	task, decision := &explanation.Task, explanation.Decision
	t.row("task", task.Task)
	t.row("phase", task.Phase)
	t.row("attempt", task.Attempt)
	t.row("host", task.Host)
	if decision == nil {
		t.row("decision", "not known to the scheduler of this entry process")
		return
	}
	t.row("reason", decision.Reason)
	t.row("binding", decision.Binding)
	t.row("can ever run", yesNo(!decision.Never))
	t.row("start before", formatTime(decision.StartBeforeUnixMs))
	if !decision.Owned {
		t.row("decided by", "another entry process, which knows more about the task")
	}
}
