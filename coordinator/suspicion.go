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
	// suspectAfter is the number of failures in a row, of tasks that failed
	// nowhere else, after which an executor is taken for the cause.
	suspectAfter  = 2
	suspectPause  = 800 * time.Millisecond
	suspectFactor = 2
	suspectLimit  = 6 * time.Second
	// suspectForget is the time without another failure after which an executor
	// is trusted again, though no task tried it.
	suspectForget = 3 * time.Second
)

// suspicion is what failures tell of an executor.
type suspicion struct {
	failures int
	pause    time.Duration
	until    time.Duration
}

func (c *Coordinator) judge(key tracker.ExecutorKey, cause wire.EndCause, first bool) {
	switch {
	case cause == wire.EndCause_END_CAUSE_DONE:
		delete(c.suspicions, key)
	case cause == wire.EndCause_END_CAUSE_FAILED && first:
		c.blame(key)
	}
}

func (c *Coordinator) judgeRefusal(key tracker.ExecutorKey, reason string) {
	if reason == string(damaskspread.RefusedBusy) {
		c.blame(key)
	}
}

// blame sets an executor aside for longer with each further failure.
func (c *Coordinator) blame(key tracker.ExecutorKey) {
	s := c.suspicions[key]
	if s == nil {
		s = &suspicion{pause: suspectPause}
		c.suspicions[key] = s
	}
	s.failures++
	if s.failures < suspectAfter {
		return
	}
	s.until = c.Elapsed.Elapsed() + s.pause
	s.pause = min(suspectFactor*s.pause, suspectLimit)
	log.Warn().Str("executor", key.ID).Int("failures", s.failures).Dur("pause", s.pause).Msg("executor set aside")
}

// markSuspect keeps a host unused for its pause and lets one task try it
// afterwards.
func (c *Coordinator) markSuspect(host *planner.Host, now time.Duration) {
	s := c.suspicions[host.Key]
	if s == nil || s.failures < suspectAfter {
		return
	}
	host.Suspect = true
	host.TriedFrom = s.until
	if now < s.until {
		host.Usable = false
	}
}

// forgetSuspicions trusts executors again that have not failed for a while and
// that no task tries at the moment.
func (c *Coordinator) forgetSuspicions(hosts []*planner.Host, now time.Duration) {
	for _, host := range hosts {
		s := c.suspicions[host.Key]
		if !host.Suspect || host.Tried() || now < s.until+suspectForget {
			continue
		}
		host.Suspect = false
		delete(c.suspicions, host.Key)
		log.Info().Str("executor", host.Key.ID).Int("failures", s.failures).Msg("executor trusted again")
	}
}
