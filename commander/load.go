package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/poller"
	"damaskspread.example/damaskspread/wire"
)

// loadCallTimeout bounds the call of one job-entry process, so that the others of
// --entry get their turn.
const loadCallTimeout = 3 * time.Second

// loadOutput is the JSON output of the load command.
type loadOutput struct {
	Entry  string            `json:"entry"`
	Epoch  int64             `json:"epoch"`
	AgeMs  int64             `json:"age_ms"`
	Queues []queueLoadOutput `json:"queues"`
}

// queueLoadOutput has the load of a queue for tasks that reserve processors and for
// best-effort tasks.
type queueLoadOutput struct {
	Queue        string         `json:"queue"`
	Service      string         `json:"service"`
	Priority     int32          `json:"priority"`
	RunTimeRatio float64        `json:"run_time_ratio"`
	Reserving    kindLoadOutput `json:"reserving"`
	BestEffort   kindLoadOutput `json:"best_effort"`
}

type kindLoadOutput struct {
	WaitingCoreS  float64 `json:"waiting_core_s"`
	RunningCoreS  float64 `json:"running_core_s"`
	RunningCores  float64 `json:"running_cores"`
	RateCores     float64 `json:"rate_cores"`
	CapacityCores float64 `json:"capacity_cores"`
	FreeCores     float64 `json:"free_cores"`
	OldestWaitMs  int64   `json:"oldest_wait_ms"`
}

func (c *Commander) loadCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "load",
		Short: "Show the scheduling leader's load estimate of the job queues",
		Long: `Show the scheduling leader's load estimate of the job queues.

--entry is the address for agents of any job-entry process, which names the leader.
The leader has an estimate only if admission is on in its settings. Work is in
core-seconds by predicted run times.`,
		Example: "  damaskspread load --entry 10.20.0.1:7400 --output json",
		Args:    cobra.NoArgs,
		RunE: c.runWithClient(func(ctx context.Context, _ *client.Client, _ []string) error {
			entry, estimate, err := c.readLoad(ctx)
			if err != nil {
				return err
			}
			return c.printLoad(entry, estimate)
		}),
	}
}

// readLoad reads the estimate from the first entry process that has one or knows the
// leader that does. It returns the address of the process that responded.
func (c *Commander) readLoad(ctx context.Context) (string, *wire.LoadEstimate, error) {
	loadClient := &poller.Client{
		HTTP: connector.NewHTTPClient(),
	}
	return askLeader(c.entries, "has no load estimate: it does not lead, has just begun to, or has admission off",
		func(entry string) (*wire.LoadEstimate, *wire.Leadership, error) {
			response, err := callLoad(ctx, loadClient, entry)
			return response.GetEstimate(), response.GetLeader(), err
		})
}

func callLoad(ctx context.Context, loadClient *poller.Client, entry string) (*wire.GetLoadResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, loadCallTimeout)
	defer cancel()
	return loadClient.GetLoad(callCtx, entry)
}

func (c *Commander) printLoad(entry string, estimate *wire.LoadEstimate) error {
	output := loadOutput{
		Entry:  entry,
		Epoch:  estimate.GetEpoch(),
		AgeMs:  estimate.GetAgeMs(),
		Queues: []queueLoadOutput{},
	}
	for _, load := range estimate.GetQueues() {
		output.Queues = append(output.Queues, newQueueLoadOutput(load))
	}
	return c.print(output, func(t *table) {
		t.row("QUEUE", "PRIORITY", "SERVICE", "KIND", "WAITING CORE S", "RUNNING CORE S", "RUNNING CORES", "RATE", "CAPACITY", "FREE", "OLDEST WAIT")
		for _, queue := range output.Queues {
			queue.row(t, "reserving", queue.Reserving)
			queue.row(t, "best-effort", queue.BestEffort)
		}
	})
}

func newQueueLoadOutput(load *wire.QueueLoad) queueLoadOutput {
	return queueLoadOutput{
		Queue:        load.GetQueue(),
		Service:      load.GetService(),
		Priority:     load.GetPriority(),
		RunTimeRatio: load.GetRunTimeRatio(),
		Reserving: kindLoadOutput{
			WaitingCoreS:  load.GetWaitingCoreS(),
			RunningCoreS:  load.GetRunningCoreS(),
			RunningCores:  load.GetRunningCores(),
			RateCores:     load.GetRateCores(),
			CapacityCores: load.GetCapacityCores(),
			FreeCores:     float64(load.GetFreeMillicores()) / 1000,
			OldestWaitMs:  load.GetOldestWaitMs(),
		},
		BestEffort: kindLoadOutput{
			WaitingCoreS:  load.GetWaitingBestEffortCoreS(),
			RunningCoreS:  load.GetRunningBestEffortCoreS(),
			RunningCores:  load.GetRunningBestEffortCores(),
			RateCores:     load.GetRateBestEffortCores(),
			CapacityCores: load.GetCapacityBestEffortCores(),
			FreeCores:     float64(load.GetIdleMillicores()) / 1000,
			OldestWaitMs:  load.GetOldestBestEffortWaitMs(),
		},
	}
}

// row adds a row for one kind of task, unless the queue has no work of the kind.
func (q queueLoadOutput) row(t *table, kind string, load kindLoadOutput) {
	if load.WaitingCoreS == 0 && load.RunningCores == 0 && load.RateCores == 0 {
		return
	}
	number := func(value float64) string { return fmt.Sprintf("%.1f", value) }
	t.row(q.Queue, q.Priority, q.Service, kind, number(load.WaitingCoreS), number(load.RunningCoreS), number(load.RunningCores),
		number(load.RateCores), number(load.CapacityCores), number(load.FreeCores), time.Duration(load.OldestWaitMs)*time.Millisecond)
}
