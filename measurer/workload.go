package measurer

import (
	"fmt"
	"math/rand/v2"

	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

const (
	region       = "measured"
	batchRecords = 1000
	services     = 40
	teams        = 680
	zones        = 10
	gibibyte     = 1 << 30
)

// workload builds records. Their identifiers are as long and as random as real
// ones, because these largely determine the size of records and compressed
// snapshots.
type workload struct {
	random *rand.Rand
	unixMs int64
}

func newWorkload() *workload {
	return &workload{
		random: rand.New(rand.NewPCG(1, 1)),
		unixMs: 1_800_000_000_000,
	}
}

func (w *workload) id() string {
	return fmt.Sprintf("%016x%016x", w.random.Uint64(), w.random.Uint64())
}

func (w *workload) record(actor string) *wire.Record {
	w.unixMs++
	return &wire.Record{
		Id:             w.id(),
		Actor:          actor,
		RecordedUnixMs: w.unixMs,
	}
}

func hostName(i int) string { return fmt.Sprintf("host-%05d", i) }

func (w *workload) hostSpec(i int) *wire.HostSpec {
	return &wire.HostSpec{
		Host:          hostName(i),
		Incarnation:   w.id(),
		WorkerBoot:    "boot-" + hostName(i),
		Region:        region,
		Zone:          fmt.Sprintf("zone-%d", i%zones),
		Rack:          fmt.Sprintf("rack-%d", i/30),
		Address:       fmt.Sprintf("10.%d.%d.%d:7410", i>>16, i>>8&255, i&255),
		WorkerAddress: fmt.Sprintf("10.%d.%d.%d:7430", i>>16, i>>8&255, i&255),
		Capacity: &wire.Resources{
			Millicores:   1_000_000,
			MemoryBytes:  4096 * gibibyte,
			Accelerators: 2,
		},
		Endpoint: &wire.EndpointSpec{
			Service:     fmt.Sprintf("service-%02d", i%services),
			Slots:       8,
			Connections: 64,
		},
	}
}

func (w *workload) hostJoined(i int, entry string) *wire.Record {
	r := w.record("agent " + hostName(i))
	r.Body = &wire.Record_HostJoined{
		HostJoined: &wire.HostJoined{
			Spec:  w.hostSpec(i),
			Entry: entry,
		},
	}
	return r
}

func (w *workload) taskSubmitted(task string) *wire.Record {
	hash := make([]byte, 32)
	for i := range hash {
		hash[i] = byte(w.random.Uint32())
	}
	r := w.record("caller atelier")
	r.Body = &wire.Record_TaskSubmitted{
		TaskSubmitted: &wire.TaskSubmitted{
			Spec: &wire.TaskSpec{
				Task:  task,
				Team:  fmt.Sprintf("team-%d", w.random.IntN(teams)),
				Class: wire.TaskClass_TASK_CLASS_BATCH,
				Kind:  "render",
				Resources: &wire.Resources{
					Millicores:  1000,
					MemoryBytes: 2 * gibibyte,
				},
				ExpectedDurationMs: 600_000,
				MaxWaitMs:          3_600_000,
				CanCheckpoint:      true,
				IdempotencyKey:     w.id(),
				BodyHash:           hash,
				Parameters: map[string]string{
					"pattern": w.id(),
				},
				SubmittedUnixMs: w.unixMs,
			},
		},
	}
	return r
}

func (w *workload) taskClaimed(task string, host int) *wire.Record {
	r := w.record("entry entry-1")
	r.Body = &wire.Record_TaskClaimed{
		TaskClaimed: &wire.TaskClaimed{
			Task:       task,
			Attempt:    1,
			Host:       hostName(host),
			WorkerBoot: "boot-" + hostName(host),
			Reason:     "best score of 24 candidates",
		},
	}
	return r
}

func (w *workload) taskFinished(task string, host int) *wire.Record {
	r := w.record("agent/" + hostName(host))
	r.Body = &wire.Record_TaskFinished{
		TaskFinished: &wire.TaskFinished{
			Task:    task,
			Attempt: 1,
			Host:    hostName(host),
			Result:  wire.TaskResult_TASK_RESULT_SUCCEEDED,
		},
	}
	return r
}

func (w *workload) sectionPublished(section string, base *wire.Position) *wire.Record {
	r := w.record("operator of " + section)
	r.Body = &wire.Record_SectionPublished{
		SectionPublished: &wire.SectionPublished{
			Section: section,
			Team:    "operations",
			Base:    base,
			Text:    fmt.Sprintf("owner = operations\nprocessors = %d\nmemory = 64GiB\naccelerators = 4\n# %s\n", w.random.IntN(1000), w.id()),
		},
	}
	return r
}

// Numbers of tasks in the state at the target size.
const (
	runningTasks  = 35_400
	waitingTasks  = 36_000
	finishedTasks = 40_000
	tasksAtTarget = runningTasks + waitingTasks + finishedTasks
)

// stateBatches returns the records of a state with that many hosts, tasks and
// sections, in batches.
func (w *workload) stateBatches(hosts, tasks, sections int) []*wire.RecordBatch {
	var records []*wire.Record
	for i := range hosts {
		records = append(records, w.hostJoined(i, "entry-1"))
	}
	for i := range sections {
		records = append(records, w.sectionPublished(fmt.Sprintf("team team-%d", i), nil))
	}
	waiting := tasks * waitingTasks / tasksAtTarget
	ended := tasks * finishedTasks / tasksAtTarget
	for i := range tasks {
		task := w.id()
		records = append(records, w.taskSubmitted(task))
		if i >= waiting {
			records = append(records, w.taskClaimed(task, i%max(hosts, 1)))
		}
		if i >= tasks-ended {
			records = append(records, w.taskFinished(task, i%max(hosts, 1)))
		}
	}
	var batches []*wire.RecordBatch
	for len(records) > 0 {
		count := min(len(records), batchRecords)
		batches = append(batches, &wire.RecordBatch{
			Records: records[:count],
		})
		records = records[count:]
	}
	return batches
}

// replay returns the state after the batches.
func replay(batches []*wire.RecordBatch) *replayer.State {
	state := replayer.New()
	for i, batch := range batches {
		state.Apply(int64(i), batch)
	}
	return state
}
