package executor

import (
	"context"
	"fmt"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// progress is what the agent knows of a running task's checkpoints.
type progress struct {
	// last is when the latest checkpoint was taken, or the task first seen.
	last time.Time
	// id is the latest checkpoint that this process took.
	id string
}

// checkpoint takes periodic checkpoints, so that a host that dies without
// notice loses at most CheckpointEvery of a task's work. A pass takes one
// checkpoint at most: a worker with many tasks must not stop for all at once.
func (e *Executor) checkpoint(ctx context.Context, view View, status *wire.StatusResponse) []*wire.Record {
	if e.CheckpointEvery <= 0 || !view.Joined() {
		return nil
	}
	running := runningTasks(status)
	live := map[int64]*progress{}
	taken := false
	var records []*wire.Record
	for _, claim := range view.Claims() {
		token := damaskspread.Token(claim.GetToken())
		if !running[token] || !claim.GetSpec().GetCanCheckpoint() {
			continue
		}
		p := e.progress[token]
		if p == nil {
			p = &progress{
				last: e.Clock.Now(),
			}
		}
		live[token] = p
		if !taken && e.Clock.Since(p.last) >= e.CheckpointEvery {
			taken = true
			e.takeCheckpoint(ctx, status.GetBoot(), claim, p)
		}
		if p.id != "" && p.id != claim.GetCheckpoint() {
			records = append(records, checkpointTaken(claim, p.id))
		}
	}
	e.progress = live
	return records
}

func runningTasks(status *wire.StatusResponse) map[int64]bool {
	running := map[int64]bool{}
	for _, task := range status.GetTasks() {
		running[task.GetToken()] = task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING
	}
	return running
}

func (e *Executor) takeCheckpoint(ctx context.Context, boot string, claim *wire.TaskState, p *progress) {
	// A failed checkpoint is tried again after the next interval.
	p.last = e.Clock.Now()
	task := claim.GetSpec().GetTask()
	_ = e.order(ctx, "checkpoint", task, func(ctx context.Context) error {
		id, err := e.Worker.Checkpoint(ctx, boot, task, damaskspread.Token(claim.GetToken()))
		if err == nil {
			p.id = id
		}
		return err
	})
}

func checkpointTaken(claim *wire.TaskState, id string) *wire.Record {
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
