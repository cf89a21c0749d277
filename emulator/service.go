package emulator

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread/wire"
)

// refuse returns the error of a call that has no effect.
func refuse(format string, args ...any) error {
	return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf(format, args...))
}

// lockAndCheckBoot locks the platform, advances all tasks to the present and
// checks the boot. The caller unlocks, also after an error.
func (w *worker) lockAndCheckBoot(boot string) error {
	w.platform.mu.Lock()
	w.platform.advanceAll()
	if boot != w.boot() {
		return refuse("worker boot is %s, not %s", w.boot(), boot)
	}
	return nil
}

func (w *worker) findRunning(name string, token int64) (*task, error) {
	t := w.tasks[attempt{task: name, token: token}]
	if t == nil || t.phase != wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING {
		return nil, refuse("task %s is not running under token %d", name, token)
	}
	return t, nil
}

func (w *worker) Status(
	ctx context.Context, _ *connect.Request[wire.StatusRequest],
) (*connect.Response[wire.StatusResponse], error) {
	defer w.platform.mu.Unlock()
	_ = w.lockAndCheckBoot("")
	if ctx.Err() == nil && !w.responsesDropped {
		w.markRead()
	}
	return connect.NewResponse(w.status()), nil
}

func (w *worker) Start(
	_ context.Context, r *connect.Request[wire.StartRequest],
) (*connect.Response[wire.StartResponse], error) {
	defer w.platform.mu.Unlock()
	if err := w.lockAndCheckBoot(r.Msg.GetBoot()); err != nil {
		return nil, err
	}
	id := attempt{task: r.Msg.GetSpec().GetTask(), token: r.Msg.GetToken()}
	if w.tasks[id] == nil {
		if err := w.checkStart(r.Msg); err != nil {
			return nil, err
		}
		w.startTask(id, r.Msg)
	}
	return connect.NewResponse(&wire.StartResponse{
		Task: w.tasks[id].toWire(),
	}), nil
}

func (w *worker) checkStart(r *wire.StartRequest) error {
	now, name := w.now().Microseconds(), r.GetSpec().GetTask()
	switch {
	case now > r.GetNotAfterUs():
		return refuse("latest start time passed: not after %d us, worker clock is at %d us", r.GetNotAfterUs(), now)
	case now >= r.GetLeaseUntilUs():
		return refuse("lease ended: until %d us, worker clock is at %d us", r.GetLeaseUntilUs(), now)
	case r.GetToken() < w.minToken:
		return refuse("token %d is fenced", r.GetToken())
	}
	for id, t := range w.tasks {
		if id.task == name && (id.token > r.GetToken() || t.phase == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING) {
			return refuse("task %s is known under token %d", name, id.token)
		}
	}
	sum, need, capacity := w.committed(), r.GetSpec().GetResources(), w.spec.Capacity
	if sum.GetMillicores()+need.GetMillicores() > capacity.GetMillicores() ||
		sum.GetMemoryBytes()+need.GetMemoryBytes() > capacity.GetMemoryBytes() ||
		sum.GetAccelerators()+need.GetAccelerators() > capacity.GetAccelerators() {
		w.platform.recordViolation("over_commitment_attempt", w.spec.Host, name, "the start was refused")
		return refuse("no capacity left for task %s", name)
	}
	return nil
}

func (w *worker) startTask(id attempt, r *wire.StartRequest) {
	for _, other := range w.platform.workers {
		for _, t := range other.running() {
			if t.spec.GetTask() == id.task {
				w.platform.recordViolation("two_hosts", w.spec.Host, id.task, "also runs on "+other.spec.Host)
			}
		}
	}
	now := w.platform.Clock.Now()
	t := &task{
		spec:          r.GetSpec(),
		token:         id.token,
		phase:         wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING,
		checkpoint:    r.GetCheckpoint(),
		leaseUntil:    time.Duration(r.GetLeaseUntilUs()) * time.Microsecond,
		started:       now,
		progress:      w.platform.checkpoints[r.GetCheckpoint()],
		progressAt:    now,
		speedPermille: 1000,
	}
	w.tasks[id] = t
	w.recordEvent("start", t, now)
	w.updateMaxCommitted()
	if fault, _ := w.faults.get(); fault.FailStarts {
		t.phase = wire.WorkerTaskPhase_WORKER_TASK_PHASE_FAILED
		t.detail = "worker: cannot run tasks"
		w.recordEvent("fail", t, now)
	}
}

func (w *worker) Renew(
	_ context.Context, r *connect.Request[wire.RenewRequest],
) (*connect.Response[wire.RenewResponse], error) {
	defer w.platform.mu.Unlock()
	if err := w.lockAndCheckBoot(r.Msg.GetBoot()); err != nil {
		return nil, err
	}
	response := &wire.RenewResponse{}
	for _, renewal := range r.Msg.GetRenewals() {
		t, err := w.findRunning(renewal.GetTask(), renewal.GetToken())
		if err != nil {
			response.Missing = append(response.Missing, renewal.GetTask())
			continue
		}
		t.leaseUntil = max(t.leaseUntil, time.Duration(renewal.GetLeaseUntilUs())*time.Microsecond)
	}
	return connect.NewResponse(response), nil
}

func (w *worker) Checkpoint(
	_ context.Context, r *connect.Request[wire.CheckpointRequest],
) (*connect.Response[wire.CheckpointResponse], error) {
	defer w.platform.mu.Unlock()
	if err := w.lockAndCheckBoot(r.Msg.GetBoot()); err != nil {
		return nil, err
	}
	t, err := w.findRunning(r.Msg.GetTask(), r.Msg.GetToken())
	if err != nil {
		return nil, err
	}
	if !t.spec.GetCanCheckpoint() {
		return nil, refuse("task %s cannot be checkpointed", r.Msg.GetTask())
	}
	t.checkpoint = fmt.Sprintf("%s/%d/%d", r.Msg.GetTask(), t.token, t.progress.Milliseconds())
	w.platform.checkpoints[t.checkpoint] = t.progress
	w.recordEvent("checkpoint", t, w.platform.Clock.Now())
	return connect.NewResponse(&wire.CheckpointResponse{
		Checkpoint: t.checkpoint,
	}), nil
}

func (w *worker) Throttle(
	_ context.Context, r *connect.Request[wire.ThrottleRequest],
) (*connect.Response[wire.ThrottleResponse], error) {
	defer w.platform.mu.Unlock()
	if err := w.lockAndCheckBoot(r.Msg.GetBoot()); err != nil {
		return nil, err
	}
	t, err := w.findRunning(r.Msg.GetTask(), r.Msg.GetToken())
	if err != nil {
		return nil, err
	}
	t.speedPermille = int64(min(max(r.Msg.GetPermille(), 0), 1000))
	return connect.NewResponse(&wire.ThrottleResponse{}), nil
}

// Stop ends an attempt. An unknown attempt is recorded as stopped, so that a start
// order that arrives later has no effect.
func (w *worker) Stop(
	_ context.Context, r *connect.Request[wire.StopRequest],
) (*connect.Response[wire.StopResponse], error) {
	defer w.platform.mu.Unlock()
	if err := w.lockAndCheckBoot(r.Msg.GetBoot()); err != nil {
		return nil, err
	}
	id := attempt{task: r.Msg.GetTask(), token: r.Msg.GetToken()}
	t := w.tasks[id]
	switch {
	case t == nil:
		t = &task{
			spec:   &wire.TaskSpec{Task: id.task},
			token:  id.token,
			phase:  wire.WorkerTaskPhase_WORKER_TASK_PHASE_STOPPED,
			detail: NeverStarted,
		}
		w.tasks[id] = t
	case t.phase == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING:
		w.stop(t)
	}
	return connect.NewResponse(&wire.StopResponse{
		Task: t.toWire(),
	}), nil
}

func (w *worker) Fence(
	_ context.Context, r *connect.Request[wire.FenceRequest],
) (*connect.Response[wire.FenceResponse], error) {
	defer w.platform.mu.Unlock()
	if err := w.lockAndCheckBoot(r.Msg.GetBoot()); err != nil {
		return nil, err
	}
	w.minToken = max(w.minToken, r.Msg.GetMinToken())
	for _, t := range w.running() {
		if t.token < w.minToken {
			w.stop(t)
		}
	}
	return connect.NewResponse(&wire.FenceResponse{}), nil
}
