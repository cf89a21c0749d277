package appraiser_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/appraiser"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	epoch = 7
	begun = time.Hour
	nowMs = int64(1_000_000)
)

var executor = tracker.ExecutorKey{ID: "e"}

// leader holds the state from which a test computes estimates.
type leader struct {
	appraiser appraiser.Appraiser
	jobs      map[string]*tracker.Job
	hosts     []*planner.Host
	waiting   map[string]time.Duration
	now       time.Duration
}

func newLeader() *leader {
	l := &leader{
		jobs:    map[string]*tracker.Job{},
		waiting: map[string]time.Duration{},
		now:     begun,
	}
	l.appraiser.Begin(epoch, begun)
	return l
}

func (l *leader) estimate() *wire.LoadEstimate {
	l.appraiser.Update(appraiser.State{
		Jobs:  l.jobs,
		Hosts: l.hosts,
		WaitingSince: func(group string) (time.Duration, bool) {
			since, waits := l.waiting[group]
			return since, waits
		},
		Now:       l.now,
		NowUnixMs: nowMs,
	})
	return l.appraiser.Estimate(epoch, l.now)
}

func (l *leader) queue(t *testing.T, name string) *wire.QueueLoad {
	t.Helper()
	for _, load := range l.estimate().GetQueues() {
		if load.GetQueue() == name {
			return load
		}
	}
	t.Fatalf("no queue %s in the estimate", name)
	return nil
}

func (l *leader) add(job *wire.Job) *tracker.Job {
	job.Service = "s"
	j := tracker.New(job)
	l.jobs[job.GetId()] = j
	return j
}

// run assigns the next pending task of a job's step.
func (l *leader) run(j *tracker.Job, step int) *tracker.Task {
	for i := 0; ; i++ {
		if task := j.Task(tracker.TaskID{Step: step, Index: i}); task.Pending() {
			task.Assign(executor, "host", 1, l.now)
			return task
		}
	}
}

func (l *leader) end(task *tracker.Task) {
	task.End(&wire.RunEnd{Run: task.Run(), Cause: wire.EndCause_END_CAUSE_DONE}, executor.ID)
	if task.Done() {
		l.appraiser.RecordDone(task, l.now)
	}
}

func newStep(count int32, cores int64, estimate time.Duration) *wire.JobStep {
	return &wire.JobStep{
		Count:      count,
		Resources:  &wire.Resources{Millicores: cores * 1000},
		EstimateMs: estimate.Milliseconds(),
	}
}

func newHost(name string, cores int64, tasks ...*tracker.Task) *planner.Host {
	host := &planner.Host{
		Name:     name,
		Service:  "s",
		Capacity: &wire.Resources{Millicores: cores * 1000},
		Usable:   true,
	}
	for _, task := range tasks {
		host.AddAssigned(task)
	}
	return host
}

// Guards against work that is left out, counted twice or counted for the wrong kind of
// task, and against long-running tasks and occurrences of later times that count as
// work before a new job.
func TestEstimateOfAKnownState(t *testing.T) {
	l := newLeader()
	after := newStep(2, 1, 5*time.Second)
	after.After = []int32{0}
	render := l.add(&wire.Job{Id: "a", Queue: "renders", Priority: 1, Steps: []*wire.JobStep{newStep(4, 2, 10*time.Second), after}})
	filler := newStep(3, 4, 2*time.Second)
	filler.FillsIdle = true
	fill := l.add(&wire.Job{Id: "b", Queue: "scans", Priority: 2, Steps: []*wire.JobStep{filler}})
	endless := newStep(2, 3, 0)
	endless.LongRunning = true
	serving := l.add(&wire.Job{Id: "c", Queue: "sites", Steps: []*wire.JobStep{endless}})
	l.add(&wire.Job{
		Id: "d", Queue: "reports", RepeatCount: 5, FirstStartUnixMs: nowMs - 1, IntervalMs: 60_000,
		Steps: []*wire.JobStep{newStep(1, 1, time.Second)},
	})
	over := l.add(&wire.Job{Id: "e", Queue: "renders", Steps: []*wire.JobStep{newStep(50, 1, time.Second)}})
	over.Cancel()
	l.hosts = []*planner.Host{
		newHost("h1", 8, l.run(render, 0), l.run(serving, 0)),
		newHost("h2", 8, l.run(fill, 0)),
		newHost("h3", 8),
	}
	l.hosts[2].Usable = false
	l.waiting["a.0.0"] = begun + time.Second
	l.waiting["b.0.0"] = begun + 3*time.Second
	l.now += 4 * time.Second

	// Jobs a and b have no objective and have waited for longer than planner.StarvationBound.
	want := []*wire.QueueLoad{
		{
			Queue: "renders", Priority: 1, WaitingCoreS: 3*2*10 + 2*1*5, RunningCoreS: 2 * 6, RunningCores: 2, OldestWaitMs: 3000,
			Waiting: &wire.WaitingWork{OnTimeCoreS: []float32{70}},
		},
		{
			Queue: "scans", Priority: 2, WaitingBestEffortCoreS: 2 * 4 * 2, RunningBestEffortCores: 4, OldestBestEffortWaitMs: 1000,
			WaitingBestEffort: &wire.WaitingWork{OnTimeCoreS: []float32{16}},
		},
		{
			Queue: "reports", WaitingCoreS: 1,
			// Due since 1 ms, without an objective.
			Waiting: &wire.WaitingWork{OverdueCoreS: 1},
		},
	}
	got := l.estimate()
	assert.Equal(t, len(got.GetQueues()), len(want))
	for i, load := range want {
		load.Service = "s"
		load.RunTimeRatio = 1
		// 8-2-3 on h1 and 8 on h2, of which the best-effort task takes 4.
		load.FreeMillicores, load.IdleMillicores = 11_000, 7_000
		load.CapacityCores, load.CapacityBestEffortCores = 5+8, 3+8
		assert.Assert(t, proto.Equal(got.GetQueues()[i], load), "got %v\nwant %v", got.GetQueues()[i], load)
	}
}

// Guards against idle capacity that is reported for hosts on which no best-effort task
// starts, because a serving task is near its target.
func TestNoIdleCapacityNearTarget(t *testing.T) {
	l := newLeader()
	l.add(&wire.Job{Id: "a", Queue: "q", Steps: []*wire.JobStep{newStep(1, 1, time.Second)}})
	l.hosts = []*planner.Host{newHost("h1", 8), newHost("h2", 4)}
	l.hosts[0].NearTarget = true
	load := l.queue(t, "q")
	assert.Equal(t, load.GetIdleMillicores(), int64(4000))
	assert.Equal(t, load.GetFreeMillicores(), int64(12_000))
}

// Guards against estimates by declared run times where learned ones are known, and
// against negative remaining work of runs that take longer than predicted.
func TestPredictedRunTimes(t *testing.T) {
	l := newLeader()
	l.appraiser.Duration = func(queue, image string, declared time.Duration) time.Duration {
		assert.Equal(t, queue+image, "qi")
		return 2 * declared
	}
	step := newStep(3, 1, time.Second)
	step.Image = "i"
	job := l.add(&wire.Job{Id: "a", Queue: "q", Steps: []*wire.JobStep{step}})
	l.run(job, 0)
	l.now += 10 * time.Second
	l.run(job, 0)
	load := l.queue(t, "q")
	assert.Equal(t, load.GetWaitingCoreS(), 2.0)
	assert.Equal(t, load.GetRunningCoreS(), 2.0)
	assert.Equal(t, load.GetRunTimeRatio(), 2.0)
}

// Guards against remaining work of the full run time, or of none, for runs whose start
// a new leader doesn't know.
func TestRunsOfAnEarlierLeader(t *testing.T) {
	l := newLeader()
	job := l.add(&wire.Job{Id: "a", Queue: "q", Steps: []*wire.JobStep{newStep(1, 4, 10*time.Second)}})
	l.run(job, 0)
	l.jobs["a"] = tracker.Restore(job.Spec(), job.Progress(0))
	assert.Equal(t, l.queue(t, "q").GetRunningCoreS(), 20.0)
}

// Guards against a rate that differs from the work that ends, mixes the kinds of
// tasks, counts a gang as one task or remembers ends beyond the window.
func TestRates(t *testing.T) {
	l := newLeader()
	filler := newStep(100, 1, time.Second)
	filler.FillsIdle = true
	job := l.add(&wire.Job{Id: "a", Queue: "q", Steps: []*wire.JobStep{newStep(200, 2, time.Second), filler}})
	for range 40 {
		l.now += 500 * time.Millisecond
		l.end(l.run(job, 0))
		l.end(l.run(job, 0))
	}
	for range 3 {
		l.end(l.run(job, 1))
	}
	l.now += 499 * time.Millisecond
	load := l.queue(t, "q")
	// The window begins with the part of its first bucket that has not left it.
	assert.Assert(t, load.GetRateCores() > 7.9 && load.GetRateCores() < 8.1, "%v", load)
	assert.Assert(t, load.GetRateBestEffortCores() > 0.49 && load.GetRateBestEffortCores() < 0.51, "%v", load)
	gang := newStep(5, 2, 6*time.Second)
	gang.Gang = true
	members := l.add(&wire.Job{Id: "b", Queue: "gangs", Steps: []*wire.JobStep{gang}})
	for range 5 {
		l.run(members, 0)
	}
	l.end(members.Task(tracker.TaskID{Index: 3}))
	l.end(members.Task(tracker.TaskID{Index: 4}))
	assert.Assert(t, l.queue(t, "gangs").GetRateCores() > 9.9)
	l.now += appraiser.Window
	assert.Equal(t, l.queue(t, "q").GetRateCores(), 0.0)
	for _, load := range l.estimate().GetQueues() {
		assert.Assert(t, load.GetQueue() != "gangs", "a queue without work or rate is listed")
	}
}

// Guards against a rate that is too low at the beginning of a term, which makes
// entries refuse what would run in time.
func TestRateOfANewLeader(t *testing.T) {
	l := newLeader()
	job := l.add(&wire.Job{Id: "a", Queue: "q", Steps: []*wire.JobStep{newStep(20, 1, time.Second)}})
	for range 8 {
		l.now += 250 * time.Millisecond
		l.end(l.run(job, 0))
	}
	assert.Equal(t, l.queue(t, "q").GetRateCores(), 4.0)
	l.appraiser.Begin(epoch+1, l.now)
	assert.Assert(t, l.appraiser.Estimate(epoch, l.now) == nil, "the estimate of an earlier term is left")
	assert.Assert(t, l.appraiser.Due(l.now))
}

// Guards against a burst that the estimate shows late, not at all, or after it has
// been worked off.
func TestBurst(t *testing.T) {
	l := newLeader()
	l.hosts = []*planner.Host{newHost("h", 8)}
	assert.Equal(t, len(l.estimate().GetQueues()), 0)
	var jobs []*tracker.Job
	for i := range 100 {
		jobs = append(jobs, l.add(&wire.Job{Id: fmt.Sprint(i), Queue: "q", Steps: []*wire.JobStep{newStep(1, 1, 2*time.Second)}}))
		l.waiting[fmt.Sprint(i)+".0.0"] = l.now
	}
	left := 200.0
	for len(jobs) > 0 {
		assert.Equal(t, l.queue(t, "q").GetWaitingCoreS(), left)
		assert.Equal(t, l.queue(t, "q").GetOldestWaitMs(), max((l.now-begun).Milliseconds(), 1))
		running := jobs[:min(8, len(jobs))]
		jobs = jobs[len(running):]
		var tasks []*tracker.Task
		for _, job := range running {
			tasks = append(tasks, l.run(job, 0))
		}
		l.now += 2 * time.Second
		for _, task := range tasks {
			l.end(task)
			left -= 2
		}
	}
	load := l.queue(t, "q")
	assert.Equal(t, load.GetWaitingCoreS()+load.GetRunningCoreS(), 0.0)
	assert.Equal(t, load.GetOldestWaitMs(), int64(0))
}

// Guards against an estimate that grows with the hosts or without a bound with the
// queues, and against leaving out the queues with the most work.
func TestBoundedSize(t *testing.T) {
	l := newLeader()
	for i := range 200 {
		// The work of each kind is in all buckets.
		for bucket := range appraiser.DeadlineBuckets {
			filler := newStep(1, 1, time.Second)
			filler.FillsIdle = true
			l.add(&wire.Job{
				Id:             fmt.Sprintf("%d-%d", i, bucket),
				Queue:          fmt.Sprintf("queue-%d", i),
				AcceptedUnixMs: nowMs,
				ObjectiveMs:    1000 << bucket,
				Steps:          []*wire.JobStep{newStep(int32(i+1), 1, time.Second), filler},
			})
		}
	}
	l.hosts = []*planner.Host{newHost("h", 64_000)}
	small := l.estimate()
	assert.Equal(t, len(small.GetQueues()), appraiser.MaxQueues)
	assert.Equal(t, small.GetQueues()[0].GetQueue(), "queue-199")
	l.hosts = nil
	for i := range 1000 {
		l.hosts = append(l.hosts, newHost(fmt.Sprint(i), 64))
	}
	large := l.estimate()
	assert.Equal(t, proto.Size(large), proto.Size(small))
	assert.Assert(t, proto.Size(large) < 10<<10, "%d bytes", proto.Size(large))
}

// Guards against an age that is rounded down or restarts, and against estimates more
// often than necessary.
func TestAgeAndInterval(t *testing.T) {
	l := newLeader()
	assert.Assert(t, l.appraiser.Due(l.now))
	assert.Equal(t, l.estimate().GetAgeMs(), int64(0))
	assert.Assert(t, !l.appraiser.Due(l.now+appraiser.Interval-1))
	assert.Assert(t, l.appraiser.Due(l.now+appraiser.Interval))
	assert.Equal(t, l.appraiser.Estimate(epoch, l.now+1500*time.Millisecond+1).GetAgeMs(), int64(1501))
}
