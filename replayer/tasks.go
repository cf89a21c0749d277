package replayer

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

func (s *State) remember(task *wire.TaskState) {
	spec := task.GetSpec()
	s.tasks[spec.GetTask()] = task
	if spec.GetIdempotencyKey() != "" {
		s.tasksByKey[keyOf(spec)] = spec.GetTask()
	}
}

func keyOf(spec *wire.TaskSpec) teamKey {
	return teamKey{
		team: spec.GetTeam(),
		key:  spec.GetIdempotencyKey(),
	}
}

func (s *State) applySubmitted(c Change, submitted *wire.TaskSubmitted) {
	spec := submitted.GetSpec()
	id := spec.GetTask()
	// A negative need would free capacity that the host does not have.
	if id == "" || !Fits(&wire.Resources{}, spec.GetResources()) {
		s.void(c, id, damaskspread.ReasonInvalid, "the task has no id or negative resources")
		return
	}
	if _, ok := s.tasks[id]; ok {
		s.void(c, id, damaskspread.ReasonConflict, "the task is already known")
		return
	}
	if earlier, ok := s.TaskByKey(spec.GetTeam(), spec.GetIdempotencyKey()); ok && spec.GetIdempotencyKey() != "" {
		reason := damaskspread.ReasonConflict
		if !bytes.Equal(earlier.GetSpec().GetBodyHash(), spec.GetBodyHash()) {
			reason = damaskspread.ReasonKeyReused
		}
		s.void(c, id, reason, "the idempotency key belongs to task "+earlier.GetSpec().GetTask())
		return
	}
	task := &wire.TaskState{
		Spec:        proto.CloneOf(spec),
		Phase:       wire.TaskPhase_TASK_PHASE_PENDING,
		Attempt:     1,
		Submitted:   c.position,
		PhaseUnixMs: c.record.GetRecordedUnixMs(),
	}
	s.remember(task)
	s.pending[id] = task
	s.changed(c, TaskChanged, id)
}

func (s *State) applyClaimed(c Change, claimed *wire.TaskClaimed) {
	task := s.tasks[claimed.GetTask()]
	if task == nil || task.GetPhase() != wire.TaskPhase_TASK_PHASE_PENDING || task.GetAttempt() != claimed.GetAttempt() {
		s.void(c, claimed.GetTask(), damaskspread.ReasonConflict, "the attempt is not pending")
		return
	}
	h := s.hosts[claimed.GetHost()]
	if h == nil || !IsMember(h.state) || h.state.GetSpec().GetWorkerBoot() != claimed.GetWorkerBoot() {
		s.void(c, claimed.GetTask(), damaskspread.ReasonNotFound, "the host is no longer a member")
		return
	}
	if s.zonesOut[h.state.GetSpec().GetZone()] {
		s.void(c, claimed.GetTask(), damaskspread.ReasonZoneOut, "the zone is out of service")
		return
	}
	if !Fits(task.GetSpec().GetResources(), s.Free(claimed.GetHost())) {
		s.void(c, claimed.GetTask(), damaskspread.ReasonOverloaded, "the host has no room left")
		return
	}
	c.previous = task.GetPhase()
	task.Phase = wire.TaskPhase_TASK_PHASE_CLAIMED
	task.Host = claimed.GetHost()
	task.WorkerBoot = claimed.GetWorkerBoot()
	task.Token = c.position
	task.Reason = claimed.GetReason()
	task.PhaseUnixMs = c.record.GetRecordedUnixMs()
	delete(s.pending, claimed.GetTask())
	s.commit(task)
	s.changed(c, TaskChanged, claimed.GetTask())
}

// commit counts a claimed task against its host.
func (s *State) commit(task *wire.TaskState) {
	h := s.hosts[task.GetHost()]
	if h == nil {
		return
	}
	h.claims[task.GetSpec().GetTask()] = task
	add(h.used, task.GetSpec().GetResources())
}

func (s *State) uncommit(task *wire.TaskState) {
	h := s.hosts[task.GetHost()]
	if h == nil {
		return
	}
	delete(h.claims, task.GetSpec().GetTask())
	subtract(h.used, task.GetSpec().GetResources())
}

// claimedAttempt returns the task if the record speaks of its current claim.
func (s *State) claimedAttempt(c Change, id string, attempt int32, host string) *wire.TaskState {
	task := s.tasks[id]
	if task == nil || task.GetPhase() != wire.TaskPhase_TASK_PHASE_CLAIMED ||
		task.GetAttempt() != attempt || task.GetHost() != host {
		s.void(c, id, damaskspread.ReasonConflict, "the record is of another attempt")
		return nil
	}
	return task
}

// requeue ends the current attempt and makes the next one pending. A task
// whose cancellation was requested ends instead, so a cancellation that races
// with an eviction is never lost.
func (s *State) requeue(c Change, task *wire.TaskState, reason string) {
	if task.GetCancelRequested() {
		s.finish(c, task, wire.TaskResult_TASK_RESULT_CANCELED, reason)
		return
	}
	c.previous = task.GetPhase()
	c.before = task.GetHost()
	s.uncommit(task)
	task.Phase = wire.TaskPhase_TASK_PHASE_PENDING
	task.Attempt++
	task.Host = ""
	task.WorkerBoot = ""
	task.Token = nil
	task.EvictionRequested = false
	task.Reason = reason
	task.PhaseUnixMs = c.record.GetRecordedUnixMs()
	s.pending[task.GetSpec().GetTask()] = task
	s.changed(c, TaskChanged, task.GetSpec().GetTask())
}

func (s *State) finish(c Change, task *wire.TaskState, result wire.TaskResult, detail string) {
	id := task.GetSpec().GetTask()
	c.previous = task.GetPhase()
	c.before = task.GetHost()
	if task.GetPhase() == wire.TaskPhase_TASK_PHASE_CLAIMED {
		s.uncommit(task)
	}
	delete(s.pending, id)
	task.Phase = wire.TaskPhase_TASK_PHASE_FINISHED
	task.Result = result
	task.Detail = detail
	task.PhaseUnixMs = c.record.GetRecordedUnixMs()
	s.finished = append(s.finished, id)
	s.forgetOldest()
	s.changed(c, TaskChanged, id)
}

func (s *State) forgetOldest() {
	for len(s.finished)-s.finishedHead > finishedKept {
		id := s.finished[s.finishedHead]
		s.finishedHead++
		spec := s.tasks[id].GetSpec()
		if s.tasksByKey[keyOf(spec)] == id {
			delete(s.tasksByKey, keyOf(spec))
		}
		delete(s.tasks, id)
	}
	// Moves the list down once half of it is forgotten.
	if s.finishedHead > finishedKept {
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
		s.void(c, requested.GetTask(), damaskspread.ReasonConflict, "the record is of another attempt")
		return
	}
	task.EvictionRequested = true
	c.previous = task.GetPhase()
	c.before = task.GetHost()
	s.changed(c, TaskChanged, requested.GetTask())
}

func (s *State) applyEvicted(c Change, evicted *wire.TaskEvicted) {
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

func (s *State) applyFinished(c Change, finished *wire.TaskFinished) {
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

// finishPending ends a task that waits for a claim: no host can hold it, or it
// failed on too many hosts.
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

func (s *State) countResult(finished *wire.TaskFinished) {
	h := s.hosts[finished.GetHost()]
	if h == nil {
		return
	}
	switch finished.GetResult() {
	case wire.TaskResult_TASK_RESULT_SUCCEEDED:
		h.state.ConsecutiveFailures = 0
	case wire.TaskResult_TASK_RESULT_FAILED:
		h.state.ConsecutiveFailures++
	}
}

func (s *State) applyCancel(c Change, cancel *wire.CancelRequested) {
	task := s.tasks[cancel.GetTask()]
	switch {
	case task == nil:
		s.void(c, cancel.GetTask(), damaskspread.ReasonNotFound, "no such task")
	case task.GetPhase() == wire.TaskPhase_TASK_PHASE_FINISHED:
		s.void(c, cancel.GetTask(), damaskspread.ReasonConflict, "the task already finished")
	case task.GetPhase() == wire.TaskPhase_TASK_PHASE_PENDING:
		s.finish(c, task, wire.TaskResult_TASK_RESULT_CANCELED, cancel.GetReason())
	default:
		task.CancelRequested = true
		c.previous = task.GetPhase()
		c.before = task.GetHost()
		s.changed(c, TaskChanged, cancel.GetTask())
	}
}

func (s *State) applyCheckpoint(c Change, taken *wire.CheckpointTaken) {
	task := s.claimedAttempt(c, taken.GetTask(), taken.GetAttempt(), taken.GetHost())
	if task == nil {
		return
	}
	task.Checkpoint = taken.GetCheckpoint()
	s.changed(c, TaskChanged, taken.GetTask())
}
