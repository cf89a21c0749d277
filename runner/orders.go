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
	// maxStartAge is the time since the leader's decision after which a start
	// order is refused.
	maxStartAge  = 1500 * time.Millisecond
	orderTimeout = 700 * time.Millisecond
	orderRetry   = 100 * time.Millisecond
)

// executeOrder waits for one of the order slots and carries out the order. The
// caller does not hold the mutex.
func (r *Runner) executeOrder(ctx context.Context, order *wire.Order, decidedAt time.Duration) {
	select {
	case r.orderSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-r.orderSlots }()
	switch kind := order.GetKind().(type) {
	case *wire.Order_Start:
		r.start(ctx, kind.Start, decidedAt)
	case *wire.Order_Stop:
		r.stop(ctx, kind.Stop)
	}
}

// startDecision says whether a start order may be sent to the executor now.
type startDecision struct {
	info  *wire.ExecutorInfo
	lease damaskspread.Lease
	// handled means that the run is running, has ended or belongs to another
	// order.
	handled bool
	refusal damaskspread.StartRefusal
}

// decideStart checks whether a start is still allowed. The first order for a run
// that reaches this point either starts the run or refuses it for good; other
// orders for the same run are skipped.
func (r *Runner) decideStart(order *wire.StartOrder, decidedAt time.Duration) startDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := runKey{order.GetTask(), order.GetRun()}
	decision := startDecision{
		info:  r.info,
		lease: r.executorLease(),
	}
	if r.info == nil {
		decision.refusal = damaskspread.RefusedExecutorGone
		return decision
	}
	r.steps[key] = order.GetStep()
	owner := r.startOwners[key]
	switch {
	case r.isRunning(key) || r.hasEnded(key):
		decision.handled = true
	case r.refusedRuns[key].reason != "":
		decision.refusal = r.refusedRuns[key].reason
	case owner != nil && owner != order:
		decision.handled = true
	case r.info.GetDraining():
		decision.refusal = damaskspread.RefusedDraining
	case r.Elapsed.Elapsed()-decidedAt > maxStartAge:
		decision.refusal = damaskspread.RefusedOrderExpired
	case decision.lease.DeadlineMs == 0:
		decision.refusal = damaskspread.RefusedLeaseOver
	default:
		r.startOwners[key] = order
	}
	if decision.refusal != "" && owner == nil {
		r.rememberRefusal(key, decision.refusal)
	}
	return decision
}

func (r *Runner) start(ctx context.Context, order *wire.StartOrder, decidedAt time.Duration) {
	key := runKey{order.GetTask(), order.GetRun()}
	mayHaveStarted := false
	for ctx.Err() == nil {
		decision := r.decideStart(order, decidedAt)
		switch {
		case decision.handled:
			return
		case decision.refusal != "" && mayHaveStarted:
			r.stop(ctx, &wire.StopOrder{Task: order.GetTask(), Run: order.GetRun()})
			return
		case decision.refusal != "":
			r.reportRefusal(key, decision.refusal)
			return
		}
		err := r.callStart(ctx, order, &decision)
		r.watchStart(decision.info, key, err)
		if err == nil {
			tracer.Write(&tracer.TaskStarted{
				Job:        tracker.JobOf(key.task),
				Task:       key.task,
				Run:        key.run,
				Token:      decision.lease.Token,
				DeadlineMs: decision.lease.DeadlineMs,
				Age:        tracer.Milliseconds(r.Elapsed.Elapsed() - decidedAt),
			})
			return
		}
		var unknown *damaskspread.WorkerUnknownError
		mayHaveStarted = mayHaveStarted || errors.As(err, &unknown)
		if r.handleStartError(key, err, mayHaveStarted) {
			return
		}
		r.pause(ctx, orderRetry)
	}
}

func (r *Runner) callStart(ctx context.Context, order *wire.StartOrder, decision *startDecision) error {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return r.Executor.Start(callCtx, decision.info.GetId(), order, &decision.lease)
}

// handleStartError reports definite refusals to the leader and returns whether
// the order is finished. If an earlier call got no response, the refusal of a
// repeated call does not show whether the run started; the executor's lists or
// a stop order show it.
func (r *Runner) handleStartError(key runKey, err error, mayHaveStarted bool) bool {
	var refused *damaskspread.StartRefusedError
	var fenced *damaskspread.FencedError
	var wrong *damaskspread.WrongIncarnationError
	switch {
	case errors.As(err, &wrong):
		return true
	case errors.As(err, &fenced) && !mayHaveStarted:
		r.reportRefusal(key, damaskspread.RefusedOrderExpired)
		return true
	case !errors.As(err, &refused):
		log.Debug().Str("task", key.task).Int32("run", key.run).Err(err).Msg("start call failed; retrying")
		return false
	case refused.Reason == damaskspread.RefusedOldRun:
		// The run may have ended on this executor; its next lists show it.
		r.scheduleCheck(key, 0)
		return true
	case mayHaveStarted:
		log.Info().Str("task", key.task).Int32("run", key.run).Err(err).Msg("repeated start refused; an earlier call may have started the run")
		return false
	default:
		r.reportRefusal(key, refused.Reason)
		return true
	}
}

func (r *Runner) reportRefusal(key runKey, reason damaskspread.StartRefusal) {
	r.mu.Lock()
	r.addRefusal(key, reason)
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

// scheduleCheck looks the run up in the first lists that are requested from the
// executor after a delay.
func (r *Runner) scheduleCheck(key runKey, delay time.Duration) {
	r.mu.Lock()
	r.checksDue[key] = r.Elapsed.Elapsed() + delay
	r.mu.Unlock()
	signal(r.renewWake)
}

// stop repeats the order until the executor accepts it, has left or has been
// replaced, or rejects the epoch.
func (r *Runner) stop(ctx context.Context, order *wire.StopOrder) {
	key := runKey{order.GetTask(), order.GetRun()}
	for ctx.Err() == nil {
		r.mu.Lock()
		info, token := r.info, r.epoch
		r.mu.Unlock()
		if info == nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := r.Executor.Stop(callCtx, info.GetId(), order, token)
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
			r.scheduleCheck(key, r.StopWithin)
			return
		case errors.As(err, &wrong) || errors.As(err, &fenced):
			return
		}
		log.Debug().Str("task", key.task).Int32("run", key.run).Err(err).Msg("stop call failed; retrying")
		r.pause(ctx, orderRetry)
	}
}
