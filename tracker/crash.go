package tracker

import (
	"math"
	"time"

	"damaskspread.example/damaskspread/assessor"
)

// Crashes returns the number of runs, for a gang of all its members, during which
// an executor crashed shortly after it had started them, since a run has outlived its
// start. From 1 on the task is suspected to crash its executors.
func (t *Task) Crashes() int32 {
	if !t.Step().GetGang() {
		return t.crashes - t.cleared
	}
	sum := int32(0)
	for member := range t.step.known() {
		sum += member.crashes - member.cleared
	}
	return sum
}

// SuspectName identifies what crashes of executors are held against: the task, or its
// gang.
func (t *Task) SuspectName() string {
	if t.Step().GetGang() {
		return t.GroupName()
	}
	return t.ID().String()
}

// Crashes returns the sum of the crashes of the job's tasks.
func (j *Job) Crashes() int32 { return j.crashes }

// CrashedOn reports whether an executor of this host crashed under the task.
// Restore doesn't restore these hosts.
func (t *Task) CrashedOn(host string) bool { return t.crashedOn[host] }

// Expose records an agent's report that an executor refused its connections
// shortly after it had started the run, or may have started it. The run counts as a
// crash once it is lost with that executor. Expose reports whether it was lost before
// and is counted now. Repeated reports have no effect.
func (t *Task) Expose(run int32) bool {
	switch {
	case t.Done() || run <= t.crashedRun:
		return false
	case run == t.lostRun:
		t.countCrash(run)
		return true
	case run == t.run && t.Assigned() && t.exposedRun != run:
		t.exposedRun = run
		t.markChanged()
	}
	return false
}

// WithdrawExposure takes back the report of Expose, because the executor responds
// again, or because the run has ended there. A crash that was counted for the run,
// because its lease had expired, is taken back too, unless the run counts as a start; a
// job that has failed stays failed.
func (t *Task) WithdrawExposure(run int32) {
	if run == 0 {
		return
	}
	if t.countedRun == run {
		t.uncount()
	}
	if t.exposedRun == run {
		t.exposedRun = 0
		t.markChanged()
	}
	if t.lostRun == run {
		t.lostRun = 0
		t.markChanged()
	}
}

// Lose releases a task whose executor has certainly ended. It reports whether the
// loss is counted: as a crash, or as a start after assessor.MinCrashes crashes.
func (t *Task) Lose() bool {
	return t.lose(func(run int32) { t.countStart(run) })
}

// LoseWitnessed is Lose for an executor whose end its agent has outlived. If the agent
// doesn't report the run, it has outlived its start, or has not started.
func (t *Task) LoseWitnessed(now time.Duration) bool {
	return t.lose(func(run int32) {
		switch {
		case t.listedRun == run:
			t.outlive(run)
			t.countStart(run)
		case t.assignedAt == 0 || now-t.assignedAt > assessor.CrashWindow:
			t.countStart(run)
		}
	})
}

// lose releases the task and calls unexposed if its run was not exposed.
func (t *Task) lose(unexposed func(run int32)) bool {
	run := t.run
	t.lostRun = run
	counted := t.crashedRun
	if t.exposedRun == run && run > t.crashedRun {
		t.countCrash(run)
	} else {
		unexposed(run)
	}
	t.endWait()
	t.Release()
	return t.crashedRun != counted
}

// SetCrashChance sets the probability that an executor crashes by chance shortly after
// it has started the task. The crashes that are counted next are weighed with it;
// without it with assessor.CalmChance.
func (t *Task) SetCrashChance(chance float64) { t.crashChance = chance }

// CrashChance returns the chance that SetCrashChance has set, or its default.
func (t *Task) CrashChance() float64 {
	if t.crashChance == 0 {
		return assessor.CalmChance
	}
	return t.crashChance
}

// Exposed reports whether Expose was called for the latest run, and not withdrawn.
func (t *Task) Exposed() bool { return t.run > 0 && t.exposedRun == t.run }

// CrashEvidence returns what the crashes say against the task, for a gang those under
// all its members. Crashes that an earlier leader counted are weighed with the present
// chance.
func (t *Task) CrashEvidence() assessor.Evidence {
	evidence := assessor.Evidence{Crashes: t.Crashes()}
	for _, member := range t.Members() {
		evidence.Counted += member.crashes
		unweighed := member.crashes - member.cleared - member.weighed
		evidence.LogChance += member.logChance + float64(unweighed)*t.logCrashChance()
	}
	return evidence
}

// logCrashChance returns the logarithm of the chance of a crash under the task, for a
// gang under any of its members.
func (t *Task) logCrashChance() float64 {
	chance := t.CrashChance()
	if t.Step().GetGang() {
		chance = -math.Expm1(float64(t.step.size()) * math.Log1p(-chance))
	}
	return math.Log(chance)
}

// countCrash counts a run that was lost in a crash, and fails the job if the task is
// given up. Steps without an end of their own fail too, because each further
// start ends all that runs on the executor.
func (t *Task) countCrash(run int32) {
	if run == t.clearedRun {
		t.restoreCleared()
	}
	if t.crashedOn == nil {
		t.crashedOn = map[string]bool{}
	}
	t.crashedOn[t.host] = true
	if !t.addCounted(run) {
		return
	}
	t.countedRun = run
	t.countedLogChance = t.logCrashChance()
	t.logChance += t.countedLogChance
	t.weighed++
	t.Job().crashes++
	t.giveUp()
}

// countStart counts a run that ended without success and without a report of a crash, if
// as many executors have crashed under the task that its starts are limited. The report
// may have been lost, so it says nothing for or against the task.
func (t *Task) countStart(run int32) {
	if !t.CrashEvidence().Limited() || run <= t.crashedRun || !t.addCounted(run) {
		return
	}
	t.cleared++
	t.giveUp()
}

// addCounted adds the run to those that limit the starts. It reports whether the run is
// new: the members of a gang share their run numbers, and several may be lost in the
// same crash.
func (t *Task) addCounted(run int32) bool {
	t.crashedRun = run
	t.exposedRun = 0
	t.markChanged()
	if t.Step().GetGang() && t.siblingCrashed(run) {
		return false
	}
	t.crashes++
	return true
}

func (t *Task) giveUp() {
	if t.CrashEvidence().Verdict().GivenUp() {
		t.Job().fail()
	}
}

// uncount takes back the latest crash, because its executor lives. The run still counts
// as a start if starts were limited before it.
func (t *Task) uncount() {
	t.countedRun = 0
	t.logChance -= t.countedLogChance
	t.weighed--
	t.Job().crashes--
	if t.CrashEvidence().Counted > assessor.MinCrashes {
		t.cleared++
	} else {
		t.crashes--
	}
	t.markChanged()
}

func (t *Task) siblingCrashed(run int32) bool {
	for member := range t.step.known() {
		if member != t && member.crashedRun == run {
			return true
		}
	}
	return false
}
