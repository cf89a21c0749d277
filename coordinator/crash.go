package coordinator

import (
	"cmp"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/assessor"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// witnessedEnd is an executor that another one has replaced while its agent lived.
type witnessedEnd struct {
	key     tracker.ExecutorKey
	service string
}

// witnessedEndOf returns the end of the executor of a host's previous session, and
// whether the process of the agent that opens the next session has lived meanwhile.
// After a loss of power the agent is another process.
func witnessedEndOf(previous *session, next *session) (witnessedEnd, bool) {
	process, _ := parseSession(previous.id)
	nextProcess, _ := parseSession(next.id)
	end := witnessedEnd{
		key:     previous.key,
		service: previous.info.GetService(),
	}
	return end, process == nextProcess && !previous.info.GetDraining()
}

// crashesOf returns what this leader has seen of the crashes in a service.
func (c *Coordinator) crashesOf(service string) *assessor.Crashes {
	crashes := c.crashes[service]
	if crashes == nil {
		crashes = &assessor.Crashes{}
		c.crashes[service] = crashes
	}
	return crashes
}

// observeCrashes records the ends that agents have witnessed since the last cycle.
func (c *Coordinator) observeCrashes(cycle *cycleState) {
	for _, end := range cycle.witnessedEnds {
		crashes := c.crashesOf(end.service)
		crashes.Add(assessor.Executor(end.key), "", false, cycle.now)
		cycle.witnessed[end.key] = true
		if count := crashes.CountIdle(end.key.ID, cycle.now-loopWindow); count >= loopCrashes {
			log.Warn().Str("executor", end.key.ID).Int("crashes", count).Dur("pause", steadyTime).
				Msg("executor in a crash loop: it gets no tasks until its next session has lasted for a while")
		}
	}
}

// observeCalm records how many executors run without a suspected task in probation.
func (c *Coordinator) observeCalm(cycle *cycleState) {
	hosts := map[string]int{}
	for _, host := range cycle.hosts {
		calm := 1
		if host.InProbation() {
			calm = 0
		}
		hosts[host.Service] += calm
	}
	for service, count := range hosts {
		c.crashesOf(service).Observe(count, cycle.now)
	}
}

// weighCrash sets the chance with which a crash of the executor, which has served service,
// under the task is weighed.
func (c *Coordinator) weighCrash(t *tracker.Task, key tracker.ExecutorKey, service string, now time.Duration) {
	crashes := c.crashesOf(service)
	t.SetCrashChance(crashes.Chance(assessor.Executor(key), t.SuspectName(), now))
}

// applyExposure applies an agent's report that its executor lost its connections
// shortly after it had started a run.
func (c *Coordinator) applyExposure(cycle *cycleState, view *sessionView, exposure *wire.CrashExposure) {
	t := c.task(exposure.GetTask())
	if t == nil {
		return
	}
	current := t.Assigned() && t.Run() == exposure.GetRun()
	if exposure.GetWithdrawn() {
		t.WithdrawExposure(exposure.GetRun())
		if current {
			c.crashesOf(view.info.GetService()).Withdraw(assessor.Executor(t.Executor()))
		}
		return
	}
	if current {
		c.crashesOf(view.info.GetService()).Add(assessor.Executor(t.Executor()), t.SuspectName(), t.Crashes() > 0, cycle.now)
	}
	if exposure.GetStarted() {
		t.Job().MarkStarted()
	}
	c.weighCrash(t, t.Executor(), view.info.GetService(), cycle.now)
	if t.Expose(exposure.GetRun()) {
		recordCrash(t, exposure.GetRun(), view.host, true)
	}
}

// clearOutlived clears the suspected tasks on the session's executor whose runs have
// outlived their start by its list of runs.
func (c *Coordinator) clearOutlived(view *sessionView, now time.Duration) {
	for _, t := range c.assignments.On(view.key) {
		if t.Job().Crashes() == 0 || t.Crashes() == 0 {
			continue
		}
		crashes, name := t.Crashes(), t.ID().String()
		for _, run := range view.running {
			if run.GetTask() == name && t.AddListed(run.GetRun(), run.GetCheckpoint(), now) {
				recordCleared(t, crashes, view.host)
			}
		}
	}
}

// loseTask releases a task whose executor has ended.
func (c *Coordinator) loseTask(cycle *cycleState, t *tracker.Task, lost *lostExecutor) {
	run, host, crashes := t.Run(), t.Host(), t.Crashes()
	reported := t.Exposed()
	if reported {
		// The job may have been redirected since the start of the run.
		c.weighCrash(t, lost.key, cmp.Or(lost.service, t.Job().Service()), cycle.now)
	}
	lose := t.Lose
	if cycle.witnessed[lost.key] {
		lose = func() bool { return t.LoseWitnessed(cycle.now) }
	}
	if lose() {
		recordCrash(t, run, host, reported)
	}
	if t.Crashes() < crashes {
		recordCleared(t, crashes, host)
	}
}

// recordCleared logs that a run of the task has outlived its start.
func recordCleared(t *tracker.Task, crashes int32, host string) {
	log.Info().Str("job", t.ID().Job).Str("task", t.ID().String()).Int32("run", t.Run()).Str("host", host).
		Int32("crashes", crashes).Msg("task cleared of crashes: a run has outlived its start")
	tracer.Write(&tracer.CrashesCleared{
		Job:     t.ID().Job,
		Task:    t.ID().String(),
		Run:     t.Run(),
		Host:    host,
		Crashes: crashes,
	})
}

// recordCrash logs a crash that was counted for a run of the task, or, if no crash was
// reported, its start.
func recordCrash(t *tracker.Task, run int32, host string, reported bool) {
	name := t.ID().String()
	evidence := t.CrashEvidence()
	event := &tracer.CrashCounted{
		Job:      t.ID().Job,
		Task:     name,
		Run:      run,
		Host:     host,
		Crashes:  t.Crashes(),
		Chance:   t.CrashChance(),
		ByChance: evidence.Chance(),
		Verdict:  string(evidence.Verdict()),
		GivenUp:  t.Job().State() == wire.JobState_JOB_STATE_FAILED,

		Unreported: !reported,
	}
	if evidence.Limited() {
		left := evidence.StartsLeft()
		event.StartsLeft = &left
	}
	log.Warn().Str("job", event.Job).Str("task", name).Int32("run", run).Str("host", host).
		Int32("crashes", event.Crashes).Float64("chance", event.Chance).Float64("by_chance", event.ByChance).
		Int32("counted", evidence.Counted).Bool("reported", reported).Str("verdict", event.Verdict).Bool("given_up", event.GivenUp).
		Msg("run counted against the task: crash of its executor")
	tracer.Write(event)
}
