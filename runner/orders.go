package runner

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const orderRetry = 100 * time.Millisecond

// executeOrder waits for one of the slots of its kind of order and carries out the order on
// the executor for which it was given. Stops have slots of their own: they must not wait for
// starts without a response. The caller does not hold the mutex.
func (r *Runner) executeOrder(ctx context.Context, info *wire.ExecutorInfo, session string, order *wire.Order, decidedAt time.Duration) {
	slots := r.startSlots
	if order.GetStop() != nil {
		slots = r.stopSlots
	}
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-slots }()
	switch kind := order.GetKind().(type) {
	case *wire.Order_Start:
		r.start(ctx, &startAttempt{
			info:           info,
			session:        session,
			order:          kind.Start,
			key:            runKey{kind.Start.GetTask(), kind.Start.GetRun()},
			decidedAt:      decidedAt,
			mayHaveStarted: kind.Start.GetRepeated(),
		})
	case *wire.Order_Stop:
		if !r.stop(ctx, info, kind.Stop) {
			r.dropStopOrder(info, runKey{kind.Stop.GetTask(), kind.Stop.GetRun()})
		}
	}
}

// pauseWithoutSlot pauses a start that waits and leaves its slot to others.
func (r *Runner) pauseWithoutSlot(ctx context.Context) {
	<-r.startSlots
	r.pause(ctx, orderRetry)
	r.startSlots <- struct{}{}
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
		if hasSession {
			if final, accepted := r.tryStop(ctx, info, order, token); final {
				return accepted
			}
		}
		r.pause(ctx, orderRetry)
		if r.isSettled(key) {
			return true
		}
	}
	return false
}

// tryStop calls the executor once. It reports whether the order is finished, and whether the
// executor accepted it.
func (r *Runner) tryStop(ctx context.Context, info *wire.ExecutorInfo, order *wire.StopOrder, token int64) (final, accepted bool) {
	key := runKey{order.GetTask(), order.GetRun()}
	callCtx, cancel := context.WithTimeout(ctx, damaskspread.OrderTimeout)
	defer cancel()
	err := r.Executor.Stop(callCtx, info.GetId(), order, token)
	var wrong *damaskspread.WrongIncarnationError
	var fenced *damaskspread.FencedError
	var unknown *damaskspread.WorkerUnknownError
	switch {
	case err == nil:
		r.traceStop(info, key, token)
		r.scheduleCheck(info, key, r.StopWithin)
		return true, true
	case errors.As(err, &wrong):
		return true, false
	case errors.As(err, &fenced) && r.isLatestToken(token):
		return true, false
	case errors.As(err, &unknown):
		r.fenceStart(info, key)
	}
	log.Debug().Str("task", key.task).Int32("run", key.run).Err(err).Msg("stop call failed; retrying")
	return false, false
}
