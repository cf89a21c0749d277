package emulator

import (
	"context"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// lateStart is a start call without a response.
type lateStart struct {
	id    string
	order *wire.StartOrder
	lease damaskspread.Lease
}

// SetHeldStarts makes the start calls for which holds returns true get no response
// from now on, until it is called with nil. ReleaseStarts carries them out.
func (e *JobExecutor) SetHeldStarts(holds func(order *wire.StartOrder) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holdsStart = holds
}

// HeldStarts returns the number of start calls that ReleaseStarts would carry out.
func (e *JobExecutor) HeldStarts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.heldStarts)
}

// ReleaseStarts carries out the held start calls as if they arrived now. Calls name
// the executor by its id, so the present incarnation may be a later one.
func (e *JobExecutor) ReleaseStarts() {
	e.mu.Lock()
	held := e.heldStarts
	e.heldStarts = nil
	e.mu.Unlock()
	for _, start := range held {
		e.carryOutStart(start)
	}
}

// carryOutStart fails without effect if the executor is unresponsive: nobody waits
// for the response any more.
func (e *JobExecutor) carryOutStart(start lateStart) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.startNow(ctx, start.id, start.order, &start.lease)
}

// holdStart reports whether a start call was held.
func (e *JobExecutor) holdStart(id string, order *wire.StartOrder, lease *damaskspread.Lease) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holdsStart == nil || !e.holdsStart(order) {
		return false
	}
	e.heldStarts = append(e.heldStarts, lateStart{
		id:    id,
		order: order,
		lease: *lease,
	})
	return true
}
