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

// executeOrder waits for one of the order slots and carries out the order on the
// executor for which it was given. The caller does not hold the mutex.
func (r *Runner) executeOrder(ctx context.Context, info *wire.ExecutorInfo, session string, order *wire.Order, decidedAt time.Duration) {
	select {
	case r.orderSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-r.orderSlots }()
	switch kind := order.GetKind().(type) {
	case *wire.Order_Start:
		r.start(ctx, info, session, kind.Start, decidedAt)
	case *wire.Order_Stop:
		r.stop(ctx, info, kind.Stop)
	}
}

// pauseWithoutSlot pauses an order that waits and leaves its slot to others: the stop for
// which it waits needs one.
func (r *Runner) pauseWithoutSlot(ctx context.Context) {
	<-r.orderSlots
	r.pause(ctx, orderRetry)
	r.orderSlots <- struct{}{}
}

// startDecision says whether a start order may be sent to the executor now.
type startDecision struct {
	lease damaskspread.Lease
	// handled means that the run is running, has ended or belongs to another
	// order, or that the executor for which the order was given has ended.
	handled bool
	// wait means that another run of the task is in progress on the executor, that the
	// session has no token yet, or that the executor may have restarted under its id, and
	// would carry out the order of the incarnation before.
	wait    bool
	refusal damaskspread.StartRefusal
	// definite means that the run was refused before and can't start any more.
	definite bool
}

// decideStart checks whether a start is still allowed. The first order for a run
// that reaches this point owns it and either starts or refuses it; other orders for
// the run are skipped. With mayHaveStarted, a call of this or of an earlier order may
// still be executed, so a refusal isn't definite. An order ends with its executor: the
// leader releases the runs of an executor that was replaced or has left, and orders
// their next runs. It ends with its session too, because the leader repeats at the
// opening what it still wants to start; once the order has called the executor, session
// is empty, and it goes on until the outcome is known.
func (r *Runner) decideStart(info *wire.ExecutorInfo, session string, order *wire.StartOrder, decidedAt time.Duration, mayHaveStarted bool) startDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := runKey{order.GetTask(), order.GetRun()}
	decision := startDecision{lease: r.executorLease()}
	owner := r.startOwners[key]
	if !r.isPresent(info) || session != "" && session != r.session {
		decision.handled = true
		return decision
	}
	r.learnStep(order)
	switch {
	case r.isRunning(key):
		r.learnRamp(key, order)
		decision.handled = true
	case r.hasEnded(key):
		decision.handled = true
	case r.refusedRuns[key].reason != "":
		decision.refusal = r.refusedRuns[key].reason
		decision.definite = true
	case owner != nil && owner != order:
		decision.handled = true
	case r.info.GetDraining():
		decision.refusal = damaskspread.RefusedDraining
	case r.Elapsed.Elapsed()-decidedAt > maxStartAge:
		decision.refusal = damaskspread.RefusedOrderExpired
	case decision.lease.DeadlineMs == 0:
		decision.refusal = damaskspread.RefusedLeaseOver
	case r.earlierRunDone(key):
		decision.refusal = damaskspread.RefusedOldRun
	case r.mayHaveRestarted() || r.token == 0 || r.otherRunInProgress(key):
		decision.wait = true
	case r.exceedsCapacity(key):
		decision.refusal = damaskspread.RefusedNoRoom
	default:
		r.learnRamp(key, order)
		r.own(key, order)
		r.tokens.used = true
		r.fenceLater(key)
	}
	switch {
	case decision.refusal == "" || decision.definite || owner != nil:
	case mayHaveStarted:
		// The run has no owner yet, or lost it while another announcement hid the
		// executor.
		r.own(key, order)
	default:
		r.rememberRefusal(key, decision.refusal)
		decision.definite = true
	}
	return decision
}

func (r *Runner) start(ctx context.Context, info *wire.ExecutorInfo, session string, order *wire.StartOrder, decidedAt time.Duration) {
	key := runKey{order.GetTask(), order.GetRun()}
	mayHaveStarted := order.GetRepeated()
	for ctx.Err() == nil {
		decision := r.decideStart(info, session, order, decidedAt, mayHaveStarted)
		switch {
		case decision.handled:
			return
		case decision.refusal != "" && mayHaveStarted && !decision.definite:
			r.traceOwnStop(info, key, tracer.StopRefused, string(decision.refusal))
			if !r.stop(ctx, info, &wire.StopOrder{Task: order.GetTask(), Run: order.GetRun()}) {
				r.dropOwner(info, key)
			}
			return
		case decision.refusal != "":
			r.reportRefusal(info, key, decision.refusal)
			return
		case decision.wait:
			r.pauseWithoutSlot(ctx)
			continue
		}
		session = ""
		err := r.callStart(ctx, info, order, &decision.lease)
		var unknown *damaskspread.WorkerUnknownError
		if errors.As(err, &unknown) {
			mayHaveStarted = true
			r.checkAfterStart(info)
		}
		r.watchStart(info, key, err)
		if err == nil {
			tracer.Write(&tracer.TaskStarted{
				Job:        tracker.JobOf(key.task),
				Task:       key.task,
				Run:        key.run,
				Executor:   info.GetId(),
				Born:       info.GetBornUnixMs(),
				Token:      decision.lease.Token,
				DeadlineMs: decision.lease.DeadlineMs,
				Age:        tracer.Milliseconds(r.Elapsed.Elapsed() - decidedAt),
			})
			r.beginAtPace(ctx, info, key, decision.lease.Token)
			return
		}
		if r.handleStartError(info, key, decision.lease.Token, err, mayHaveStarted) {
			return
		}
		r.pause(ctx, orderRetry)
	}
}

func (r *Runner) callStart(ctx context.Context, info *wire.ExecutorInfo, order *wire.StartOrder, lease *damaskspread.Lease) error {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return r.Executor.Start(callCtx, info.GetId(), order, lease)
}

// handleStartError reports definite refusals to the leader and returns whether
// the order is finished. If an earlier call got no response, or another process of
// the agent may have made one, the refusal of a repeated call does not show whether
// the run starts; the executor's lists or a stop order show it.
func (r *Runner) handleStartError(info *wire.ExecutorInfo, key runKey, token int64, err error, mayHaveStarted bool) bool {
	var refused *damaskspread.StartRefusedError
	var fenced *damaskspread.FencedError
	var wrong *damaskspread.WrongIncarnationError
	switch {
	case errors.As(err, &wrong):
		return true
	case errors.As(err, &fenced) && !mayHaveStarted && r.isLatestToken(token):
		r.reportRefusal(info, key, damaskspread.RefusedOrderExpired)
		return true
	case !errors.As(err, &refused):
		log.Debug().Str("task", key.task).Int32("run", key.run).Err(err).Msg("start call failed; retrying")
		return false
	case refused.Reason == damaskspread.RefusedOldRun:
		// The run may have ended on this executor; its next lists show it.
		r.scheduleCheck(info, key, 0)
		return true
	case mayHaveStarted:
		log.Info().Str("task", key.task).Int32("run", key.run).Err(err).Msg("repeated start refused; an earlier call may have started the run")
		return false
	default:
		r.reportRefusal(info, key, refused.Reason)
		return true
	}
}

// isLatestToken is hasCallToken for a caller that does not hold the mutex.
func (r *Runner) isLatestToken(token int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasCallToken(token)
}

// stop repeats the order until the executor accepts it, has left or has been
// replaced, or rejects the present token, or until the run is settled without a response. It
// reports whether the executor accepted it or the run is settled.
func (r *Runner) stop(ctx context.Context, info *wire.ExecutorInfo, order *wire.StopOrder) bool {
	key := runKey{order.GetTask(), order.GetRun()}
	for ctx.Err() == nil {
		r.mu.Lock()
		present, hasSession, token := r.isPresent(info), r.token != 0, r.tokens.present
		r.mu.Unlock()
		if !present {
			return false
		}
		if !hasSession {
			r.pause(ctx, orderRetry)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := r.Executor.Stop(callCtx, info.GetId(), order, token)
		cancel()
		var wrong *damaskspread.WrongIncarnationError
		var fenced *damaskspread.FencedError
		var unknown *damaskspread.WorkerUnknownError
		switch {
		case err == nil:
			r.traceStop(info, key, token)
			r.scheduleCheck(info, key, r.StopWithin)
			return true
		case errors.As(err, &wrong):
			return false
		case errors.As(err, &fenced) && r.isLatestToken(token):
			return false
		case errors.As(err, &unknown):
			r.fenceStart(info, key)
		}
		log.Debug().Str("task", key.task).Int32("run", key.run).Err(err).Msg("stop call failed; retrying")
		r.pause(ctx, orderRetry)
		if r.isSettled(key) {
			return true
		}
	}
	return false
}
