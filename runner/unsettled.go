package runner

import (
	"context"
	"slices"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/wire"
)

// keepUnsettled takes over the unsettled starts when another incarnation with the
// same id replaces the executor. Calls name the executor by its id, so such a start
// can still take effect in the new incarnation. The caller holds the mutex.
func (r *Runner) keepUnsettled(info *wire.ExecutorInfo) {
	previous := r.info
	if previous == nil {
		previous = r.left
	}
	if previous.GetId() != info.GetId() {
		r.restarted = nil
		return
	}
	for key := range r.unsettled {
		if !slices.Contains(r.restarted, key) {
			r.restarted = append(r.restarted, key)
			r.traceOwnStop(info, key, tracer.StopUnsettled, "")
		}
	}
}

// markSettled records that all calls of a start have got a definite response.
func (r *Runner) markSettled(info *wire.ExecutorInfo, key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isPresent(info) {
		delete(r.unsettled, key)
	}
}

// settleStarts stops the runs whose starts were unsettled when the executor
// restarted: once it has accepted the stop, it refuses the start. The executor's
// lists are read for the next session only after that.
func (r *Runner) settleStarts(ctx context.Context, call *renewal) error {
	for _, key := range r.restartedRuns() {
		order := &wire.StopOrder{
			Task: key.task,
			Run:  key.run,
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := r.Executor.Stop(callCtx, call.info.GetId(), order, call.lease.Token)
		cancel()
		if err != nil {
			return err
		}
		r.traceStop(call.info, key, call.lease.Token)
		r.forgetRestarted(key)
	}
	return nil
}

func (r *Runner) restartedRuns() []runKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.restarted)
}

func (r *Runner) forgetRestarted(key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarted = slices.DeleteFunc(r.restarted, func(other runKey) bool { return other == key })
}
