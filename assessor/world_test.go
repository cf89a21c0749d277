package assessor_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"damaskspread.example/damaskspread/assessor"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	tick         = 10 * time.Millisecond
	planInterval = 100 * time.Millisecond
	// crashWindow is that of package runner.
	crashWindow = 500 * time.Millisecond
	crashDelay  = 10 * time.Millisecond
	reportDelay = 20 * time.Millisecond
	maxLate     = 3 * time.Second
	// listInterval is the time between two lists of runs of an agent.
	listInterval = 900 * time.Millisecond
)

// scenario describes a fleet without a network on which executors crash by chance.
type scenario struct {
	seed     uint64
	hosts    int
	duration time.Duration
	// share of the executors crash every period; all in the same moment if together.
	share    float64
	period   time.Duration
	together bool
	// Each executor crashes at random that often in a second, in addition.
	rate float64
	// openJobs of one task are kept until totalJobs were submitted; with 0, all the time.
	openJobs, totalJobs int
	// Each task of this number crashes its executor; none with 0.
	deadlyEach int
	// leaderEach is the life of a leader; 0 is without end.
	leaderEach time.Duration
	// lateReports of the sessions after a crash open up to maxLate late, with their
	// reports. losesReports lets agents end before they report, once for each task.
	lateReports  float64
	losesReports bool
	// minRun and maxRun bound the run times of tasks.
	minRun, maxRun time.Duration
}

type run struct {
	id        tracker.TaskID
	number    int32
	startedAt time.Duration
	endsAt    time.Duration
}

type executor struct {
	name    string
	key     tracker.ExecutorKey
	phase   time.Duration
	runs    []run
	down    bool
	upAfter time.Duration
	// agentLost is set if the agent has ended with the executor.
	agentLost bool
}

type report struct {
	run
	executor tracker.ExecutorKey
	at       time.Duration
}

// world plays a scenario with a clock of its own.
type world struct {
	scenario

	random    *rand.Rand
	now       time.Duration
	executors []*executor
	jobs      map[string]*tracker.Job
	open      []string
	crashes   *assessor.Crashes
	reports   []report
	submitted int
	// By job: its starts, the crashes shortly after them, the starts after the third,
	// and whether its report was lost.
	starts, crashed, further map[string]int
	reportLost               map[string]bool
	healthyDone, deadlyLeft  int
	givenUp                  map[string]bool
}

func newWorld(s scenario) *world {
	w := &world{
		scenario:   s,
		random:     rand.New(rand.NewPCG(s.seed, 34)),
		now:        time.Hour,
		jobs:       map[string]*tracker.Job{},
		crashes:    &assessor.Crashes{},
		starts:     map[string]int{},
		crashed:    map[string]int{},
		further:    map[string]int{},
		reportLost: map[string]bool{},
		givenUp:    map[string]bool{},
	}
	for i := range s.hosts {
		e := &executor{name: fmt.Sprintf("h%d", i)}
		e.key = tracker.ExecutorKey{ID: e.name}
		if !s.together {
			e.phase = time.Duration(w.random.Int64N(int64(s.period))) / tick * tick
		}
		w.executors = append(w.executors, e)
	}
	return w
}

func (w *world) play() *world {
	for end := w.now + w.duration; w.now < end; w.now += tick {
		w.submit()
		for _, e := range w.executors {
			w.advance(e)
		}
		w.deliver()
		if w.now%planInterval == 0 {
			w.plan()
		}
		if w.leaderEach > 0 && w.now%w.leaderEach == 0 {
			w.replaceLeader()
		}
	}
	for id := range w.jobs {
		if deadly(id) {
			w.deadlyLeft++
		}
	}
	return w
}

func deadly(id string) bool { return strings.HasPrefix(id, "deadly") }

func (w *world) submit() {
	for len(w.jobs) < w.openJobs && (w.totalJobs == 0 || w.submitted < w.totalJobs) {
		w.submitted++
		id := fmt.Sprintf("healthy%d", w.submitted)
		if w.deadlyEach > 0 && w.submitted%w.deadlyEach == 0 {
			id = fmt.Sprintf("deadly%d", w.submitted)
		}
		w.open = append(w.open, id)
		w.jobs[id] = tracker.New(&wire.Job{
			Id:      id,
			Service: "s",
			Steps:   []*wire.JobStep{{Count: 1, Resources: &wire.Resources{Millicores: 1000, MemoryBytes: 1}}},
		})
	}
}

// advance ends runs, and crashes or boots the executor.
func (w *world) advance(e *executor) {
	if e.down {
		if w.now >= e.upAfter {
			w.boot(e)
		}
		return
	}
	wave := w.now%w.period == e.phase && w.random.Float64() < w.share
	if wave || (w.rate > 0 && w.random.Float64() < w.rate*tick.Seconds()) {
		w.crash(e)
		return
	}
	left := e.runs[:0]
	for _, r := range e.runs {
		switch {
		case deadly(r.id.Job) && w.now >= r.startedAt+crashDelay:
			w.crash(e)
			return
		case !deadly(r.id.Job) && w.now >= r.endsAt:
			if t := w.task(r); t != nil {
				t.End(&wire.RunEnd{Run: r.number, Cause: wire.EndCause_END_CAUSE_DONE}, e.key.ID)
				w.closeIfOver(r.id.Job)
			}
		default:
			left = append(left, r)
		}
	}
	e.runs = left
	if (w.now+e.phase)%listInterval == 0 {
		for _, r := range e.runs {
			if t := w.task(r); t != nil {
				t.AddListed(r.number, "", w.now)
			}
		}
	}
}

func (w *world) task(r run) *tracker.Task {
	if j := w.jobs[r.id.Job]; j != nil {
		return j.Task(r.id)
	}
	return nil
}

func (w *world) crash(e *executor) {
	e.down = true
	e.upAfter = w.now + 20*time.Millisecond + time.Duration(w.random.Int64N(int64(480*time.Millisecond)))
	var fresh []run
	mayLose := w.losesReports && w.random.IntN(3) == 0
	for _, r := range e.runs {
		if w.now-r.startedAt <= crashWindow {
			fresh = append(fresh, r)
			w.crashed[r.id.Job]++
			mayLose = mayLose && !w.reportLost[r.id.Job]
		}
	}
	delay := reportDelay
	if w.random.Float64() < w.lateReports {
		delay = time.Duration(w.random.Int64N(int64(maxLate)))
		e.upAfter = max(e.upAfter, w.now+delay+tick)
	}
	e.agentLost = mayLose
	for _, r := range fresh {
		w.reportLost[r.id.Job] = w.reportLost[r.id.Job] || mayLose
		if !mayLose {
			w.reports = append(w.reports, report{run: r, executor: e.key, at: w.now + delay})
		}
	}
}

// boot releases the runs of the executor before and starts the next one.
func (w *world) boot(e *executor) {
	if !e.agentLost {
		w.crashes.Add(assessor.Executor(e.key), "", false, w.now)
	}
	for _, r := range e.runs {
		t := w.task(r)
		if t == nil || !t.Assigned() || t.Executor() != e.key {
			continue
		}
		w.weigh(t, e.key)
		if e.agentLost {
			t.Lose()
		} else {
			t.LoseWitnessed(w.now)
		}
		w.closeIfOver(r.id.Job)
	}
	e.runs = nil
	e.down = false
	e.key.BornUnixMs++
}

func (w *world) weigh(t *tracker.Task, key tracker.ExecutorKey) {
	t.SetCrashChance(w.crashes.Chance(assessor.Executor(key), t.ID().String(), w.now))
}

func (w *world) deliver() {
	left := w.reports[:0]
	for _, r := range w.reports {
		if w.now < r.at {
			left = append(left, r)
			continue
		}
		t := w.task(r.run)
		if t == nil {
			continue
		}
		w.crashes.Add(assessor.Executor(r.executor), t.ID().String(), t.Crashes() > 0, w.now)
		w.weigh(t, r.executor)
		t.Expose(r.number)
		w.closeIfOver(r.id.Job)
	}
	w.reports = left
}

func (w *world) closeIfOver(id string) {
	j := w.jobs[id]
	if j == nil || !j.Over() {
		return
	}
	if j.State() == wire.JobState_JOB_STATE_FAILED {
		w.givenUp[id] = true
	} else {
		w.healthyDone++
	}
	delete(w.jobs, id)
}

// plan starts waiting tasks with the real planner.
func (w *world) plan() {
	var hosts []*planner.Host
	byKey := map[tracker.ExecutorKey]*executor{}
	for _, e := range w.executors {
		// The leader notices a crash when the executor is replaced, so it also assigns
		// tasks to one that is down.
		host := &planner.Host{
			Key:           e.key,
			Name:          e.name,
			Service:       "s",
			Capacity:      &wire.Resources{Millicores: 16000, MemoryBytes: 1 << 30},
			Usable:        !e.down,
			ProbationFrom: w.now - planner.ProbationTime,
		}
		for _, r := range e.runs {
			if t := w.task(r); t != nil && t.Assigned() {
				host.AddAssigned(t)
			}
		}
		byKey[e.key] = e
		hosts = append(hosts, host)
	}
	w.start((&planner.Planner{}).Plan(w.readyGroups(), hosts), byKey)
	calm := 0
	for _, host := range hosts {
		if !host.InProbation() {
			calm++
		}
	}
	w.crashes.Observe(calm, w.now)
}

// readyGroups returns the waiting tasks in the order of submission, so that a seed
// repeats.
func (w *world) readyGroups() []*tracker.Group {
	var groups []*tracker.Group
	w.open = slices.DeleteFunc(w.open, func(id string) bool { return w.jobs[id] == nil })
	for _, id := range w.open {
		groups = append(groups, w.jobs[id].Ready(0)...)
	}
	return groups
}

func (w *world) start(plan []planner.Assignment, byKey map[tracker.ExecutorKey]*executor) {
	for _, a := range plan {
		e := byKey[a.Host.Key]
		a.Task.Assign(e.key, e.name, a.Run, w.now)
		id := a.Task.ID().Job
		w.starts[id]++
		if w.crashed[id] >= 3 {
			w.further[id]++
		}
		length := w.minRun + time.Duration(w.random.Int64N(int64(w.maxRun-w.minRun)+1))
		e.runs = append(e.runs, run{id: a.Task.ID(), number: a.Run, startedAt: w.now, endsAt: w.now + length})
	}
}

// replaceLeader keeps what a leader stores only.
func (w *world) replaceLeader() {
	for id, j := range w.jobs {
		w.jobs[id] = tracker.Restore(j.Spec(), j.Progress(0))
	}
	w.crashes = &assessor.Crashes{}
}
