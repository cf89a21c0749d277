package router_test

import (
	"slices"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/limiter"
)

type endpoint struct {
	host    string
	zone    int
	limiter *limiter.Limiter
	mode    mode
	queued  []queuedRequest
}

type queuedRequest struct {
	w     *limiter.Waiter
	ready func(refusal *damaskspread.RefusalError)
}

// serve runs a request at an endpoint. The last arguments of respond tell whether
// the request ran and whether its response is good.
func (m *model) serve(ep *endpoint, c *call, deadline time.Duration, respond func(damaskspread.PickResult, *damaskspread.RefusalError, bool, bool)) {
	if ep.mode == down {
		respond(damaskspread.PickResult{Failed: true}, damaskspread.NotRun(damaskspread.ReasonEndpointFailed, "down"), false, false)
		return
	}
	w, refusal := ep.limiter.Enqueue(int32(c.class), m.clock.Now().Add(deadline-m.now))
	if refusal != nil {
		respond(refusedResult(refusal), refusal, false, false)
		return
	}
	ep.queued = append(ep.queued, queuedRequest{
		w: w,
		ready: func(refusal *damaskspread.RefusalError) {
			if refusal != nil {
				respond(refusedResult(refusal), refusal, false, false)
				return
			}
			m.execute(ep, c, w, deadline, respond)
		},
	})
	ep.runReady()
}

func (m *model) execute(ep *endpoint, c *call, w *limiter.Waiter, deadline time.Duration, respond func(damaskspread.PickResult, *damaskspread.RefusalError, bool, bool)) {
	serviceTime, modeAtStart := c.serviceTime, ep.mode
	switch modeAtStart {
	case slow:
		serviceTime *= 10
	case failing, empty:
		serviceTime = time.Millisecond
	}
	// The forwarder gives up at the deadline.
	late := m.now+serviceTime > deadline
	if late {
		serviceTime = deadline - m.now
	}
	m.after(serviceTime, func() {
		w.Release(!late && modeAtStart != failing)
		ep.runReady()
		if !late {
			respond(damaskspread.PickResult{Failed: modeAtStart == failing, Empty: modeAtStart == empty}, nil, true, modeAtStart != failing && modeAtStart != empty)
		}
	})
}

func (ep *endpoint) runReady() {
	var ready []queuedRequest
	ep.queued = slices.DeleteFunc(ep.queued, func(v queuedRequest) bool {
		select {
		case <-v.w.Ready():
			ready = append(ready, v)
			return true
		default:
			return false
		}
	})
	for _, v := range ready {
		v.ready(v.w.Refusal())
	}
}
