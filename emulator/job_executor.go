package emulator

import (
	"context"
	"slices"
	"sync"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// JobExecutor is an in-memory executor of one host: it runs tasks under a
// lease on its own clock and lists their ends until they are noted. It
// implements damaskspread.TaskExecutor.
type JobExecutor struct {
	Clock damaskspread.Clock
	// Work is how long a task takes; negative tasks run until stopped.
	Work func(task string) time.Duration
	// Observe is told of each start and end of a run; it may be nil.
	Observe func(event RunEvent)

	mu        sync.Mutex
	id        string
	born      int64
	startedAt time.Time
	token     int64
	deadline  time.Time
	runs      map[string]*jobRun
	highest   map[string]int32
	ended     []*wire.RunEnd
	lastEnd   int64
	silent    bool
	failing   bool
	late      bool
	changed   chan struct{}
}

// RunEvent is a start or an end of a run as the executor sees it.
type RunEvent struct {
	Executor string
	Task     string
	Run      int32
	// Cause is unspecified for a start.
	Cause wire.EndCause
}

type jobRun struct {
	run      int32
	endsAt   time.Time
	lasting  bool
	failing  bool
	progress string
}

// Boot starts an incarnation that knows nothing of the one before.
func (e *JobExecutor) Boot(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	for task, run := range e.runs {
		e.observe(task, run.run, wire.EndCause_END_CAUSE_LEASE_EXPIRED)
	}
	e.startedAt = e.Clock.Now()
	e.id = id
	e.born = max(e.born+1, e.startedAt.UnixMilli())
	e.token = 0
	e.deadline = time.Time{}
	e.runs = map[string]*jobRun{}
	e.highest = map[string]int32{}
	e.ended = nil
	e.lastEnd = 0
	e.signal()
}

// Info is what the executor announces of itself. It also ends what is over: runs
// end at their time, whether or not anybody calls.
func (e *JobExecutor) Info(service, zone string, capacity *wire.Resources, labels ...string) *wire.ExecutorInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return &wire.ExecutorInfo{
		Id:         e.id,
		BornUnixMs: e.born,
		Service:    service,
		Zone:       zone,
		Capacity:   capacity,
		Labels:     labels,
		ClockMs:    e.reading(),
	}
}

// SetSilent makes calls wait for their deadline without effect.
func (e *JobExecutor) SetSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

// SetFailing makes tasks that start from now on fail at once.
func (e *JobExecutor) SetFailing(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
}

// SetLosingStarts makes starts take effect without an answer.
func (e *JobExecutor) SetLosingStarts(late bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.late = late
}

// Running is the number of runs in progress.
func (e *JobExecutor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return len(e.runs)
}

func (e *JobExecutor) reading() int64 { return e.Clock.Since(e.startedAt).Milliseconds() + 1 }

func (e *JobExecutor) signal() {
	if e.changed != nil {
		close(e.changed)
	}
	e.changed = make(chan struct{})
}

func (e *JobExecutor) observe(task string, run int32, cause wire.EndCause) {
	if e.Observe != nil {
		e.Observe(RunEvent{Executor: e.id, Task: task, Run: run, Cause: cause})
	}
}

// advance ends what is over by now.
func (e *JobExecutor) advance() {
	now := e.Clock.Now()
	for task, run := range e.runs {
		switch {
		case !run.lasting && !now.Before(run.endsAt) && !run.endsAt.After(e.deadline):
			cause := wire.EndCause_END_CAUSE_DONE
			if run.failing {
				cause = wire.EndCause_END_CAUSE_FAILED
			}
			e.end(task, run, cause)
		case now.After(e.deadline):
			e.end(task, run, wire.EndCause_END_CAUSE_LEASE_EXPIRED)
		}
	}
}

func (e *JobExecutor) end(task string, run *jobRun, cause wire.EndCause) {
	delete(e.runs, task)
	e.lastEnd++
	e.ended = append(e.ended, &wire.RunEnd{
		Number:     e.lastEnd,
		Task:       task,
		Run:        run.run,
		Cause:      cause,
		Checkpoint: run.progress,
	})
	e.observe(task, run.run, cause)
	e.signal()
}

func (e *JobExecutor) admit(ctx context.Context, id string, token int64) error {
	e.mu.Lock()
	silent := e.silent
	e.mu.Unlock()
	if silent {
		<-ctx.Done()
		return &damaskspread.WorkerUnknownError{Cause: ctx.Err()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if id != e.id {
		return &damaskspread.WrongIncarnationError{ID: id}
	}
	e.advance()
	if token < e.token {
		return &damaskspread.FencedError{Token: e.token}
	}
	e.token = token
	return nil
}

func (e *JobExecutor) extend(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	deadline := e.startedAt.Add(time.Duration(deadlineMs) * time.Millisecond)
	if deadline.After(e.deadline) {
		e.deadline = deadline
	}
}

// Renew implements damaskspread.TaskExecutor.
func (e *JobExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	if err := e.admit(ctx, id, lease.Token); err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.extend(lease.DeadlineMs)
	e.ended = slices.DeleteFunc(e.ended, func(end *wire.RunEnd) bool { return end.GetNumber() <= seen })
	e.mu.Unlock()
	e.awaitEnd(ctx, wait)
	e.mu.Lock()
	defer e.mu.Unlock()
	state := &wire.ExecutorState{
		BornUnixMs: e.born,
		ClockMs:    e.reading(),
		Ended:      slices.Clone(e.ended),
	}
	for task, run := range e.runs {
		state.Running = append(state.Running, &wire.TaskRun{
			Task:       task,
			Run:        run.run,
			Checkpoint: run.progress,
		})
	}
	return state, nil
}

// awaitEnd waits for an end, in steps because ends are noticed by looking.
func (e *JobExecutor) awaitEnd(ctx context.Context, wait time.Duration) {
	const look = 5 * time.Millisecond
	deadline := e.Clock.Now().Add(wait)
	for e.Clock.Now().Before(deadline) && ctx.Err() == nil {
		e.mu.Lock()
		e.advance()
		some := len(e.ended) > 0
		e.mu.Unlock()
		if some {
			return
		}
		e.Clock.Sleep(look)
	}
}

// Start implements damaskspread.TaskExecutor.
func (e *JobExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	if err := e.admit(ctx, id, lease.Token); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extend(lease.DeadlineMs)
	task := order.GetTask()
	if run := e.runs[task]; run != nil && run.run == order.GetRun() {
		return nil
	}
	if order.GetRun() <= e.highest[task] || e.runs[task] != nil {
		return &damaskspread.StartRefusedError{Reason: damaskspread.RefusedOld}
	}
	if lease.DeadlineMs <= e.reading() {
		return &damaskspread.StartRefusedError{Reason: damaskspread.RefusedLate}
	}
	e.begin(order)
	if e.late {
		return &damaskspread.WorkerUnknownError{Cause: errInjected}
	}
	return nil
}

func (e *JobExecutor) begin(order *wire.StartOrder) {
	work := e.Work(order.GetTask())
	run := &jobRun{
		run:      order.GetRun(),
		lasting:  work < 0,
		failing:  e.failing,
		progress: order.GetCheckpoint(),
		endsAt:   e.Clock.Now().Add(work),
	}
	if e.failing {
		run.endsAt = e.Clock.Now()
		run.lasting = false
	}
	e.runs[order.GetTask()] = run
	e.highest[order.GetTask()] = order.GetRun()
	e.observe(order.GetTask(), order.GetRun(), wire.EndCause_END_CAUSE_UNSPECIFIED)
}

// Stop implements damaskspread.TaskExecutor.
func (e *JobExecutor) Stop(ctx context.Context, id string, order *wire.StopOrder, token int64) error {
	if err := e.admit(ctx, id, token); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	task := order.GetTask()
	e.highest[task] = max(e.highest[task], order.GetRun())
	if run := e.runs[task]; run != nil && run.run <= order.GetRun() {
		run.progress = "saved-" + task
		e.end(task, run, wire.EndCause_END_CAUSE_STOPPED)
	}
	return nil
}

// Pace implements damaskspread.TaskExecutor.
func (e *JobExecutor) Pace(ctx context.Context, id, _ string, _ int32, _ int, token int64) error {
	return e.admit(ctx, id, token)
}
