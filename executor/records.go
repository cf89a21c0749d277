package executor

import (
	"fmt"
	"strings"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// workerFaultPrefix begins the detail of a failure that the worker caused.
	workerFaultPrefix = "worker"
	// neverStarted is the detail of an attempt that was stopped before it started.
	neverStarted = "never_started"
	// maxWorkerFaults is the number of failures after which a failure caused by a
	// worker is not retried: a task that failed on that many hosts can probably
	// never run.
	maxWorkerFaults = 5
)

// recordLost adds the record of an attempt of an earlier boot: its end if the worker
// has shown one, else an eviction with its latest checkpoint. task may be nil.
func (d *decider) recordLost(claim *wire.TaskState, task *wire.WorkerTask) {
	if hasEnded(task) {
		d.recordEnd(claim, task)
		return
	}
	d.recordEvicted(claim, task.GetCheckpoint(), "the worker restarted")
}

// recordEnd adds the record of an attempt that ended at the worker for any cause.
func (d *decider) recordEnd(claim *wire.TaskState, task *wire.WorkerTask) {
	stopped := task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_STOPPED
	switch {
	case task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_SUCCEEDED:
		d.recordFinished(claim, wire.TaskResult_TASK_RESULT_SUCCEEDED, task.GetDetail())
	case task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_FAILED:
		d.recordFinished(claim, wire.TaskResult_TASK_RESULT_FAILED, task.GetDetail())
	case claim.GetCancelRequested():
		d.recordFinished(claim, wire.TaskResult_TASK_RESULT_CANCELED, "canceled")
	case stopped && task.GetDetail() == neverStarted:
		d.recordRejected(claim, d.Reasons[task.GetToken()])
	case stopped:
		d.recordEvicted(claim, task.GetCheckpoint(), "stopped")
	default:
		d.recordEvicted(claim, task.GetCheckpoint(), "the lease ended")
	}
}

func (d *decider) recordFinished(claim *wire.TaskState, result wire.TaskResult, detail string) {
	d.addRecord("finished", claim, &wire.Record{
		Body: &wire.Record_TaskFinished{
			TaskFinished: &wire.TaskFinished{
				Task:    claim.GetSpec().GetTask(),
				Attempt: claim.GetAttempt(),
				Host:    claim.GetHost(),
				Result:  result,
				Detail:  detail,
				Retry: result == wire.TaskResult_TASK_RESULT_FAILED &&
					strings.HasPrefix(detail, workerFaultPrefix) && claim.GetFailures() < maxWorkerFaults,
			},
		},
	})
}

func (d *decider) recordEvicted(claim *wire.TaskState, checkpoint, reason string) {
	d.addRecord("evicted", claim, &wire.Record{
		Body: &wire.Record_TaskEvicted{
			TaskEvicted: &wire.TaskEvicted{
				Task:       claim.GetSpec().GetTask(),
				Attempt:    claim.GetAttempt(),
				Host:       claim.GetHost(),
				Checkpoint: checkpoint,
				Reason:     reason,
			},
		},
	})
}

func (d *decider) recordRejected(claim *wire.TaskState, reason string) {
	if reason == "" {
		reason = "stopped before the start"
	}
	d.addRecord("rejected", claim, &wire.Record{
		Body: &wire.Record_ClaimRejected{
			ClaimRejected: &wire.ClaimRejected{
				Task:    claim.GetSpec().GetTask(),
				Attempt: claim.GetAttempt(),
				Host:    claim.GetHost(),
				Reason:  reason,
			},
		},
	})
}

// addRecord adds a record with an id that stays the same when it is written again.
func (d *decider) addRecord(kind string, claim *wire.TaskState, record *wire.Record) {
	record.Id = fmt.Sprintf("%s/%s/%d/%d", kind, claim.GetSpec().GetTask(), claim.GetAttempt(), damaskspread.Token(claim.GetToken()))
	d.Records = append(d.Records, record)
}
