package runner_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against an announcement of another writer that hides the executor which responds:
// its session would end and its lease lapse. The executor goes on behind its id.
func TestOddAnnouncementsHideNoExecutor(t *testing.T) {
	t.Parallel()
	for name, odd := range map[string]func(*wire.ExecutorInfo){
		"later start":          func(info *wire.ExecutorInfo) { info.BornUnixMs += 1 << 40 },
		"other id":             func(info *wire.ExecutorInfo) { info.Id = "executor-9"; info.BornUnixMs += 1 << 40 },
		"far sequence, drains": func(info *wire.ExecutorInfo) { info.Sequence = 1 << 50; info.Draining = true },
	} {
		t.Run(name, func(t *testing.T) {
			l := &fakeLeader{}
			l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
				time.Sleep(5 * time.Millisecond)
				response := &wire.ExchangeResponse{}
				if request.GetOrdersReceived() == 0 {
					order := &wire.StartOrder{Task: "a.0.0.0", Run: 1}
					response.Orders = []*wire.Order{{Number: 1, Kind: &wire.Order_Start{Start: order}}}
				}
				return response
			}
			r, executor := startWithEmulator(t, l)
			waitFor(t, "run", func() bool { return executor.Running() == 1 })
			for sequence := int64(1); sequence < 60; sequence++ {
				info := executor.Info("planning", "zone", &wire.Resources{Millicores: 8000})
				info.Sequence = sequence
				r.ExecutorAnnounced(info)
				other := executor.Info("planning", "zone", &wire.Resources{Millicores: 8000})
				other.Sequence = sequence
				odd(other)
				r.ExecutorAnnounced(other)
				time.Sleep(50 * time.Millisecond)
			}
			// The lease of the fake leader is 2 s, so the run has outlived it.
			assert.Equal(t, executor.Running(), 1)
			openings := 0
			l.received(func(request *wire.ExchangeRequest) bool {
				if request.GetOpening() && request.GetEpoch() != 0 {
					openings++
				}
				return request.GetExecutor().GetDraining()
			})
			assert.Equal(t, openings, 1)
			assert.Assert(t, !l.received(func(request *wire.ExchangeRequest) bool { return request.GetExecutor().GetDraining() }))
		})
	}
}

// Guards against an executor that is never followed, because the first announcement of
// another writer has a sequence number far below its own.
func TestExecutorWithAFarSequenceIsFollowed(t *testing.T) {
	t.Parallel()
	l := newIdleLeader()
	r, executor := startWithEmulator(t, l)
	waitFor(t, "change of its capacity", func() bool {
		info := executor.Info("planning", "zone", &wire.Resources{Millicores: 8000})
		info.Capacity = &wire.Resources{Millicores: 4000}
		info.Sequence = time.Now().UnixNano()
		r.ExecutorAnnounced(info)
		return l.received(func(request *wire.ExchangeRequest) bool {
			return request.GetExecutor().GetCapacity().GetMillicores() == 4000
		})
	})
}
