package assessor_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"damaskspread.example/damaskspread/assessor"
)

const (
	simulatedTick = 20 * time.Millisecond
	simulatedTime = 40 * time.Second
	// brokenFrom and brokenUntil bound the time in which executors and jobs are broken.
	brokenFrom, brokenUntil = 5 * time.Second, 25 * time.Second
	simulatedSlots          = 8
	simulatedAttempts       = 3
	simulatedBackoff        = 800 * time.Millisecond
	longestBackoff          = 6 * time.Second
	simulatedClear          = 3 * time.Second
)

// suspecting is a rule for when an executor is suspect.
type suspecting interface {
	AddSuccess(executor assessor.Executor, step assessor.Step, now time.Duration)
	AddFailure(executor assessor.Executor, step assessor.Step, first bool, now time.Duration)
	Weigh(running assessor.InProgress, now time.Duration)
	Suspect(executor assessor.Executor) bool
	Evidence(executor assessor.Executor) float64
	Explained(executor assessor.Executor, step assessor.Step) bool
	Doubtful(step assessor.Step) bool
	Clear(executor assessor.Executor)
}

// countFailures is the baseline: two consecutive first failures.
type countFailures map[assessor.Executor]int

func (c countFailures) AddSuccess(executor assessor.Executor, _ assessor.Step, _ time.Duration) {
	delete(c, executor)
}

func (c countFailures) AddFailure(executor assessor.Executor, _ assessor.Step, first bool, _ time.Duration) {
	if first {
		c[executor]++
	}
}
func (c countFailures) Weigh(assessor.InProgress, time.Duration)        {}
func (c countFailures) Suspect(executor assessor.Executor) bool         { return c[executor] >= 2 }
func (c countFailures) Evidence(assessor.Executor) float64              { return 0 }
func (c countFailures) Explained(assessor.Executor, assessor.Step) bool { return false }
func (c countFailures) Doubtful(assessor.Step) bool                     { return false }
func (c countFailures) Clear(executor assessor.Executor)                { delete(c, executor) }

// suspicionLoad is what a simulated service meets between brokenFrom and brokenUntil.
type suspicionLoad struct {
	name            string
	executors       int
	brokenExecutors int
	// failingExecutors is the share of its starts that a broken executor fails.
	failingShare float64
	brokenJobs   float64 // share of the jobs
	brokenTasks  float64 // share of the tasks of sound jobs
	// large adds a broken job of this many tasks at brokenFrom.
	large int
	// load is the share of the slots that sound jobs need.
	load float64
}

type simulatedJob struct {
	step           assessor.Step
	broken         bool
	arrived, ended time.Duration
	open           int
	givenUp        bool
}

type simulatedTask struct {
	job      *simulatedJob
	index    int
	runTime  time.Duration
	poisoned bool
	failures int
	failedOn map[int]bool
}

type simulatedRun struct {
	task  *simulatedTask
	until time.Duration
	fails bool
	probe bool
	// stopped means that the run's end says nothing.
	stopped bool
}

type simulatedExecutor struct {
	key          assessor.Executor
	broken       bool
	runs         []simulatedRun
	fresh        []assessor.Step
	suspect      bool
	backoff      time.Duration
	backoffUntil time.Duration
}

// suspicionWorld is a service that starts waiting tasks in the order of arrival.
type suspicionWorld struct {
	load      suspicionLoad
	rule      suspecting
	random    *rand.Rand // of the arrivals
	failing   *rand.Rand // of the broken executors
	executors []*simulatedExecutor
	jobs      []*simulatedJob
	waiting   []*simulatedTask
	now       time.Duration
	// wasted counts the runs of sound tasks that failed on broken executors.
	wasted int
}

// playSuspicion returns the world after its jobs have ended or the time is over.
func playSuspicion(load suspicionLoad, rule suspecting, seed uint64) *suspicionWorld {
	w := &suspicionWorld{
		load:   load,
		rule:   rule,
		random: rand.New(rand.NewPCG(seed, 1)),

		failing: rand.New(rand.NewPCG(seed, 2)),
	}
	for i := range load.executors {
		w.executors = append(w.executors, &simulatedExecutor{
			key:     assessor.Executor{ID: strconv.Itoa(i)},
			backoff: simulatedBackoff,
		})
	}
	for w.now = 0; w.now < simulatedTime; w.now += simulatedTick {
		w.arrive()
		for i, e := range w.executors {
			e.broken = i < load.brokenExecutors && w.inTrouble()
			w.endRuns(i, e)
		}
		w.review()
		w.place()
	}
	return w
}

func (w *suspicionWorld) inTrouble() bool { return w.now >= brokenFrom && w.now < brokenUntil }

func (w *suspicionWorld) arrive() {
	const meanTasks, meanRunTime = 10, 0.6
	if w.load.large > 0 && w.now == brokenFrom {
		w.addJob(w.load.large, true)
	}
	perSecond := w.load.load * float64(w.load.executors*simulatedSlots) / (meanTasks * meanRunTime)
	arrives := w.random.Float64() < perSecond*simulatedTick.Seconds()
	tasks := 1 + w.random.IntN(2*meanTasks-1)
	broken := w.random.Float64() < w.load.brokenJobs
	if arrives && w.now < simulatedTime-10*time.Second {
		w.addJob(tasks, broken && w.inTrouble())
	}
}

func (w *suspicionWorld) addJob(tasks int, broken bool) {
	job := &simulatedJob{
		step:    assessor.Step{Job: strconv.Itoa(len(w.jobs))},
		broken:  broken,
		arrived: w.now,
		open:    tasks,
	}
	w.jobs = append(w.jobs, job)
	runTime := time.Duration((0.2 + 0.8*w.random.Float64()) * float64(time.Second))
	for index := range tasks {
		w.waiting = append(w.waiting, &simulatedTask{
			job:      job,
			index:    index,
			runTime:  runTime,
			poisoned: broken || w.inTrouble() && w.random.Float64() < w.load.brokenTasks,
			failedOn: map[int]bool{},
		})
	}
}

func (w *suspicionWorld) endRuns(index int, e *simulatedExecutor) {
	e.runs = slices.DeleteFunc(e.runs, func(run simulatedRun) bool {
		if run.until > w.now {
			return false
		}
		job := run.task.job
		if run.stopped || job.givenUp {
			return true
		}
		if !run.fails {
			w.rule.AddSuccess(e.key, job.step, w.now)
			e.suspect, e.fresh, e.backoff = false, nil, simulatedBackoff
			w.endTask(job)
			return true
		}
		first := run.task.failures == 0
		w.rule.AddFailure(e.key, job.step, first, w.now)
		if first {
			e.fresh = append(e.fresh, job.step)
		}
		if !run.task.poisoned {
			w.wasted++
		}
		run.task.failures++
		run.task.failedOn[index] = true
		if run.task.failures < simulatedAttempts {
			w.requeue(run.task)
			return true
		}
		job.givenUp = true
		w.endTask(job)
		return true
	})
}

// requeue returns a task to its place: the planner orders by job, then by index.
func (w *suspicionWorld) requeue(task *simulatedTask) {
	i, _ := slices.BinarySearchFunc(w.waiting, task, func(a, b *simulatedTask) int {
		return cmp.Or(cmp.Compare(a.job.arrived, b.job.arrived), cmp.Compare(a.job.step.Job, b.job.step.Job), cmp.Compare(a.index, b.index))
	})
	w.waiting = slices.Insert(w.waiting, i, task)
}

func (w *suspicionWorld) endTask(job *simulatedJob) {
	job.open--
	if job.givenUp {
		// A job that is given up has its other runs stopped.
		for _, e := range w.executors {
			e.stop(job, w.now)
		}
	}
	if job.open == 0 || job.givenUp && job.ended == 0 {
		job.ended = w.now
		w.waiting = slices.DeleteFunc(w.waiting, func(task *simulatedTask) bool { return task.job == job })
	}
}

func (w *suspicionWorld) review() {
	w.rule.Weigh(w.running(), w.now)
	for _, e := range w.executors {
		suspect := w.rule.Suspect(e.key)
		for _, step := range e.fresh {
			if !suspect {
				continue
			}
			e.backoffUntil = w.now + e.backoff
			if !e.suspect || !w.rule.Explained(e.key, step) {
				e.backoff = min(2*e.backoff, longestBackoff)
			}
			e.suspect = true
		}
		if suspect && !e.probed() && w.now > e.backoffUntil+simulatedClear {
			w.rule.Clear(e.key)
			suspect = false
		}
		if !suspect {
			e.backoff = simulatedBackoff
		}
		e.suspect, e.fresh = suspect, nil
	}
}

func (w *suspicionWorld) running() assessor.InProgress {
	running := assessor.InProgress{}
	for _, e := range w.executors {
		for _, run := range e.runs {
			step := run.task.job.step
			if running[step] == nil {
				running[step] = map[assessor.Executor]bool{}
			}
			running[step][e.key] = true
		}
	}
	return running
}

// stop lets the runs of the job end at the next tick.
func (e *simulatedExecutor) stop(job *simulatedJob, now time.Duration) {
	for i := range e.runs {
		if e.runs[i].task.job == job {
			e.runs[i].stopped = true
			e.runs[i].until = min(e.runs[i].until, now+simulatedTick)
		}
	}
}

func (e *simulatedExecutor) probed() bool {
	return slices.ContainsFunc(e.runs, func(run simulatedRun) bool { return run.probe })
}

// place starts waiting tasks, those of doubtful steps on suspect executors last.
func (w *suspicionWorld) place() {
	for _, doubtful := range []bool{false, true} {
		w.waiting = slices.DeleteFunc(w.waiting, func(task *simulatedTask) bool {
			return w.start(task, !w.rule.Doubtful(task.job.step) || doubtful)
		})
	}
}

func (w *suspicionWorld) start(task *simulatedTask, mayProbe bool) bool {
	best := -1
	score := func(i int) int {
		free := simulatedSlots - len(w.executors[i].runs)
		if task.failedOn[i] {
			free -= 100
		}
		if w.executors[i].suspect {
			free -= 1000
		}
		return free - int(20*w.rule.Evidence(w.executors[i].key))
	}
	for i, e := range w.executors {
		if len(e.runs) == simulatedSlots ||
			e.suspect && (w.now < e.backoffUntil || task.failures > 0 || e.probed() || !mayProbe) {
			continue
		}
		if best < 0 || score(i) > score(best) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	e := w.executors[best]
	run := simulatedRun{
		task:  task,
		until: w.now + task.runTime,
		fails: task.poisoned,
		probe: e.suspect,
	}
	if e.broken && w.failing.Float64() < w.load.failingShare {
		run.fails = true
		run.until = w.now + 2*simulatedTick
	}
	e.runs = append(e.runs, run)
	return true
}
