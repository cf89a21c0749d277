package runner

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/wire"
)

const (
	// pollWait is how long a call waits at the leader for orders; each return
	// renews the lease.
	pollWait      = time.Second
	pollSlack     = 900 * time.Millisecond
	reportTimeout = 800 * time.Millisecond
	exchangeRetry = 120 * time.Millisecond
)

// pollLoop opens the session and waits for orders.
func (r *Runner) pollLoop(ctx context.Context) {
	request := r.request(true)
	if request == nil {
		r.await(ctx, r.reportWake, exchangeRetry)
		return
	}
	r.exchange(ctx, request, pollWait+pollSlack)
}

// reportLoop sends ends and refusals without waiting for orders.
func (r *Runner) reportLoop(ctx context.Context) {
	r.await(ctx, r.reportWake, pollWait)
	r.pause(ctx, reportGap)
	if !r.hasNews() {
		return
	}
	if request := r.request(false); request != nil {
		r.exchange(ctx, request, reportTimeout)
	}
}

func (r *Runner) hasNews() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened && (len(r.ends) > 0 || len(r.refusals) > 0 || r.info.GetDraining())
}

// request builds the next call, or nil if there is nothing to say yet.
func (r *Runner) request(poll bool) *wire.ExchangeRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info == nil {
		return r.departure(poll)
	}
	if r.epoch != 0 && !r.opened && !r.listed {
		signal(r.renewWake)
		return nil
	}
	request := &wire.ExchangeRequest{
		Host:              r.Host,
		Zone:              r.Zone,
		Session:           r.session,
		Epoch:             r.epoch,
		Executor:          r.info,
		ExecutorReachable: r.contact > 0 && r.Elapsed.Elapsed()-r.contact < unreachableAfter,
		OrdersReceived:    r.received,
		EndsRecorded:      r.recorded,
		Refusals:          slices.Clone(r.refusals),
		PressureVersion:   r.pressureVersion,
		Opening:           poll && !r.opened,
	}
	for _, end := range r.ends {
		request.Ends = append(request.Ends, end)
	}
	slices.SortFunc(request.Ends, func(a, b *wire.RunEnd) int { return int(a.GetNumber() - b.GetNumber()) })
	if poll && r.epoch != 0 {
		request.Running = r.running
		request.HasRunning = true
		if r.opened {
			request.WaitMs = pollWait.Milliseconds()
		}
	}
	return request
}

// departure tells the leader that the executor left, after it has ended.
func (r *Runner) departure(poll bool) *wire.ExchangeRequest {
	if !poll || r.left == nil || r.Elapsed.Elapsed()-r.leftAt < leftDelay {
		return nil
	}
	return &wire.ExchangeRequest{
		Host:         r.Host,
		Zone:         r.Zone,
		Session:      r.session,
		Epoch:        r.epoch,
		Executor:     r.left,
		ExecutorLeft: true,
	}
}

func (r *Runner) exchange(ctx context.Context, request *wire.ExchangeRequest, timeout time.Duration) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := r.Elapsed.Elapsed()
	response, err := r.Leader.Exchange(limited, request)
	if err != nil {
		if ctx.Err() == nil {
			log.Debug().Err(err).Msg("leader gave no answer")
			r.pause(ctx, exchangeRetry)
		}
		return
	}
	if !r.takeResponse(ctx, request, response, sent) {
		r.pause(ctx, exchangeRetry)
	}
}

// takeResponse applies a response and reports whether the session goes on.
func (r *Runner) takeResponse(ctx context.Context, request *wire.ExchangeRequest, response *wire.ExchangeResponse, sent time.Duration) bool {
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
		// A deposed leader; the session belongs to its successor.
		r.Leader.Redirect(nil)
		return false
	case request.GetSession() != r.session:
		return true
	case request.GetExecutorLeft():
		r.left = nil
		return true
	case response.GetReopen():
		r.reopen(response.GetEpoch())
		return true
	}
	r.takeGrant(request, response, sent)
	r.takePressures(response)
	r.takeOrders(ctx, response, sent)
	return true
}

func (r *Runner) reopen(epoch int64) {
	r.resetSession()
	if epoch != r.epoch {
		log.Info().Int64("epoch", epoch).Msg("leader found")
	}
	r.epoch = epoch
	signal(r.renewWake)
}

func (r *Runner) takeGrant(request *wire.ExchangeRequest, response *wire.ExchangeResponse, sent time.Duration) {
	if !r.opened {
		r.opened = true
		log.Info().Int64("epoch", r.epoch).Str("session", r.session).Msg("session open")
	}
	if lease := response.GetLeaseMs(); lease > 0 {
		until := sent + time.Duration(response.GetHeldMs()+lease)*time.Millisecond
		r.leaseUntil = max(r.leaseUntil, until)
	}
	if response.GetEndsRecorded() > r.recorded {
		r.recorded = response.GetEndsRecorded()
		for number := range r.ends {
			if number <= r.recorded {
				delete(r.ends, number)
			}
		}
		signal(r.renewWake)
	}
	// Calls overlap, so only what this one carried is delivered by it.
	r.refusals = slices.DeleteFunc(r.refusals, func(refusal *wire.StartRefusal) bool {
		return slices.Contains(request.GetRefusals(), refusal)
	})
}

func (r *Runner) takeOrders(ctx context.Context, response *wire.ExchangeResponse, sent time.Duration) {
	held := time.Duration(response.GetHeldMs()) * time.Millisecond
	for _, order := range response.GetOrders() {
		if order.GetNumber() <= r.received {
			continue
		}
		r.received = order.GetNumber()
		decidedAt := sent + held - time.Duration(order.GetAgeMs())*time.Millisecond
		r.orders.Go(func() { r.carryOut(ctx, order, decidedAt) })
	}
}
