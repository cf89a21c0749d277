package tracker

// maxCrashes is the number of executors that may crash under one task before its
// job fails. Two are too few: a healthy task that starts together with one that
// crashes executors is lost with it, and may meet another such task at its next
// start.
const maxCrashes = 3

// Crashes returns the number of runs, for a gang of all its members, during which
// an executor crashed shortly after it had started them. From 1 on the task is
// suspected to crash its executors.
func (t *Task) Crashes() int32 {
	if !t.Step().GetGang() {
		return t.crashes
	}
	sum := int32(0)
	for _, member := range t.siblings() {
		sum += member.crashes
	}
	return sum
}

// Crashes returns the sum of the crashes of the job's tasks.
func (j *Job) Crashes() int32 { return j.crashes }

// CrashedOn reports whether an executor of this host crashed under the task.
// Restore doesn't restore these hosts.
func (t *Task) CrashedOn(host string) bool { return t.crashedOn[host] }

// Expose records an agent's report that an executor refused its connections
// shortly after it had started the run. The run counts as a crash once it is lost
// with that executor. Expose reports whether it was lost before and is counted
// now. Repeated reports have no effect.
func (t *Task) Expose(run int32) bool {
	switch {
	case t.Done() || run <= t.crashedRun:
		return false
	case run == t.lostRun:
		t.countCrash(run)
		return true
	case run == t.run && t.Assigned() && t.exposedRun != run:
		t.exposedRun = run
		t.job.markChanged()
	}
	return false
}

// WithdrawExposure takes back the report of Expose, because the executor responds
// again, or because the run has ended there. A crash that was counted for the run,
// because its lease had expired, is taken back too; a job that has failed stays failed.
func (t *Task) WithdrawExposure(run int32) {
	if t.countedRun == run && run != 0 && t.crashes > 0 {
		t.countedRun = 0
		t.crashes--
		t.job.crashes--
		t.job.markChanged()
	}
	if t.exposedRun == run && run != 0 {
		t.exposedRun = 0
		t.job.markChanged()
	}
	if t.lostRun == run && run != 0 {
		t.lostRun = 0
		t.job.markChanged()
	}
}

// Lose releases a task whose executor has certainly ended. It reports whether the
// loss counts as a crash.
func (t *Task) Lose() bool {
	run := t.run
	t.lostRun = run
	counts := t.exposedRun == run && run > t.crashedRun
	if counts {
		t.countCrash(run)
	}
	t.endWait()
	t.Release()
	return counts
}

// countCrash counts a run that was lost in a crash, and fails the job at
// maxCrashes. Steps without an end of their own fail too, because each further
// start ends all that runs on the executor.
func (t *Task) countCrash(run int32) {
	t.crashedRun = run
	t.exposedRun = 0
	t.job.markChanged()
	if t.crashedOn == nil {
		t.crashedOn = map[string]bool{}
	}
	t.crashedOn[t.host] = true
	// The members of a gang share their run numbers, and several may be lost in
	// the same crash.
	if t.Step().GetGang() && t.siblingCrashed(run) {
		return
	}
	t.crashes++
	t.countedRun = run
	t.job.crashes++
	if t.Crashes() >= maxCrashes {
		t.job.failed = true
	}
}

func (t *Task) siblingCrashed(run int32) bool {
	for _, member := range t.siblings() {
		if member != t && member.crashedRun == run {
			return true
		}
	}
	return false
}
