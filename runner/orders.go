package runner

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// startWithin is the age of a decision after which it is not acted on.
	startWithin  = 1500 * time.Millisecond
	orderTimeout = 700 * time.Millisecond
	orderRetry   = 100 * time.Millisecond
)

// carryOut executes one order. The runner's lock is not held.
func (r *Runner) carryOut(ctx context.Context, order *wire.Order, decidedAt time.Duration) {
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-r.slots }()
	switch kind := order.GetKind().(type) {
	case *wire.Order_Start:
		r.start(ctx, kind.Start, decidedAt)
	case *wire.Order_Stop:
		r.stop(ctx, kind.Stop)
	}
}

// attempt is what an order may use at the moment of a call.
type attempt struct {
	info   *wire.ExecutorInfo
	lease  damaskspread.Lease
	exists bool
	refuse damaskspread.StartRefusal
}

// prepare checks whether a start is still allowed. A run belongs to the first
// order that gets here: it starts the run or refuses it for good, and other
// orders for it are skipped.
func (r *Runner) prepare(order *wire.StartOrder, decidedAt time.Duration) attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := runKey{order.GetTask(), order.GetRun()}
	a := attempt{
		info:  r.info,
		lease: r.lease(),
	}
	if r.info == nil {
		a.refuse = damaskspread.RefusedGone
		return a
	}
	r.steps[key] = order.GetStep()
	owner := r.starting[key]
	switch {
	case r.isRunning(key) || r.hasEnded(key):
		a.exists = true
	case r.refused[key] != "":
		a.refuse = r.refused[key]
	case owner != nil && owner != order:
		a.exists = true
	case r.info.GetDraining():
		a.refuse = damaskspread.RefusedDraining
	case r.Elapsed.Elapsed()-decidedAt > startWithin:
		a.refuse = damaskspread.RefusedExpired
	case a.lease.DeadlineMs == 0:
		a.refuse = damaskspread.RefusedLate
	default:
		r.starting[key] = order
	}
	if a.refuse != "" && owner == nil {
		r.refused[key] = a.refuse
	}
	return a
}

func (r *Runner) start(ctx context.Context, order *wire.StartOrder, decidedAt time.Duration) {
	key := runKey{order.GetTask(), order.GetRun()}
	uncertain := false
	for ctx.Err() == nil {
		a := r.prepare(order, decidedAt)
		switch {
		case a.exists:
			return
		case a.refuse != "" && uncertain:
			r.stop(ctx, &wire.StopOrder{Task: order.GetTask(), Run: order.GetRun()})
			return
		case a.refuse != "":
			r.reportRefusal(key, a.refuse)
			return
		}
		err := r.callStart(ctx, order, &a)
		if err == nil {
			tracer.Write(&tracer.TaskStarted{
				Job:        tracker.JobOf(key.task),
				Task:       key.task,
				Run:        key.run,
				Token:      a.lease.Token,
				DeadlineMs: a.lease.DeadlineMs,
				Age:        tracer.Milliseconds(r.Elapsed.Elapsed() - decidedAt),
			})
			return
		}
		var unknown *damaskspread.WorkerUnknownError
		uncertain = uncertain || errors.As(err, &unknown)
		if r.startRefused(key, err, uncertain) {
			return
		}
		r.pause(ctx, orderRetry)
	}
}

func (r *Runner) callStart(ctx context.Context, order *wire.StartOrder, a *attempt) error {
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return r.Executor.Start(limited, a.info.GetId(), order, &a.lease)
}

// startRefused handles definite refusals and reports whether the order is
// settled. The refusal of a repeat says nothing of an earlier try without an
// answer; the lists of the executor or a stop settle that.
func (r *Runner) startRefused(key runKey, err error, uncertain bool) bool {
	var refused *damaskspread.StartRefusedError
	var fenced *damaskspread.FencedError
	var wrong *damaskspread.WrongIncarnationError
	switch {
	case errors.As(err, &wrong):
		return true
	case errors.As(err, &fenced) && !uncertain:
		r.reportRefusal(key, damaskspread.RefusedExpired)
		return true
	case !errors.As(err, &refused):
		log.Debug().Str("task", key.task).Int32("run", key.run).Err(err).Msg("start repeated")
		return false
	case refused.Reason == damaskspread.RefusedOld:
		// The run may have ended here; the next list of ends tells.
		r.check(key, 0)
		return true
	case uncertain:
		log.Info().Str("task", key.task).Int32("run", key.run).Err(err).Msg("repeat of a start refused; the first try is open")
		return false
	default:
		r.reportRefusal(key, refused.Reason)
		return true
	}
}

func (r *Runner) reportRefusal(key runKey, reason damaskspread.StartRefusal) {
	r.mu.Lock()
	r.refuse(key, reason)
	r.mu.Unlock()
	tracer.Write(&tracer.StartRefused{
		Job:    tracker.JobOf(key.task),
		Task:   key.task,
		Run:    key.run,
		Host:   r.Host,
		Reason: string(reason),
	})
	signal(r.reportWake)
}

// check looks the run up in the lists that are read after a delay.
func (r *Runner) check(key runKey, delay time.Duration) {
	r.mu.Lock()
	r.checks[key] = r.Elapsed.Elapsed() + delay
	r.mu.Unlock()
	signal(r.renewWake)
}

// stop repeats the order until the executor took it or is gone.
func (r *Runner) stop(ctx context.Context, order *wire.StopOrder) {
	key := runKey{order.GetTask(), order.GetRun()}
	for ctx.Err() == nil {
		r.mu.Lock()
		info, token := r.info, r.epoch
		r.mu.Unlock()
		if info == nil {
			return
		}
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		err := r.Executor.Stop(limited, info.GetId(), order, token)
		cancel()
		var wrong *damaskspread.WrongIncarnationError
		var fenced *damaskspread.FencedError
		switch {
		case err == nil:
			tracer.Write(&tracer.TaskStopped{
				Job:  tracker.JobOf(key.task),
				Task: key.task,
				Run:  key.run,
			})
			r.check(key, r.StopWithin)
			return
		case errors.As(err, &wrong) || errors.As(err, &fenced):
			return
		}
		log.Debug().Str("task", key.task).Int32("run", key.run).Err(err).Msg("stop repeated")
		r.pause(ctx, orderRetry)
	}
}
