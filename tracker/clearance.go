package tracker

import "time"

// clearAfter is the time over which lists have to show a run until its task is cleared.
// A list is up to a second old when it arrives, if requests are delayed or repeated.
const clearAfter = 1500 * time.Millisecond

// AddListed records that a list of runs, with its checkpoint, shows the run at now, on an
// executor that responds. A run that lists show for clearAfter, or that has reached
// another checkpoint, has outlived its start, so the crashes before it were by chance
// and are no longer counted. It reports whether crashes were dropped.
func (t *Task) AddListed(run int32, checkpoint string, now time.Duration) bool {
	if !t.Assigned() || run != t.run || t.exposedRun == run || t.Job().Over() {
		return false
	}
	t.Job().MarkStarted()
	if t.listedRun != run {
		t.listedRun = run
		t.listedAt = now
	}
	advanced := checkpoint != "" && checkpoint != t.Checkpoint()
	if !advanced && now-t.listedAt < clearAfter {
		return false
	}
	return t.outlive(run)
}

// outlive records that the run has outlived its start and drops the crashes of the
// task; those of a gang, once all its members have outlived theirs.
func (t *Task) outlive(run int32) bool {
	t.outlivedRun = run
	for _, member := range t.Members() {
		if member.outlivedRun != run {
			return false
		}
	}
	dropped := false
	for _, member := range t.Members() {
		dropped = member.clear(run) || dropped
	}
	return dropped
}

// clear drops the crashes so far as evidence. They still limit the starts of the task.
func (t *Task) clear(run int32) bool {
	fresh := t.crashes - t.cleared
	if fresh == 0 {
		return false
	}
	t.clearedRun = run
	t.countedRun = 0
	t.clearedBefore = t.cleared
	t.cleared = t.crashes
	t.Job().crashes -= fresh
	t.weighed = 0
	t.logChance = 0
	return true
}

// restoreCleared takes back what clear did, because the run has turned out not to have
// outlived its start.
func (t *Task) restoreCleared() {
	t.Job().crashes += t.cleared - t.clearedBefore
	t.cleared = t.clearedBefore
	t.clearedRun = 0
}
