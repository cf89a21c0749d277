package scheduler

import (
	"strings"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// maxWorkerRetryInterval and maxWorkerTimeout bound the calls to workers of hosts
	// that are to be released.
	maxWorkerRetryInterval = 5 * time.Second
	maxWorkerTimeout       = 2 * time.Second
	// maxConcurrentCalls bounds the workers that are called at the same time, so that
	// workers that do not respond delay others little.
	maxConcurrentCalls = 16
	// workerFaultPrefix starts the detail of a failure that the worker caused.
	workerFaultPrefix = "worker"
)

// Fence is a request to make the worker of an expired host stop all its tasks.
type Fence struct {
	Spec *wire.HostSpec
	// MinToken is one above the offset of the replayed state, and so above the token
	// of every claim of the host. An expired host gets no new claims until it joins
	// again.
	MinToken      int64
	Timeout       time.Duration
	alivePosition *wire.Position
}

// workerRetryInterval is how long a worker that did not respond is left alone. It is
// short compared to TaskHold, so that a worker that can be reached again is called
// before the release of its host.
func (p *Planner) workerRetryInterval() time.Duration {
	return min(maxWorkerRetryInterval, p.limits.TaskHold/10)
}

// workerTimeout bounds a call to a worker. A call without a response leaves time for
// the next one before the release.
func (p *Planner) workerTimeout() time.Duration {
	return min(maxWorkerTimeout, p.limits.TaskHold/4)
}

// HostsToFence returns the expired hosts with tasks that this entry has to fence
// now. A host is returned again after workerRetryInterval. age is the age of the
// state; HostsToFence returns none while it exceeds the currency limit.
func (p *Planner) HostsToFence(now time.Time, age time.Duration) []Fence {
	if age > p.limits.CurrencyLimit {
		return nil
	}
	var fences []Fence
	for _, h := range p.hostList {
		if !h.expired || len(h.tasks) == 0 || now.Sub(h.fenceTriedAt) < p.workerRetryInterval() || !p.owns("host/"+h.spec.GetHost()) {
			continue
		}
		h.fenceTriedAt = now
		fences = append(fences, Fence{
			Spec: h.spec,
			MinToken: damaskspread.Token(&wire.Position{
				Offset: p.offset + 1,
			}),
			Timeout:       p.workerTimeout(),
			alivePosition: h.alivePosition,
		})
	}
	return fences
}

// FencedRecords returns the records that release a host after its worker confirmed
// the fence with the state of its tasks. It returns none if the host joined again
// in the meantime. The results and checkpoints of the tasks come before the
// release, because the agent may have died before it recorded them: a finished task
// must not run again, and a stopped task resumes from its checkpoint.
func (p *Planner) FencedRecords(f Fence, tasks []*wire.WorkerTask, now time.Time) []*wire.Record {
	h := p.hosts[f.Spec.GetHost()]
	if h == nil || !h.expired || h.spec.GetWorkerBoot() != f.Spec.GetWorkerBoot() {
		return nil
	}
	records := p.endRecords(h, tasks, now)
	release := releaseRecord(f.Spec, f.alivePosition, wire.ReleaseReason_RELEASE_REASON_FENCED)
	return append(records, p.addMetadata(release, now))
}

// endRecords returns the records of the ends and last checkpoints of the tasks of a
// host that no longer run.
func (p *Planner) endRecords(h *hostInfo, tasks []*wire.WorkerTask, now time.Time) []*wire.Record {
	var records []*wire.Record
	for _, task := range tasks {
		r := h.tasks[task.GetTask()]
		if r == nil || r.token != task.GetToken() {
			continue
		}
		if record := recordOfEndedTask(r, task); record != nil {
			records = append(records, p.addMetadata(record, now))
		}
	}
	return records
}

// recordOfEndedTask returns a TaskFinished record if the worker reports the task's
// result, else a CheckpointTaken record, or nil without a new checkpoint.
func recordOfEndedTask(r *runningTask, task *wire.WorkerTask) *wire.Record {
	finished := &wire.TaskFinished{
		Task:    task.GetTask(),
		Attempt: r.attempt,
		Host:    r.host,
		Detail:  task.GetDetail(),
	}
	switch {
	case task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_SUCCEEDED:
		finished.Result = wire.TaskResult_TASK_RESULT_SUCCEEDED
	case task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_FAILED:
		finished.Result = wire.TaskResult_TASK_RESULT_FAILED
		finished.Retry = strings.HasPrefix(task.GetDetail(), workerFaultPrefix)
	case task.GetCheckpoint() != "" && task.GetCheckpoint() != r.checkpoint:
		return &wire.Record{
			Body: &wire.Record_CheckpointTaken{
				CheckpointTaken: &wire.CheckpointTaken{
					Task:       task.GetTask(),
					Attempt:    r.attempt,
					Host:       r.host,
					Checkpoint: task.GetCheckpoint(),
				},
			},
		}
	default:
		return nil
	}
	return &wire.Record{
		Body: &wire.Record_TaskFinished{
			TaskFinished: finished,
		},
	}
}
