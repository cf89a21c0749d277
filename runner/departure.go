package runner

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// maxDepartures bounds the departures that wait for a leader. Beyond it the oldest are
	// dropped: the leader then waits for the end of their leases.
	maxDepartures = 8
	// silenceInterval is the time between two reports that the executor does not respond.
	silenceInterval = 500 * time.Millisecond
)

// departure is an executor that has left and ended, with the ends of its runs that no
// leader is known to have stored.
type departure struct {
	info *wire.ExecutorInfo
	ends []*wire.RunEnd
}

// confirmDeparture finds out whether the executor that deregistered has ended. If the
// acknowledgement of its deregistration is lost, it ends some seconds later, with
// its runs in progress until then. It has ended when its address refuses connections
// or another executor responds there; its runs have ended with its lease.
func (r *Runner) confirmDeparture(ctx context.Context) {
	left, token := r.unconfirmedDeparture()
	if left == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, damaskspread.OrderTimeout)
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

// markEnded lets the next requests report the departure until a leader has stored it:
// one that dies before leaves no trace of the report. The caller holds the mutex.
func (r *Runner) markEnded() {
	log.Info().Str("executor", r.left.GetId()).Int("ends", r.unrecordedEnds.len()).Msg("executor ended")
	r.leftEnded = true
	r.departures = append(r.departures, &departure{
		info: r.left,
		ends: r.unrecordedEnds.sorted(),
	})
	if excess := len(r.departures) - maxDepartures; excess > 0 {
		r.departures = slices.Delete(r.departures, 0, excess)
	}
	signal(r.reportWake)
}

// departureRequest returns the request that reports the oldest departure, or nil without
// one. The caller holds the mutex.
func (r *Runner) departureRequest() *wire.ExchangeRequest {
	if len(r.departures) == 0 {
		return nil
	}
	oldest := r.departures[0]
	return &wire.ExchangeRequest{
		Host:         r.Host,
		Zone:         r.Zone,
		Session:      r.session,
		Epoch:        r.epoch,
		Executor:     oldest.info,
		ExecutorLeft: true,
		Ends:         oldest.ends,
	}
}

// Departing reports whether an executor leaves this host, or has left it and no leader is
// known to have stored that.
func (r *Runner) Departing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	leaving := r.info.GetDraining() || r.left != nil && !r.leftEnded
	return leaving || len(r.departures) > 0
}

// pendingDeparture is departureRequest for a caller that does not hold the mutex.
func (r *Runner) pendingDeparture() *wire.ExchangeRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.departureRequest()
}

// forgetDeparture drops the departure of a request if the leader has stored it, and
// reports whether that is so. The caller holds the mutex.
func (r *Runner) forgetDeparture(request *wire.ExchangeRequest, response *wire.ExchangeResponse) bool {
	if !response.GetAbsenceStored() {
		return false
	}
	r.departures = slices.DeleteFunc(r.departures, func(d *departure) bool { return sameIncarnation(d.info, request.GetExecutor()) })
	if len(r.departures) > 0 {
		signal(r.reportWake)
	}
	return true
}

// silenceRequest returns the request that tells a new leader how long an executor that
// does not respond may hold a lease, at most once in silenceInterval; otherwise nil. The
// leader knows only that an earlier one may have extended the lease until its takeover,
// but all extensions came through this agent. Earlier processes of the agent got theirs
// before this one, so it can tell once it got one itself. The caller holds the mutex.
func (r *Runner) silenceRequest() *wire.ExchangeRequest {
	now := r.Elapsed.Elapsed()
	if !r.isSilent() || r.leaseUntil == 0 || r.silenceReportedAt > 0 && now-r.silenceReportedAt < silenceInterval {
		return nil
	}
	r.silenceReportedAt = now
	return &wire.ExchangeRequest{
		Host:           r.Host,
		Zone:           r.Zone,
		Session:        r.session,
		Epoch:          r.epoch,
		Token:          r.token,
		Executor:       r.info,
		ExecutorSilent: true,
		LeaseLeftMs:    max(0, r.leaseUntil-now).Milliseconds() + 1,
		Ends:           r.unrecordedEnds.sorted(),
	}
}
