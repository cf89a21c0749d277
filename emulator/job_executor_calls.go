package emulator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// checkCall refuses calls for another incarnation or with a token lower than the
// highest one, and calls advance.
func (e *JobExecutor) checkCall(ctx context.Context, id string, token int64) error {
	e.mu.Lock()
	unresponsive := e.unresponsive
	e.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return &damaskspread.WorkerUnknownError{Cause: ctx.Err()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.down {
		return &damaskspread.ConnectionLostError{Cause: errInjected}
	}
	if e.resetting {
		return lostResponse()
	}
	if id != e.id {
		return &damaskspread.WrongIncarnationError{ID: id}
	}
	if token < e.highestToken {
		return &damaskspread.FencedError{Refused: token}
	}
	e.highestToken = token
	return nil
}

func (e *JobExecutor) extendLease(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	deadline := e.startedAt.Add(time.Duration(deadlineMs) * time.Millisecond)
	if deadline.After(e.leaseEnd) {
		e.leaseEnd = deadline
	}
}

// Renew implements damaskspread.TaskExecutor.
func (e *JobExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	if err := e.checkCall(ctx, id, lease.Token); err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.extendLease(lease.DeadlineMs)
	e.dropEnds(seen)
	e.mu.Unlock()
	e.awaitEnd(ctx, id, wait)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.resetting || id != e.id {
		return nil, lostResponse()
	}
	limit := cmp.Or(e.MaxListedEnds, defaultListedEnds)
	listed := e.ended[:min(len(e.ended), limit)]
	state := &wire.ExecutorState{
		BornUnixMs: e.bornUnixMs,
		ClockMs:    e.clockMs(),
		Ended:      slices.Clone(listed),
		MoreEnds:   len(listed) == limit,
	}
	for id, run := range e.runs {
		state.Running = append(state.Running, &wire.TaskRun{
			Task:       id.task,
			Run:        id.run,
			Checkpoint: run.checkpoint,
		})
	}
	return state, nil
}

// dropEnds drops the ends up to a number from the list. It requires the lock.
func (e *JobExecutor) dropEnds(seen int64) {
	e.ended = slices.DeleteFunc(e.ended, func(end *wire.RunEnd) bool {
		dropped := end.GetNumber() <= seen
		if dropped && e.Acknowledged != nil {
			e.Acknowledged(end, end.GetNumber() <= e.lapsedEnds)
		}
		return dropped
	})
}

// awaitEnd waits until an ended run is listed or another incarnation has replaced
// the one with the given id. It polls, because only advance detects the end of a
// run.
func (e *JobExecutor) awaitEnd(ctx context.Context, id string, wait time.Duration) {
	const pollInterval = 5 * time.Millisecond
	deadline := e.Clock.Now().Add(wait)
	for e.Clock.Now().Before(deadline) && ctx.Err() == nil {
		e.mu.Lock()
		e.advance()
		over := len(e.ended) > 0 || e.down || e.resetting || e.id != id
		e.mu.Unlock()
		if over {
			return
		}
		e.Clock.Sleep(pollInterval)
	}
}

// Start implements damaskspread.TaskExecutor.
func (e *JobExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	if e.holdStart(id, order, lease) {
		<-ctx.Done()
		return &damaskspread.WorkerUnknownError{Cause: ctx.Err()}
	}
	return e.startNow(ctx, id, order, lease)
}

func (e *JobExecutor) startNow(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	if err := e.checkCall(ctx, id, lease.Token); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extendLease(lease.DeadlineMs)
	run := runID{task: order.GetTask(), run: order.GetRun()}
	if e.runs[run] != nil {
		return nil
	}
	if run.run <= e.endedRun[run.task] {
		return &damaskspread.StartRefusedError{Reason: damaskspread.RefusedOldRun}
	}
	if lease.DeadlineMs <= e.clockMs() {
		return &damaskspread.StartRefusedError{Reason: damaskspread.RefusedLeaseOver}
	}
	e.startRun(run, order)
	if e.losesStartResponses {
		return &damaskspread.WorkerUnknownError{Cause: errInjected}
	}
	return nil
}

func (e *JobExecutor) startRun(id runID, order *wire.StartOrder) {
	work := e.TaskDuration(id.task)
	fails := e.fails != nil && e.fails(id.task)
	run := &jobRun{
		longRunning: work < 0,
		fails:       fails,
		checkpoint:  order.GetCheckpoint(),
		endsAt:      e.Clock.Now().Add(work),
	}
	if fails {
		run.endsAt = e.Clock.Now()
		run.longRunning = false
	}
	e.runs[id] = run
	e.observe(id, wire.EndCause_END_CAUSE_UNSPECIFIED)
	e.scheduleCrash(id.task)
}

// Stop implements damaskspread.TaskExecutor.
func (e *JobExecutor) Stop(ctx context.Context, id string, order *wire.StopOrder, token int64) error {
	if err := e.checkCall(ctx, id, token); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stopped := runID{task: order.GetTask(), run: order.GetRun()}
	e.endedRun[stopped.task] = max(e.endedRun[stopped.task], stopped.run)
	run := e.runs[stopped]
	if run == nil || run.stopping {
		return nil
	}
	run.checkpoint = "saved-" + stopped.task
	run.stopping = true
	run.endsAt = e.Clock.Now().Add(e.StopTime)
	e.advance()
	return nil
}

// Pace implements damaskspread.TaskExecutor.
func (e *JobExecutor) Pace(ctx context.Context, id, _ string, _ int32, _ int, token int64) error {
	return e.checkCall(ctx, id, token)
}
