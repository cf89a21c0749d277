package runner

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// renewWait is how long a renewal waits at the executor for an end.
	renewWait  = 900 * time.Millisecond
	renewSlack = 900 * time.Millisecond
	renewRetry = 150 * time.Millisecond
	idleWait   = 300 * time.Millisecond
	unrecorded = 60 * time.Millisecond
	clockDrift = 0.98
	// unreachableAfter is the silence after which the executor is reported as
	// unreachable and its lease is no longer extended.
	unreachableAfter = 2 * time.Second
)

// renewLoop keeps the lease and the lists of the executor current.
func (r *Runner) renewLoop(ctx context.Context) {
	call := r.nextRenewal()
	if call == nil {
		r.await(ctx, r.renewWake, idleWait)
		return
	}
	limited, cancel := context.WithTimeout(ctx, call.wait+renewSlack)
	defer cancel()
	state, err := r.Executor.Renew(limited, call.info.GetId(), &call.lease, call.seen, call.wait)
	if err != nil {
		r.renewFailed(ctx, call, err)
		return
	}
	if r.takeState(call, state) {
		signal(r.reportWake)
	}
	r.repace(ctx)
	r.awaitRecorded(ctx)
}

// renewal is one call to the executor.
type renewal struct {
	info  *wire.ExecutorInfo
	epoch int64
	began time.Duration
	lease damaskspread.Lease
	seen  int64
	wait  time.Duration
}

func (r *Runner) nextRenewal() *renewal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info == nil || r.epoch == 0 {
		return nil
	}
	call := &renewal{
		info:  r.info,
		epoch: r.epoch,
		began: r.Elapsed.Elapsed(),
		lease: r.lease(),
		seen:  r.recorded,
		wait:  renewWait,
	}
	if !r.listed || len(r.ends) > 0 || len(r.checks) > 0 {
		call.wait = 0
	}
	return call
}

// lease converts the lease to the executor's clock. The executor's clock may
// run slowly, so the conversion errs towards an early end.
func (r *Runner) lease() damaskspread.Lease {
	lease := damaskspread.Lease{Token: r.epoch}
	now := r.Elapsed.Elapsed()
	if left := r.leaseUntil - now; left > 0 && r.reading.clockMs > 0 {
		passed := float64(now-r.reading.at) * clockDrift
		remaining := float64(left) * clockDrift
		lease.DeadlineMs = r.reading.clockMs + time.Duration(passed+remaining).Milliseconds()
	}
	return lease
}

func (r *Runner) renewFailed(ctx context.Context, call *renewal, err error) {
	var fenced *damaskspread.FencedError
	r.mu.Lock()
	r.failures++
	first := r.failures == 1
	if errors.As(err, &fenced) && r.epoch == call.epoch {
		r.epoch = 0
		r.resetSession()
		r.Leader.Redirect(nil)
	}
	r.mu.Unlock()
	if first {
		log.Warn().Str("executor", call.info.GetId()).Int64("token", call.lease.Token).Err(err).Msg("executor lost")
	}
	r.pause(ctx, renewRetry)
}

// takeState merges the executor's lists and reports whether there is news.
func (r *Runner) takeState(call *renewal, state *wire.ExecutorState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info == nil || !sameIncarnation(r.info, call.info) {
		return false
	}
	if born := state.GetBornUnixMs(); born != 0 && born != r.info.GetBornUnixMs() {
		r.reborn(born)
		return false
	}
	now := r.Elapsed.Elapsed()
	if r.failures > 0 {
		log.Info().Str("executor", call.info.GetId()).Int("failures", r.failures).Msg("executor regained")
	}
	r.failures = 0
	r.contact = now
	r.reading = reading{
		clockMs: state.GetClockMs(),
		at:      now,
	}
	r.running = state.GetRunning()
	if call.epoch == r.epoch {
		r.listed = true
	}
	news := r.takeEnds(state.GetEnded())
	r.forgetSteps()
	return r.takeChecks(call.began) || news
}

// reborn starts with an incarnation that kept the id of the one before.
func (r *Runner) reborn(born int64) {
	info := proto.CloneOf(r.info)
	info.BornUnixMs = born
	info.ClockMs = 0
	info.Sequence = 0
	log.Info().Str("executor", info.GetId()).Int64("born", born).Msg("executor started again")
	r.resetExecutor(info)
}

func (r *Runner) takeEnds(ends []*wire.RunEnd) bool {
	news := false
	for _, end := range ends {
		if end.GetNumber() <= r.recorded || r.ends[end.GetNumber()] != nil {
			continue
		}
		r.ends[end.GetNumber()] = end
		news = true
	}
	return news
}

// takeChecks resolves runs that were stopped or refused as old: if the run is
// neither running nor listed as ended, it never started here.
func (r *Runner) takeChecks(began time.Duration) bool {
	news := false
	for key, since := range r.checks {
		if began < since || r.isRunning(key) {
			continue
		}
		delete(r.checks, key)
		if r.hasEnded(key) {
			continue
		}
		r.refuse(key, damaskspread.RefusedOld)
		news = true
	}
	return news
}

func (r *Runner) isRunning(key runKey) bool {
	for _, run := range r.running {
		if run.GetTask() == key.task && run.GetRun() == key.run {
			return true
		}
	}
	return false
}

func (r *Runner) hasEnded(key runKey) bool {
	for _, end := range r.ends {
		if end.GetTask() == key.task && end.GetRun() == key.run {
			return true
		}
	}
	return false
}

// refuse reports that a run won't start. The leader then gives the task to
// another executor, so this holds for repeated orders too.
func (r *Runner) refuse(key runKey, reason damaskspread.StartRefusal) {
	r.refused[key] = reason
	r.refusals = append(r.refusals, &wire.StartRefusal{
		Task:   key.task,
		Run:    key.run,
		Reason: string(reason),
	})
}

// forgetSteps drops what is known of runs that are over.
func (r *Runner) forgetSteps() {
	for key := range r.steps {
		if r.hasEnded(key) {
			delete(r.steps, key)
			delete(r.paces, key)
			delete(r.starting, key)
		}
	}
}

// awaitRecorded gives the leader time to store reported ends before the next
// renewal, which would return at once with the same list.
func (r *Runner) awaitRecorded(ctx context.Context) {
	r.mu.Lock()
	waiting := len(r.ends) > 0 || len(r.checks) > 0
	r.mu.Unlock()
	if waiting {
		r.await(ctx, r.renewWake, unrecorded)
	}
}

// cutLast splits a text at its last dot.
func cutLast(text string) (before, after string, found bool) {
	i := strings.LastIndexByte(text, '.')
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+1:], true
}
