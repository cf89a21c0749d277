package runner

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/wire"
)

const (
	// pollWait is how long a poll waits at the leader for orders. Each response
	// extends the lease.
	pollWait          = time.Second
	pollTimeoutMargin = 900 * time.Millisecond
	reportTimeout     = 800 * time.Millisecond
	exchangeRetry     = 120 * time.Millisecond
	// reportInterval is the shortest time between two lists of runs. Executors
	// measure the use of processors over windows of that length.
	reportInterval = 500 * time.Millisecond
)

// pollOnce opens the session or, once it is open, waits at the leader for orders.
// The end of the session cancels the poll: the leader may hold it for pollWait, and
// the next session can't be opened before.
func (r *Runner) pollOnce(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, pollWait+pollTimeoutMargin)
	defer cancel()
	r.mu.Lock()
	r.cancelPoll = cancel
	r.mu.Unlock()
	request := r.buildRequest(true)
	if request == nil {
		r.waitForSignal(ctx, r.reportWake, exchangeRetry)
		return
	}
	r.exchange(ctx, callCtx, request)
}

// reportOnce waits for a signal and sends the ends, exposures and refusals without
// waiting for orders.
func (r *Runner) reportOnce(ctx context.Context) {
	r.waitForSignal(ctx, r.reportWake, pollWait)
	r.pause(ctx, reportDelay)
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if request := r.pendingDeparture(); request != nil {
		r.exchange(ctx, callCtx, request)
		if r.pendingDeparture() != nil {
			// Not stored yet: reported again without waiting for another signal.
			signal(r.reportWake)
		}
	}
	if !r.hasUpdates() {
		return
	}
	if request := r.buildRequest(false); request != nil {
		r.exchange(ctx, callCtx, request)
	}
}

func (r *Runner) hasUpdates() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.sessionOpen {
		return false
	}
	return r.unrecordedEnds.len() > 0 || len(r.pendingRefusals) > 0 || len(r.crashes.pending) > 0 ||
		r.info.GetDraining() || r.capacityUnreported()
}

// buildRequest returns the next request to the leader, or nil if none can be sent yet. A
// poll opens the session and includes the running runs. Without an executor the request
// reports the departure of the last one, and while the session needs the lists of an
// executor that does not respond, it reports that.
func (r *Runner) buildRequest(poll bool) *wire.ExchangeRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info == nil {
		return r.departureRequest()
	}
	if r.token != 0 && !r.sessionOpen && !r.listsRead {
		signal(r.renewWake)
		return r.silenceRequest()
	}
	epoch := r.epoch
	if r.token == 0 {
		// Asks for a new session and its token.
		epoch = 0
	}
	request := &wire.ExchangeRequest{
		Host:              r.Host,
		Zone:              r.Zone,
		Session:           r.session,
		Epoch:             epoch,
		Token:             r.token,
		Executor:          r.info,
		ExecutorReachable: r.lastContact > 0 && r.Elapsed.Elapsed()-r.lastContact < unreachableAfter && !r.crashes.down(),
		OrdersReceived:    r.ordersReceived,
		EndsRecorded:      r.endsRecorded,
		Refusals:          slices.Clone(r.pendingRefusals),
		PressureVersion:   r.pressureVersion,
		Opening:           poll && !r.sessionOpen,
		KeepsSteps:        true,
		Exposures:         slices.Clone(r.crashes.pending),
		ExposuresRecorded: r.crashes.recorded,
		Ends:              r.unrecordedEnds.sorted(),
		MoreEnds:          r.unrecordedEnds.more,
	}
	if poll && r.token != 0 {
		if r.sessionOpen {
			request.WaitMs = pollWait.Milliseconds()
		}
		r.addRunning(request)
	}
	return request
}

// addRunning adds the list of runs to a request that opens the session, and later
// when the list is new, at most once in reportInterval: ends and refusals are
// reported on their own, and the list is large.
func (r *Runner) addRunning(request *wire.ExchangeRequest) {
	now := r.Elapsed.Elapsed()
	due := r.listsVersion != r.reportedVersion && now-r.reportedAt >= reportInterval
	if !request.GetOpening() && !due {
		return
	}
	request.Running = r.running
	request.HasRunning = true
	r.reportedVersion = r.listsVersion
	r.reportedAt = now
}

// exchange sends a request with callCtx. Orders in the response are carried out
// with ctx, which outlives the call.
func (r *Runner) exchange(ctx, callCtx context.Context, request *wire.ExchangeRequest) {
	sentAt := r.Elapsed.Elapsed()
	response, err := r.Leader.Exchange(callCtx, request)
	if err != nil {
		r.forgetReport(request)
		if !errors.Is(callCtx.Err(), context.Canceled) {
			log.Debug().Err(err).Msg("exchange with leader failed")
			r.pause(ctx, exchangeRetry)
		}
		return
	}
	if !r.applyResponse(ctx, request, response, sentAt) {
		r.pause(ctx, exchangeRetry)
	}
}

// forgetReport makes the next poll repeat the list of runs of a failed request.
func (r *Runner) forgetReport(request *wire.ExchangeRequest) {
	if !request.GetHasRunning() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportedVersion = 0
	r.reportedAt = 0
}

// applyResponse applies a response. It returns false if the process that
// responded is not the leader, so the caller waits before the next request.
func (r *Runner) applyResponse(ctx context.Context, request *wire.ExchangeRequest, response *wire.ExchangeResponse, sentAt time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if response.GetUnconfirmed() {
		r.Leader.Redirect(nil)
	}
	switch {
	case response.GetEpoch() == 0:
		r.Leader.Redirect(response.GetLeader())
		return false
	case response.GetEpoch() < r.epoch:
		// The process has been replaced as leader; the session is with its
		// successor.
		r.Leader.Redirect(nil)
		return false
	case request.GetExecutorLeft():
		return r.forgetDeparture(request, response)
	case request.GetSession() != r.session:
		return true
	case response.GetReopen():
		r.reopenSession(response)
		return true
	case request.GetExecutorSilent():
		return false
	}
	r.updateSession(request, response, sentAt)
	r.updateInterferenceWeights(response)
	r.acceptOrders(ctx, response, sentAt)
	return true
}

// reopenSession starts a new session with the token that the leader has given.
func (r *Runner) reopenSession(response *wire.ExchangeResponse) {
	r.resetSession()
	// Stops with an earlier token may have been refused.
	clear(r.drainStops)
	if response.GetEpoch() != r.epoch {
		log.Info().Int64("epoch", response.GetEpoch()).Msg("leader changed")
	}
	r.epoch = response.GetEpoch()
	// A leader of an earlier version gives no token.
	r.token = cmp.Or(response.GetToken(), response.GetEpoch())
	r.tokens = callTokens{
		present:  r.token,
		last:     r.token + max(0, response.GetTokenCount()-1),
		executor: r.tokens.executor,
	}
	signal(r.renewWake)
}

// updateSession extends the lease and removes the ends, exposures and refusals
// that the leader has acknowledged.
func (r *Runner) updateSession(request *wire.ExchangeRequest, response *wire.ExchangeResponse, sentAt time.Duration) {
	if !r.sessionOpen {
		r.sessionOpen = true
		r.traceOpening(request)
	}
	if lease := response.GetLeaseMs(); lease > 0 {
		until := sentAt + time.Duration(response.GetHeldMs()+lease)*time.Millisecond
		r.leaseUntil = max(r.leaseUntil, until)
	}
	if response.GetEndsRecorded() > r.endsRecorded {
		r.endsRecorded = response.GetEndsRecorded()
		r.unrecordedEnds.dropUpTo(r.endsRecorded)
		signal(r.renewWake)
	}
	r.confirmCapacity(request)
	r.crashes.acknowledge(response.GetExposuresRecorded())
	// Polls and reports overlap: this response acknowledges only the refusals
	// that its own request contained.
	r.pendingRefusals = slices.DeleteFunc(r.pendingRefusals, func(refusal *wire.StartRefusal) bool {
		return slices.Contains(request.GetRefusals(), refusal)
	})
}

// acceptOrders starts a goroutine for each order that was not received before. The
// orders of a session are for the executor for which it was opened. The steps of
// all of them are known before the first start is decided.
func (r *Runner) acceptOrders(ctx context.Context, response *wire.ExchangeResponse, sentAt time.Duration) {
	held := time.Duration(response.GetHeldMs()) * time.Millisecond
	for _, order := range response.GetOrders() {
		if order.GetNumber() <= r.ordersReceived {
			continue
		}
		r.ordersReceived = order.GetNumber()
		if start := order.GetStart(); start != nil && !r.completeOrder(start) {
			r.refuseUnknownStep(start)
			continue
		} else if start != nil {
			r.learnStep(start)
		}
		if stop := order.GetStop(); stop != nil {
			r.stopOrders[runKey{stop.GetTask(), stop.GetRun()}] = true
		}
		decidedAt := sentAt + held - time.Duration(order.GetAgeMs())*time.Millisecond
		info, session := r.info, r.session
		r.activeOrders.Go(func() { r.executeOrder(ctx, info, session, order, decidedAt) })
	}
}
