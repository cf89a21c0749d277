package coordinator

import (
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// agentCalls is when an agent has called this process last while it led. It is safe for
// concurrent use.
type agentCalls struct {
	// lastAt is 0 while no calls are expected.
	lastAt atomic.Int64
}

func (a *agentCalls) record(now time.Duration) { a.lastAt.Store(int64(now)) }

func (a *agentCalls) reset() { a.lastAt.Store(0) }

// silentSince returns since when all agents are silent, and false if they are not.
func (a *agentCalls) silentSince(now time.Duration) (since time.Duration, silent bool) {
	last := time.Duration(a.lastAt.Load())
	since = last + maxSilence
	return since, last != 0 && now > since
}

// expectsAgents reports whether a new leader is to be called by agents: an earlier leader
// has stored their sessions, or was replaced because it made no progress.
func (c *Coordinator) expectsAgents() bool {
	if c.Elector.Leader().GetHandovers() > 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.storedSessions) > 0
}

// reportSilence writes a line when all agents have become silent, and when one calls again.
func (c *Coordinator) reportSilence(epoch int64, now time.Duration) {
	since, silent := c.agentCalls.silentSince(now)
	if silent == c.agentsSilent {
		return
	}
	c.agentsSilent = silent
	if silent {
		log.Warn().Int64("epoch", epoch).Dur("silent", now-since+maxSilence).Int("jobs", len(c.jobs)).Msg("no agent calls this leader")
		return
	}
	log.Info().Int64("epoch", epoch).Msg("agents call this leader again")
}
