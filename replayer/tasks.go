package replayer

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

func (s *State) addTask(task *wire.TaskState) {
	spec := task.GetSpec()
	s.tasks[spec.GetTask()] = task
	if spec.GetIdempotencyKey() != "" {
		s.tasksByKey[teamKeyOf(spec)] = spec.GetTask()
	}
}

func teamKeyOf(spec *wire.TaskSpec) teamKey {
	return teamKey{
		team: spec.GetTeam(),
		key:  spec.GetIdempotencyKey(),
	}
}

func (s *State) applyTaskSubmitted(c Change, submitted *wire.TaskSubmitted) {
	spec := submitted.GetSpec()
	id := spec.GetTask()
	// Negative resources would add capacity that the host does not have.
	if id == "" || !Fits(&wire.Resources{}, spec.GetResources()) {
		s.ignore(c, id, damaskspread.ReasonInvalid, "the task has no id or negative resources")
		return
	}
	if _, ok := s.tasks[id]; ok {
		s.ignore(c, id, damaskspread.ReasonConflict, "a task with this id already exists")
		return
	}
	if earlier, ok := s.TaskByKey(spec.GetTeam(), spec.GetIdempotencyKey()); ok && spec.GetIdempotencyKey() != "" {
		reason := damaskspread.ReasonConflict
		if !bytes.Equal(earlier.GetSpec().GetBodyHash(), spec.GetBodyHash()) {
			reason = damaskspread.ReasonKeyReused
		}
		s.ignore(c, id, reason, "the idempotency key is already used by task "+earlier.GetSpec().GetTask())
		return
	}
	task := &wire.TaskState{
		Spec:        proto.CloneOf(spec),
		Phase:       wire.TaskPhase_TASK_PHASE_PENDING,
		Attempt:     1,
		Submitted:   c.position,
		PhaseUnixMs: c.record.GetRecordedUnixMs(),
	}
	s.addTask(task)
	s.pending[id] = task
	s.addChange(c, TaskChanged, id)
}

func (s *State) applyTaskClaimed(c Change, claimed *wire.TaskClaimed) {
	task := s.tasks[claimed.GetTask()]
	if task == nil || task.GetPhase() != wire.TaskPhase_TASK_PHASE_PENDING || task.GetAttempt() != claimed.GetAttempt() {
		s.ignore(c, claimed.GetTask(), damaskspread.ReasonConflict, "the task is unknown, not pending or has another attempt")
		return
	}
	h := s.hosts[claimed.GetHost()]
	if h == nil || !IsMember(h.state) || h.state.GetSpec().GetWorkerBoot() != claimed.GetWorkerBoot() {
		s.ignore(c, claimed.GetTask(), damaskspread.ReasonNotFound, "the host is unknown, leaving or expired, or its worker restarted")
		return
	}
	if s.zonesOut[h.state.GetSpec().GetZone()] {
		s.ignore(c, claimed.GetTask(), damaskspread.ReasonZoneOut, "the zone is out of service")
		return
	}
	if !Fits(task.GetSpec().GetResources(), s.Free(claimed.GetHost())) {
		s.ignore(c, claimed.GetTask(), damaskspread.ReasonOverloaded, "the host has too few free resources")
		return
	}
	c.previousPhase = task.GetPhase()
	task.Phase = wire.TaskPhase_TASK_PHASE_CLAIMED
	task.Host = claimed.GetHost()
	task.WorkerBoot = claimed.GetWorkerBoot()
	task.Token = c.position
	task.Reason = claimed.GetReason()
	task.PhaseUnixMs = c.record.GetRecordedUnixMs()
	task.ClaimedElapsedMs = s.elapsedMs
	delete(s.pending, claimed.GetTask())
	s.addClaim(task)
	s.addChange(c, TaskChanged, claimed.GetTask())
}

// addClaim adds a claimed task to the claims and used resources of its host.
func (s *State) addClaim(task *wire.TaskState) {
	h := s.hosts[task.GetHost()]
	if h == nil {
		return
	}
	h.claims[task.GetSpec().GetTask()] = task
	add(h.used, task.GetSpec().GetResources())
}

func (s *State) removeClaim(task *wire.TaskState) {
	h := s.hosts[task.GetHost()]
	if h == nil {
		return
	}
	delete(h.claims, task.GetSpec().GetTask())
	subtract(h.used, task.GetSpec().GetResources())
}

// claimedAttempt returns the task if it is claimed with the given attempt and
// host. Otherwise it marks the record as ignored and returns nil.
func (s *State) claimedAttempt(c Change, id string, attempt int32, host string) *wire.TaskState {
	task := s.tasks[id]
	if task == nil || task.GetPhase() != wire.TaskPhase_TASK_PHASE_CLAIMED ||
		task.GetAttempt() != attempt || task.GetHost() != host {
		s.ignore(c, id, damaskspread.ReasonConflict, "the task is not claimed with this attempt and host")
		return nil
	}
	return task
}

// requeue ends the current attempt of a claimed task and makes the next one
// pending. If cancellation was requested, the task finishes as canceled instead,
// so a cancellation that races with an eviction is not lost.
func (s *State) requeue(c Change, task *wire.TaskState, reason string) {
	if task.GetCancelRequested() {
		s.finish(c, task, wire.TaskResult_TASK_RESULT_CANCELED, reason)
		return
	}
	c.previousPhase = task.GetPhase()
	c.previousHost = task.GetHost()
	s.removeClaim(task)
	task.Phase = wire.TaskPhase_TASK_PHASE_PENDING
	task.Attempt++
	task.Host = ""
	task.WorkerBoot = ""
	task.Token = nil
	task.EvictionRequested = false
	task.Reason = reason
	task.PhaseUnixMs = c.record.GetRecordedUnixMs()
	s.pending[task.GetSpec().GetTask()] = task
	s.addChange(c, TaskChanged, task.GetSpec().GetTask())
}

func (s *State) finish(c Change, task *wire.TaskState, result wire.TaskResult, detail string) {
	id := task.GetSpec().GetTask()
	c.previousPhase = task.GetPhase()
	c.previousHost = task.GetHost()
	if task.GetPhase() == wire.TaskPhase_TASK_PHASE_CLAIMED {
		s.removeClaim(task)
	}
	delete(s.pending, id)
	task.Phase = wire.TaskPhase_TASK_PHASE_FINISHED
	task.Result = result
	task.Detail = detail
	task.PhaseUnixMs = c.record.GetRecordedUnixMs()
	s.finished = append(s.finished, id)
	s.removeOldestFinished()
	s.addChange(c, TaskChanged, id)
}

func (s *State) removeOldestFinished() {
	for len(s.finished)-s.finishedHead > maxFinished {
		id := s.finished[s.finishedHead]
		s.finishedHead++
		spec := s.tasks[id].GetSpec()
		if s.tasksByKey[teamKeyOf(spec)] == id {
			delete(s.tasksByKey, teamKeyOf(spec))
		}
		delete(s.tasks, id)
	}
	// Copies the list when more than half of it is removed tasks.
	if s.finishedHead > maxFinished {
		s.finished = append([]string(nil), s.finished[s.finishedHead:]...)
		s.finishedHead = 0
	}
}

func (s *State) applyClaimRejected(c Change, rejected *wire.ClaimRejected) {
	task := s.claimedAttempt(c, rejected.GetTask(), rejected.GetAttempt(), rejected.GetHost())
	if task == nil {
		return
	}
	s.requeue(c, task, rejected.GetReason())
}

func (s *State) applyEvictionRequested(c Change, requested *wire.EvictionRequested) {
	task := s.tasks[requested.GetTask()]
	if task == nil || task.GetPhase() != wire.TaskPhase_TASK_PHASE_CLAIMED || task.GetAttempt() != requested.GetAttempt() {
		s.ignore(c, requested.GetTask(), damaskspread.ReasonConflict, "the task is not claimed with this attempt")
		return
	}
	task.EvictionRequested = true
	c.previousPhase = task.GetPhase()
	c.previousHost = task.GetHost()
	s.addChange(c, TaskChanged, requested.GetTask())
}

func (s *State) applyTaskEvicted(c Change, evicted *wire.TaskEvicted) {
	task := s.claimedAttempt(c, evicted.GetTask(), evicted.GetAttempt(), evicted.GetHost())
	if task == nil {
		return
	}
	if evicted.GetCheckpoint() != "" {
		task.Checkpoint = evicted.GetCheckpoint()
	}
	task.Evictions++
	s.requeue(c, task, evicted.GetReason())
}

func (s *State) applyTaskFinished(c Change, finished *wire.TaskFinished) {
	if s.finishPending(c, finished) {
		return
	}
	task := s.claimedAttempt(c, finished.GetTask(), finished.GetAttempt(), finished.GetHost())
	if task == nil {
		return
	}
	s.countResult(finished)
	if finished.GetRetry() && finished.GetResult() == wire.TaskResult_TASK_RESULT_FAILED {
		task.Failures++
		task.FailedHost = finished.GetHost()
		task.Detail = finished.GetDetail()
		s.requeue(c, task, finished.GetDetail())
		return
	}
	s.finish(c, task, finished.GetResult(), finished.GetDetail())
}

// finishPending finishes a pending task that fits no host or failed on too many
// hosts. It reports whether the record was of this kind.
func (s *State) finishPending(c Change, finished *wire.TaskFinished) bool {
	task := s.tasks[finished.GetTask()]
	if task == nil || task.GetPhase() != wire.TaskPhase_TASK_PHASE_PENDING ||
		task.GetAttempt() != finished.GetAttempt() {
		return false
	}
	switch finished.GetResult() {
	case wire.TaskResult_TASK_RESULT_UNPLACEABLE:
	case wire.TaskResult_TASK_RESULT_FAILED:
		if finished.GetHost() != "" {
			return false
		}
	default:
		return false
	}
	s.finish(c, task, finished.GetResult(), finished.GetDetail())
	return true
}

// countResult updates the consecutive failures of the host of a finished attempt.
func (s *State) countResult(finished *wire.TaskFinished) {
	h := s.hosts[finished.GetHost()]
	if h == nil {
		return
	}
	switch finished.GetResult() {
	case wire.TaskResult_TASK_RESULT_SUCCEEDED:
		h.state.ConsecutiveFailures = 0
	case wire.TaskResult_TASK_RESULT_FAILED:
		if h.state.GetConsecutiveFailures() == 0 {
			h.state.FailingSinceElapsedMs = s.elapsedMs
		}
		h.state.ConsecutiveFailures++
		h.state.FailedElapsedMs = s.elapsedMs
	}
}

func (s *State) applyCancelRequested(c Change, cancel *wire.CancelRequested) {
	task := s.tasks[cancel.GetTask()]
	switch {
	case task == nil:
		s.ignore(c, cancel.GetTask(), damaskspread.ReasonNotFound, "the task is unknown")
	case task.GetPhase() == wire.TaskPhase_TASK_PHASE_FINISHED:
		s.ignore(c, cancel.GetTask(), damaskspread.ReasonConflict, "the task has already finished")
	case task.GetPhase() == wire.TaskPhase_TASK_PHASE_PENDING:
		s.finish(c, task, wire.TaskResult_TASK_RESULT_CANCELED, cancel.GetReason())
	default:
		task.CancelRequested = true
		c.previousPhase = task.GetPhase()
		c.previousHost = task.GetHost()
		s.addChange(c, TaskChanged, cancel.GetTask())
	}
}

func (s *State) applyCheckpointTaken(c Change, taken *wire.CheckpointTaken) {
	task := s.claimedAttempt(c, taken.GetTask(), taken.GetAttempt(), taken.GetHost())
	if task == nil {
		return
	}
	task.Checkpoint = taken.GetCheckpoint()
	s.addChange(c, TaskChanged, taken.GetTask())
}
