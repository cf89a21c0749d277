package elector

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/wire"
)

const (
	// firstStallLimit is how long a leader makes no progress, while its renewals succeed,
	// until another process may take over. It doubles with each leader in series that
	// took over from a stalled one, up to maxStallLimit: where no leader stores progress,
	// more changes of leader would only end leases.
	firstStallLimit = 2 * time.Second
	maxStallLimit   = 16 * time.Second
	// maxRenewalGap is the time without a confirmed renewal after which the wait is counted
	// anew, as after a renewal that failed: in an outage of the log no other process could
	// do better. It is longer than a renewal may take.
	maxRenewalGap = appendTimeout + renewInterval
	// steadyTerm is the term after which a leader that doesn't wait ends the series.
	steadyTerm = 10 * time.Second
	// probeInterval is the time between two probes of a candidate.
	probeInterval = time.Second
)

// term is what this process knows of the progress of its own leadership.
type term struct {
	wonAt time.Duration
	// steadySince is when the latest renewals without a gap began.
	steadySince time.Duration
	// handovers is the number of leaders in series that took over from a stalled one.
	handovers int32
	stalled   bool
}

// stallLimit is the time after which the leader is stalled.
func (t *term) stallLimit() time.Duration {
	limit := firstStallLimit
	for range t.handovers {
		if limit *= 2; limit >= maxStallLimit {
			return maxStallLimit
		}
	}
	return limit
}

// review decides whether the leader is stalled. since is when it began to wait, if it waits
// for the log or for its agents.
func (t *term) review(now, since time.Duration, waits bool) {
	t.stalled = waits && now-max(since, t.steadySince) >= t.stallLimit()
	if !waits && now-t.wonAt >= steadyTerm {
		t.handovers = 0
	}
}

// reviewTerm decides whether this process, which leads, is stalled. The caller holds the
// mutex.
func (e *Elector) reviewTerm(now time.Duration) {
	if e.WaitingSince == nil {
		return
	}
	if now-e.confirmedAt > maxRenewalGap {
		e.term.steadySince = now
	}
	since, waits := e.WaitingSince()
	wasStalled := e.term.stalled
	e.term.review(now, since, waits)
	if e.term.stalled && !wasStalled {
		log.Warn().Int64("epoch", e.epoch).Dur("waits", now-since).Int32("handovers", e.term.handovers).
			Msg("leader stalled; any process that can store progress takes over")
	}
}

// probe is what a candidate knows of its own access to the log while the leader is stalled.
type probe struct {
	// epoch is that of the stalled leader, next the earliest time of the next probe.
	epoch int64
	next  time.Duration
	// validUntil is when the last successful one no longer counts.
	validUntil time.Duration
}

// probeDue reports whether the leader is stalled and this process is to find out whether
// it can do better. Processes with more processors begin earlier. The caller holds the mutex.
func (e *Elector) probeDue(now time.Duration) bool {
	if e.Probe == nil || !e.leaderStalled() || e.Tail.Age() > maxTopicAge {
		return false
	}
	if epoch := e.leader.GetEpoch(); e.probe.epoch != epoch {
		e.probe = probe{
			epoch: epoch,
			next:  now + (e.ClaimDelay+e.jitter)/vacantDelayDivisor,
		}
	}
	return now >= e.probe.next
}

// probed reports whether the leader is stalled and this process can store progress. The
// caller holds the mutex.
func (e *Elector) probed(now time.Duration) bool {
	return e.leaderStalled() && e.probe.epoch == e.leader.GetEpoch() && now < e.probe.validUntil
}

// leaderStalled reports whether another process leads and is stalled. The caller holds the
// mutex.
func (e *Elector) leaderStalled() bool {
	return e.leader.GetStalled() && !e.leader.GetResigned() && e.leader.GetProcess() != e.Process
}

// probeLog finds out whether this process can store progress. If so, it claims the leadership
// at the next tick, unless the leader is no longer stalled.
func (e *Elector) probeLog(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err := e.Probe(callCtx)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Elapsed.Elapsed()
	e.probe.next = now + probeInterval
	if err == nil {
		e.probe.validUntil = now + probeInterval
	}
	log.Info().Int64("leader_epoch", e.probe.epoch).Err(err).Msg("leader stalled: probed whether this process can store progress")
}

// handoversAfter returns the number of handovers for a claim after the records of a leader.
func handoversAfter(leader *wire.Leadership) int32 {
	handovers := max(0, leader.GetHandovers())
	if leader.GetStalled() && !leader.GetResigned() {
		handovers++
	}
	return handovers
}
