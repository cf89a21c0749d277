package executor

import (
	"maps"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// keepAttempts stores what a status shows of the attempts. A worker that restarts
// forgets how attempts ended, so this is all that is left to record.
func (e *Executor) keepAttempts(status *wire.StatusResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts == nil {
		e.attempts = map[int64]*wire.WorkerTask{}
	}
	for _, task := range status.GetTasks() {
		e.attempts[task.GetToken()] = task
	}
}

// claimedAttempts drops the attempts whose claims are gone and returns a copy of the
// others. A view without membership shows no claims, so all attempts stay.
func (e *Executor) claimedAttempts(view View) map[int64]*wire.WorkerTask {
	claimed := map[int64]bool{}
	for _, claim := range view.Claims() {
		claimed[damaskspread.Token(claim.GetToken())] = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if view.Joined() {
		maps.DeleteFunc(e.attempts, func(token int64, _ *wire.WorkerTask) bool { return !claimed[token] })
	}
	return maps.Clone(e.attempts)
}

// announceBoot calls OnBoot with a new boot. The host then joins again, which ends
// the claims of the boot before, so their results are recorded first. After TaskHold
// it is called in any case.
func (e *Executor) announceBoot(status *wire.StatusResponse, attempts map[int64]*wire.WorkerTask) {
	if e.OnBoot == nil || e.announcedBoot == status.GetBoot() {
		return
	}
	if hasUnrecordedResults(status, attempts) && e.Clock.Since(e.restartedAt) <= e.TaskHold {
		return
	}
	e.announcedBoot = status.GetBoot()
	e.OnBoot(status.GetBoot(), status.GetCapacity())
}

// hasUnrecordedResults reports whether a claimed attempt of an earlier boot has ended
// or has a checkpoint.
func hasUnrecordedResults(status *wire.StatusResponse, attempts map[int64]*wire.WorkerTask) bool {
	listed := map[int64]bool{}
	for _, task := range status.GetTasks() {
		listed[task.GetToken()] = true
	}
	for token, task := range attempts {
		if !listed[token] && (hasEnded(task) || task.GetCheckpoint() != "") {
			return true
		}
	}
	return false
}

func hasEnded(task *wire.WorkerTask) bool {
	return task != nil && task.GetPhase() != wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING
}
