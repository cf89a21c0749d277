package runner

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// renewWait is how long a renewal waits at the executor for another end.
	renewWait = 900 * time.Millisecond
	// shortRenewWait is used instead while runs are in progress and the executor's lease
	// ends within shortLease, so that an extension reaches it in time.
	shortRenewWait     = 200 * time.Millisecond
	shortLease         = 2500 * time.Millisecond
	renewTimeoutMargin = 900 * time.Millisecond
	// shortRenewMargin is used instead while a start may be carried out late.
	shortRenewMargin = 300 * time.Millisecond
	renewRetry       = 150 * time.Millisecond
	idleWait         = 300 * time.Millisecond
	recordingWait    = 60 * time.Millisecond
	// minClockRate is the lowest rate of the executor's clock relative to the
	// clock of this process.
	minClockRate = 0.98
	// unreachableAfter is the time without a successful renewal after which the
	// executor is reported as unreachable and the leader stops extending its
	// lease.
	unreachableAfter = 2 * time.Second
	// defaultRefusalRetention is how long a refused run stays refused. It exceeds
	// the time in which a leader or its successor can repeat an order: the
	// takeover and a few repetitions of the order.
	defaultRefusalRetention = time.Minute
)

// renewOnce extends the executor's lease and reads its lists of running and
// ended runs.
func (r *Runner) renewOnce(ctx context.Context) {
	call := r.nextRenewal()
	if call == nil {
		r.confirmDeparture(ctx)
		r.fenceLateStarts(ctx)
		r.waitForSignal(ctx, r.renewWake, idleWait)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, call.wait+call.margin)
	defer cancel()
	if !r.beginRenewal(call, cancel) {
		return
	}
	state, err := r.Executor.Renew(callCtx, call.info.GetId(), &call.lease, call.dropUpTo, call.wait)
	if errors.Is(callCtx.Err(), context.Canceled) {
		r.noteCanceledRenewal(call)
		return
	}
	if err != nil {
		r.watchCall(call.info, runKey{}, err)
		r.handleRenewError(ctx, call, err)
		return
	}
	if r.applyState(call, state) {
		signal(r.reportWake)
	}
	r.updatePaces(ctx)
	r.waitForRecording(ctx)
}

// renewal holds the parameters of one Renew call.
type renewal struct {
	info      *wire.ExecutorInfo
	startedAt time.Duration
	lease     damaskspread.Lease
	// leaseUntil is the end of the lease on the clock of this process.
	leaseUntil time.Duration
	// dropUpTo is the number of the last end that the executor may drop.
	dropUpTo int64
	wait     time.Duration
	// margin is the time beyond wait after which the executor counts as silent.
	margin time.Duration
}

func (r *Runner) nextRenewal() *renewal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info == nil || r.token == 0 {
		return nil
	}
	mayHaveRestarted := r.mayHaveRestarted()
	if mayHaveRestarted {
		r.tokens.advance()
	}
	r.tokens.executor = r.info
	call := &renewal{
		info:      r.info,
		startedAt: r.Elapsed.Elapsed(),
		lease:     r.executorLease(),
		dropUpTo:  r.endsRecorded,
		wait:      renewWait,
		margin:    r.renewMargin(),

		leaseUntil: r.leaseUntil,
	}
	leaseIsShort := len(r.running) > 0 && r.renewedUntil-call.startedAt < shortLease
	if leaseIsShort || r.pacesDue || r.expectsLateStart() {
		call.wait = shortRenewWait
	}
	if mayHaveRestarted {
		// The executor may have restarted under its id: the deadline is a reading
		// of its earlier clock, and the number counts earlier ends.
		call.lease.DeadlineMs = 0
		call.leaseUntil = 0
		call.dropUpTo = 0
		call.wait = 0
	} else {
		r.tokens.used = true
	}
	if !r.listsRead || r.unrecordedEnds.len() > 0 || len(r.checksDue) > 0 {
		call.wait = 0
	}
	return call
}

// mayHaveRestarted reports whether another life may respond under the executor's id: the
// last renewal failed or was canceled, a start got no response, or another executor was
// announced, and the present one has not responded since. The caller holds the mutex.
func (r *Runner) mayHaveRestarted() bool {
	return r.renewFailures > 0 || r.unanswered || r.candidate != nil
}

// checkAfterStart calls an executor that has not responded to a start: a renewal in progress
// may be without response for much longer, and the start must not be the first call that
// another life sees.
func (r *Runner) checkAfterStart(info *wire.ExecutorInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchLateStart()
	if !r.isPresent(info) || r.mayHaveRestarted() {
		return
	}
	r.unanswered = true
	if r.cancelRenewal != nil {
		r.cancelRenewal()
	}
	signal(r.renewWake)
}

// noteCanceledRenewal records that a renewal has no response: the executor may have been
// silent because it has ended.
func (r *Runner) noteCanceledRenewal(call *renewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isPresent(call.info) {
		r.unanswered = true
	}
}

// beginRenewal makes the renewal end with its session: the executor may hold the call
// without a response. It returns false if the session has ended.
func (r *Runner) beginRenewal(call *renewal, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelRenewal = cancel
	return r.hasCallToken(call.lease.Token)
}

// executorLease converts the lease to the executor's clock. That clock may run
// slowly, so the result is rather too early than too late. The deadline is 0
// without a valid lease.
func (r *Runner) executorLease() damaskspread.Lease {
	lease := damaskspread.Lease{Token: r.tokens.present}
	now := r.Elapsed.Elapsed()
	if left := r.leaseUntil - now; left > 0 && r.executorClock.clockMs > 0 {
		passed := float64(now-r.executorClock.at) * minClockRate
		remaining := float64(left) * minClockRate
		lease.DeadlineMs = r.executorClock.clockMs + time.Duration(passed+remaining).Milliseconds()
	}
	return lease
}

func (r *Runner) handleRenewError(ctx context.Context, call *renewal, err error) {
	var fenced *damaskspread.FencedError
	var wrong *damaskspread.WrongIncarnationError
	r.mu.Lock()
	r.renewFailures++
	first := r.renewFailures == 1
	switch {
	case !r.isPresent(call.info):
	case r.takeCandidate():
	case errors.As(err, &wrong):
		r.discardExecutor()
	}
	if errors.As(err, &fenced) && r.hasCallToken(call.lease.Token) {
		r.epoch = 0
		r.resetSession()
		r.Leader.Redirect(nil)
	}
	r.mu.Unlock()
	if first {
		log.Warn().Str("executor", call.info.GetId()).Int64("born", call.info.GetBornUnixMs()).Int64("token", call.lease.Token).Err(err).Msg("executor lease renewal failed")
	}
	r.pause(ctx, renewRetry)
}

// applyState stores the executor's lists and reports whether there are new ends
// or refusals to report.
func (r *Runner) applyState(call *renewal, state *wire.ExecutorState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info == nil || !sameIncarnation(r.info, call.info) {
		return false
	}
	if born := state.GetBornUnixMs(); born != 0 && born != r.info.GetBornUnixMs() {
		r.handleRestart(born)
		return false
	}
	r.candidate = nil
	now := r.Elapsed.Elapsed()
	if r.renewFailures > 0 {
		log.Info().Str("executor", call.info.GetId()).Int("failures", r.renewFailures).Msg("executor lease renewal recovered")
	}
	r.renewFailures = 0
	r.unanswered = false
	r.lastContact = now
	r.respondsSlowly = now-call.startedAt > call.wait+shortRenewMargin
	r.renewedUntil = max(r.renewedUntil, call.leaseUntil)
	r.crashes.addContact()
	r.executorClock = clockReading{
		clockMs: state.GetClockMs(),
		at:      now,
	}
	r.setRunning(state.GetRunning())
	for _, run := range r.running {
		r.crashes.addListed(runKey{run.GetTask(), run.GetRun()}, now)
	}
	r.listsVersion++
	if r.hasCallToken(call.lease.Token) {
		r.listsRead = true
	}
	updated := r.unrecordedEnds.add(state.GetEnded(), r.endsRecorded)
	r.unrecordedEnds.more = state.GetMoreEnds()
	r.traceLists(call.startedAt)
	r.forgetEndedRuns()
	fenced := r.resolveFences(call.lease.Token)
	return r.resolveChecks(call.startedAt) || fenced || updated
}

// handleRestart resets the state for an executor that restarted under the same
// id. Its capacity and labels may differ from those before, so it gets no tasks
// until it announces them.
func (r *Runner) handleRestart(born int64) {
	if r.candidate.GetId() == r.info.GetId() && r.candidate.GetBornUnixMs() == born && r.takeCandidate() {
		return
	}
	info := &wire.ExecutorInfo{
		Id:         r.info.GetId(),
		BornUnixMs: born,
		Service:    r.info.GetService(),
		Zone:       r.info.GetZone(),
		Address:    r.info.GetAddress(),
		Capacity:   &wire.Resources{},
	}
	log.Info().Str("executor", info.GetId()).Int64("born", born).Int64("previous_born", r.info.GetBornUnixMs()).
		Msg("executor restarted")
	r.resetExecutor(info)
}

// waitForRecording gives the leader time to store the reported ends before the
// next renewal, which would otherwise return at once with the same list.
func (r *Runner) waitForRecording(ctx context.Context) {
	r.mu.Lock()
	waiting := r.unrecordedEnds.len() > 0 || len(r.checksDue) > 0
	r.mu.Unlock()
	if waiting {
		r.waitForSignal(ctx, r.renewWake, recordingWait)
	}
}

// cutLast is strings.Cut at the last dot.
func cutLast(text string) (before, after string, found bool) {
	i := strings.LastIndexByte(text, '.')
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+1:], true
}
