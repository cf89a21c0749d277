package runner

import (
	"context"
	"errors"
	"syscall"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// confirmDeparture finds out whether the executor that deregistered has ended. If the
// acknowledgement of its deregistration is lost, it ends some seconds later, with
// its runs in progress until then. It has ended when its address refuses connections
// or another executor responds there; its runs have ended with its lease.
func (r *Runner) confirmDeparture(ctx context.Context) {
	left, token := r.unconfirmedDeparture()
	if left == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := r.Executor.Renew(callCtx, left.GetId(), &damaskspread.Lease{Token: token}, 0, 0)
	var wrong *damaskspread.WrongIncarnationError
	if !errors.Is(err, syscall.ECONNREFUSED) && !errors.As(err, &wrong) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left == left {
		r.markEnded()
	}
}

// unconfirmedDeparture returns the executor to call and the token, or nil if there is
// none or its lease is over.
func (r *Runner) unconfirmedDeparture() (*wire.ExecutorInfo, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Elapsed.Elapsed()
	if r.info != nil || r.left == nil || r.leftEnded || now-r.leftAt < exitDelay {
		return nil, 0
	}
	// The lease is not known if no session was opened.
	if r.leaseUntil > 0 && now > r.leaseUntil {
		r.markEnded()
		return nil, 0
	}
	return r.left, r.token
}

// markEnded lets the next poll report the departure. The caller holds the mutex.
func (r *Runner) markEnded() {
	log.Info().Str("executor", r.left.GetId()).Msg("executor ended")
	r.leftEnded = true
	signal(r.reportWake)
}
