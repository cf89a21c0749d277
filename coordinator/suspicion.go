package coordinator

import (
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// suspectThreshold is the number of consecutive failures after which an
	// executor is suspected to be their cause. Only failures of tasks that have
	// failed nowhere else count.
	suspectThreshold = 2
	// firstBackoff is the time without starts after an executor becomes suspect.
	// Each further failure multiplies it by backoffFactor, up to maxBackoff.
	firstBackoff  = 800 * time.Millisecond
	backoffFactor = 2
	maxBackoff    = 6 * time.Second
	// suspectClearAfter is the time after the backoff without another failure
	// after which an executor is trusted again, even if no task probed it.
	suspectClearAfter = 3 * time.Second
	// suspectLastingAfter is the time after which a long-running task that fits
	// nowhere else may start on a suspect executor.
	suspectLastingAfter = time.Second
)

// suspicion counts the consecutive failures of an executor.
type suspicion struct {
	failures     int
	backoff      time.Duration // after the next failure
	backoffUntil time.Duration
	// since is when the executor became suspect.
	since time.Duration
	// unhealthy is set if the executor has refused a start because it is unhealthy.
	unhealthy bool
}

// recordEnd updates the suspicion of an executor after a run has ended.
// firstFailure is set if the task had no earlier failures; after one, the task
// itself may be at fault.
func (c *Coordinator) recordEnd(key tracker.ExecutorKey, cause wire.EndCause, firstFailure bool) {
	switch {
	case cause == wire.EndCause_END_CAUSE_DONE:
		delete(c.suspicions, key)
	case cause == wire.EndCause_END_CAUSE_FAILED && firstFailure:
		c.recordFailure(key)
	}
}

// recordRefusal counts a refused start as a failure if the executor is unhealthy.
func (c *Coordinator) recordRefusal(key tracker.ExecutorKey, reason string) {
	if reason == string(damaskspread.RefusedUnhealthy) {
		c.recordFailure(key)
		c.suspicions[key].unhealthy = true
	}
}

// recordFailure counts a failure of an executor. From suspectThreshold on it
// starts a backoff, which grows with each further failure.
func (c *Coordinator) recordFailure(key tracker.ExecutorKey) {
	s := c.suspicions[key]
	if s == nil {
		s = &suspicion{backoff: firstBackoff}
		c.suspicions[key] = s
	}
	s.failures++
	if s.failures < suspectThreshold {
		return
	}
	if s.failures == suspectThreshold {
		s.since = c.Elapsed.Elapsed()
	}
	s.backoffUntil = c.Elapsed.Elapsed() + s.backoff
	s.backoff = min(backoffFactor*s.backoff, maxBackoff)
	log.Warn().Str("executor", key.ID).Int("failures", s.failures).Dur("pause", s.backoff).Msg("executor suspect: no starts until its backoff ends")
}

// markSuspect marks the host of a suspect executor. The host is not usable during
// the backoff; afterwards one task at a time probes it. Long-running tasks are no
// probes, and are admitted unless the executor itself has said that it is unhealthy.
func (c *Coordinator) markSuspect(host *planner.Host, now time.Duration) {
	s := c.suspicions[host.Key]
	if s == nil || s.failures < suspectThreshold {
		return
	}
	host.Suspect = true
	host.ProbesFrom = s.backoffUntil
	host.AdmitsLasting = host.Usable && !s.unhealthy && now >= s.since+suspectLastingAfter
	if now < s.backoffUntil {
		host.Usable = false
	}
}

// clearSuspicions trusts executors again that have not failed for
// suspectClearAfter and that no task probes.
func (c *Coordinator) clearSuspicions(hosts []*planner.Host, now time.Duration) {
	for _, host := range hosts {
		s := c.suspicions[host.Key]
		if !host.Suspect || host.HasProbe() || now < s.backoffUntil+suspectClearAfter {
			continue
		}
		host.Suspect = false
		delete(c.suspicions, host.Key)
		log.Info().Str("executor", host.Key.ID).Int("failures", s.failures).Msg("executor trusted again")
	}
}
