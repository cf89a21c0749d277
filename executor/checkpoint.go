package executor

import (
	"context"
	"fmt"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// checkpointState holds the latest checkpoint of a running task.
type checkpointState struct {
	// last is when a checkpoint was last tried, or the task first seen.
	last time.Time
	// id is the latest checkpoint that this process took, or empty.
	id string
}

// takeCheckpoints takes a periodic checkpoint that is due and returns the records
// of checkpoints that the claims do not show yet. A host that fails without
// notice then loses at most CheckpointEvery of a task's work. A pass takes at most
// one checkpoint, so that a worker with many tasks does not pause for all of them
// at once.
func (e *Executor) takeCheckpoints(ctx context.Context, view View, status *wire.StatusResponse) []*wire.Record {
	if e.CheckpointEvery <= 0 || !view.Joined() {
		return nil
	}
	running := runningTokens(status)
	current := map[int64]*checkpointState{}
	taken := false
	var records []*wire.Record
	for _, claim := range view.Claims() {
		token := damaskspread.Token(claim.GetToken())
		if !running[token] || !claim.GetSpec().GetCanCheckpoint() {
			continue
		}
		state := e.checkpoints[token]
		if state == nil {
			state = &checkpointState{
				last: e.Clock.Now(),
			}
		}
		current[token] = state
		if !taken && e.Clock.Since(state.last) >= e.CheckpointEvery {
			taken = true
			e.takeCheckpoint(ctx, status.GetBoot(), claim, state)
		}
		if state.id != "" && state.id != claim.GetCheckpoint() {
			records = append(records, checkpointRecord(claim, state.id))
		}
	}
	e.checkpoints = current
	return records
}

func runningTokens(status *wire.StatusResponse) map[int64]bool {
	running := map[int64]bool{}
	for _, task := range status.GetTasks() {
		running[task.GetToken()] = task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING
	}
	return running
}

func (e *Executor) takeCheckpoint(ctx context.Context, boot string, claim *wire.TaskState, state *checkpointState) {
	// A failed checkpoint is tried again after the next interval.
	state.last = e.Clock.Now()
	task := claim.GetSpec().GetTask()
	_ = e.sendOrder(ctx, "checkpoint", task, func(ctx context.Context) error {
		id, err := e.Worker.Checkpoint(ctx, boot, task, damaskspread.Token(claim.GetToken()))
		if err == nil {
			state.id = id
		}
		return err
	})
}

func checkpointRecord(claim *wire.TaskState, id string) *wire.Record {
	return &wire.Record{
		Id: fmt.Sprintf("checkpoint/%s/%d/%s", claim.GetSpec().GetTask(), claim.GetAttempt(), id),
		Body: &wire.Record_CheckpointTaken{
			CheckpointTaken: &wire.CheckpointTaken{
				Task:       claim.GetSpec().GetTask(),
				Attempt:    claim.GetAttempt(),
				Host:       claim.GetHost(),
				Checkpoint: id,
			},
		},
	}
}
