package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"damaskspread.example/damaskspread/placer"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/scheduler"
	"damaskspread.example/damaskspread/wire"
)

var start = time.Unix(1_700_000_000, 0)

// cluster is a simulated cluster: it applies the records of several planners to
// one replayed state at simulated times. It has no log and no agents.
type cluster struct {
	state  *replayer.State
	now    time.Time
	offset int64
	// age is the age of the state that is passed to the planners.
	age      time.Duration
	planners []*scheduler.Planner
	// plans holds the records of each planner in the last step.
	plans [][]*wire.Record
	// recordCounts counts the planned records by the Go type of their body.
	recordCounts map[string]int
	// observeTime is the real time that the planners spent in Observe.
	observeTime time.Duration
}

func newCluster(entries int, teams func(string) scheduler.Team) *cluster {
	c := &cluster{
		state:        replayer.New(),
		now:          start,
		recordCounts: map[string]int{},
	}
	for i := range entries {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		index := placer.NewIndex()
		index.RampTime = time.Minute
		c.planners = append(c.planners, &scheduler.Planner{
			Entry: fmt.Sprint("entry", i),
			Index: index,
			Policy: &placer.Spread{
				Index:  index,
				Random: random,
			},
			Teams:  teams,
			Random: random,
		})
		c.planners[i].Reload(c.state, c.now)
	}
	for i := range entries {
		c.apply(&wire.Record{Body: &wire.Record_EntryAlive{EntryAlive: &wire.EntryAlive{Entry: fmt.Sprint("entry", i)}}})
	}
	return c
}

func (c *cluster) apply(records ...*wire.Record) []replayer.Change {
	c.offset++
	for _, record := range records {
		record.RecordedUnixMs = c.now.UnixMilli()
	}
	changes := c.state.Apply(c.offset, &wire.RecordBatch{Records: records})
	began := time.Now()
	for _, p := range c.planners {
		p.Observe(c.state, changes, c.now)
	}
	c.observeTime += time.Since(began)
	return changes
}

// step advances the time, lets every planner plan once, and applies the records.
func (c *cluster) step(d time.Duration) {
	c.now = c.now.Add(d)
	c.plans = c.plans[:0]
	for _, p := range c.planners {
		c.plans = append(c.plans, p.Plan(c.now, c.age))
	}
	for i, records := range c.plans {
		if len(records) > 0 {
			c.apply(records...)
			c.planners[i].HandleAppendResult(records, nil, c.now)
		}
		for _, record := range records {
			c.recordCounts[fmt.Sprintf("%T", record.GetBody())]++
		}
	}
}

func (c *cluster) join(id, zone string, millicores, memoryGB int64) {
	c.apply(&wire.Record{Body: &wire.Record_HostJoined{HostJoined: &wire.HostJoined{Spec: &wire.HostSpec{
		Host:        id,
		Incarnation: "i" + fmt.Sprint(c.offset),
		WorkerBoot:  "b" + id,
		Zone:        zone,
		Rack:        "rack" + id,
		Capacity: &wire.Resources{
			Millicores:  millicores,
			MemoryBytes: memoryGB << 30,
		},
	}}}})
}

func (c *cluster) joinWithService(id, zone string) {
	c.apply(&wire.Record{Body: &wire.Record_HostJoined{HostJoined: &wire.HostJoined{Spec: &wire.HostSpec{
		Host:        id,
		Incarnation: "i",
		WorkerBoot:  "b" + id,
		Zone:        zone,
		Capacity:    &wire.Resources{Millicores: 16_000, MemoryBytes: 60 << 30},
		Endpoint:    &wire.EndpointSpec{Service: "service", Slots: 8},
	}}}})
}

func (c *cluster) submit(spec *wire.TaskSpec) {
	if spec.Team == "" {
		spec.Team = "team"
	}
	spec.SubmittedUnixMs = c.now.UnixMilli()
	c.apply(&wire.Record{Body: &wire.Record_TaskSubmitted{TaskSubmitted: &wire.TaskSubmitted{Spec: spec}}})
}

func (c *cluster) setZone(name string, in bool) {
	current, _ := c.state.Section("zone " + name)
	c.apply(&wire.Record{Body: &wire.Record_SectionPublished{SectionPublished: &wire.SectionPublished{
		Section: "zone " + name,
		Text:    fmt.Sprint("in_service = ", in),
		Base:    current.GetPosition(),
	}}})
}

func (c *cluster) finish(id string, result wire.TaskResult) {
	task, _ := c.state.Task(id)
	c.apply(&wire.Record{Body: &wire.Record_TaskFinished{TaskFinished: &wire.TaskFinished{
		Task:    id,
		Attempt: task.GetAttempt(),
		Host:    task.GetHost(),
		Result:  result,
		Retry:   true,
	}}})
}

// stopTasks applies the records that agents append for requested evictions and
// cancellations. It returns the evicted tasks.
func (c *cluster) stopTasks() (evicted []string) {
	for _, task := range c.claims() {
		if task.GetCancelRequested() {
			c.finish(task.GetSpec().GetTask(), wire.TaskResult_TASK_RESULT_CANCELED)
		} else if task.GetEvictionRequested() {
			c.apply(&wire.Record{Body: &wire.Record_TaskEvicted{TaskEvicted: &wire.TaskEvicted{
				Task:       task.GetSpec().GetTask(),
				Attempt:    task.GetAttempt(),
				Host:       task.GetHost(),
				Checkpoint: "c",
			}}})
			evicted = append(evicted, task.GetSpec().GetTask())
		}
	}
	return evicted
}

func (c *cluster) claims() (list []*wire.TaskState) {
	for host := range c.state.Hosts() {
		for task := range c.state.ClaimsOf(host.GetSpec().GetHost()) {
			list = append(list, task)
		}
	}
	return list
}

func (c *cluster) task(id string) *wire.TaskState {
	task, _ := c.state.Task(id)
	return task
}

func spec(id string, urgent bool, millicores, memoryGB int64) *wire.TaskSpec {
	class := wire.TaskClass_TASK_CLASS_BATCH
	if urgent {
		class = wire.TaskClass_TASK_CLASS_LATENCY_CRITICAL
	}
	return &wire.TaskSpec{
		Task:          id,
		Class:         class,
		Kind:          "render",
		CanCheckpoint: true,
		MaxWaitMs:     60_000,
		Resources: &wire.Resources{
			Millicores:  millicores,
			MemoryBytes: memoryGB << 30,
		},
	}
}
