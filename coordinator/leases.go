package coordinator

import (
	"strings"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// sessionKeyPrefix and the name of a host are the key of the host's ExecutorSession
	// in the progress topic. Job ids contain no dot.
	sessionKeyPrefix = ".session."
	// leaseDriftFactor lengthens the assumed lease for executors whose clock runs
	// slow; leaseSlack is a fixed margin on top.
	leaseDriftFactor = 1.05
	leaseSlack       = 200 * time.Millisecond
	// maxLeaseBound is the longest bound on a lease that a leader stores.
	maxLeaseBound = 48 * time.Hour
	// earlierGrantWindow is how long leaders of earlier versions, which stored no
	// sessions, granted leases without a confirmed renewal.
	earlierGrantWindow = 5 * time.Second
	// maxSilence is the time without a report of an executor that responds after which
	// its silence is stored. Agents report each second.
	maxSilence = 1300 * time.Millisecond
	// maxStoreAge is the age of the last confirmed renewal above which no silence is
	// stored: the log may be down, and silent executors that are back would wait for it.
	maxStoreAge = 600 * time.Millisecond
	// orphanStoreInterval is the time between two records of how long an orphan may still
	// hold a lease.
	orphanStoreInterval = 500 * time.Millisecond
)

// orphan is an executor to which an earlier leader assigned tasks and whose
// agent has not opened a session with this leader.
type orphan struct {
	host string
	// deadline is the latest time at which the executor may hold a lease.
	deadline time.Duration
	// storedAt is when this leader has stored the deadline, or has taken over.
	storedAt time.Duration
	// reported is set once a log line tells of the wait.
	reported bool
}

// leaseBound is the longest time for which an executor may hold a lease that is
// granted now.
func (c *Coordinator) leaseBound() time.Duration { return boundOf(c.LeaseDuration) }

// boundOf returns the longest time for which an executor holds a lease of a duration.
func boundOf(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*leaseDriftFactor) + leaseSlack
}

// leaseLeft is the duration of a lease that is granted now, not positive if none may be
// granted. It is counted from the last confirmed renewal, so that a later leader knows from
// the records of the topic when the last lease of this one ends.
func (c *Coordinator) leaseLeft() time.Duration {
	return c.LeaseDuration - c.Elector.ConfirmationAge()
}

// earlierLeaseEnd returns the latest time at which an executor may hold a lease that an earlier
// leader granted. stored is what is stored of its session, nil without.
func (c *Coordinator) earlierLeaseEnd(epoch int64, stored *wire.ExecutorSession) time.Duration {
	if stored == nil {
		return c.Elector.LastHeardBy(epoch-1) + c.earlierLeaseBound()
	}
	end := c.storedLeaseEnd(stored)
	if earlier := c.Elector.LastWithoutSessions(); earlier > stored.GetEpoch() {
		end = max(end, c.Elector.LastHeardBy(earlier)+c.earlierLeaseBound())
	}
	return end
}

// earlierLeaseBound is the longest time after the last record of a leader of an earlier
// version for which an executor may hold a lease of it.
func (c *Coordinator) earlierLeaseBound() time.Duration {
	return boundOf(max(c.LongestLease, c.LeaseDuration)) + earlierGrantWindow
}

// storedLeaseEnd is earlierLeaseEnd by what is stored of the session alone.
func (c *Coordinator) storedLeaseEnd(stored *wire.ExecutorSession) time.Duration {
	bound := time.Duration(stored.GetLeaseBoundMs()) * time.Millisecond
	if stored.GetSilentSince() > 0 {
		return c.Elector.HeardBy(stored.GetSilentSince()-1) + bound
	}
	return c.Elector.LastHeardBy(stored.GetEpoch()) + bound
}

// restoreSession keeps a record of the progress topic if it is that of a session, and
// reports whether it is.
func (c *Coordinator) restoreSession(record *wire.KeyedRecord) bool {
	host, isSession := strings.CutPrefix(record.GetKey(), sessionKeyPrefix)
	if !isSession {
		return false
	}
	stored := &wire.ExecutorSession{}
	err := proto.Unmarshal(record.GetValue(), stored)
	isOdd := stored.GetEpoch() <= 0 || stored.GetLeaseBoundMs() <= 0 || stored.GetLeaseBoundMs() > maxLeaseBound.Milliseconds()
	if err != nil || isOdd {
		log.Error().Str("host", host).Err(err).Msg("session record ignored: the longest lease is assumed")
		return true
	}
	c.storedSessions[host] = stored
	return true
}

// storedSession returns what is stored of the session of an executor, nil without.
func (c *Coordinator) storedSession(host string, key tracker.ExecutorKey) *wire.ExecutorSession {
	stored := c.storedSessions[host]
	if stored.GetExecutor() != key.ID || stored.GetBornUnixMs() != key.BornUnixMs {
		return nil
	}
	return stored
}

// mayGrant reports whether leases may be granted to an executor: it is stored that this
// leader does. The caller holds the mutex.
func (c *Coordinator) mayGrant(host string, key tracker.ExecutorKey) bool {
	stored := c.storedSession(host, key)
	return stored.GetEpoch() == c.epoch && stored.GetSilentSince() == 0
}

// reviewGrant decides whether a session gets leases. Both changes are stored by the cycle:
// leases end before the record of a silence is stored, also for a session that is opened
// meanwhile, and begin after that of a session. The caller holds the mutex.
func (c *Coordinator) reviewGrant(cycle *cycleState, s *session) {
	responds := s.reachable && cycle.now-s.lastReportAt <= maxSilence
	switch {
	case responds && !s.granting:
		cycle.sessionRecords[s.host] = c.sessionRecord(s.key, 0, c.leaseBound())
	case !responds && s.granting && c.Elector.ConfirmationAge() < maxStoreAge:
		record, found := c.Elector.OwnRecordAfter(s.lastGrantAt)
		if !found {
			return
		}
		s.granting = false
		s.leaseDue = false
		silence := c.sessionRecord(s.key, record+1, c.leaseBound())
		cycle.sessionRecords[s.host] = silence
		c.storedSessions[s.host] = silence
	}
}

// extendAfterOutage ends the waiting polls of all agents once the leadership is confirmed
// again: leases were not extended meanwhile, and each response extends one. The caller
// holds the mutex.
func (c *Coordinator) extendAfterOutage() {
	wasUnconfirmed := c.unconfirmed
	c.unconfirmed = c.Elector.ConfirmationAge() > elector.ConfirmationTimeout
	if !wasUnconfirmed || c.unconfirmed {
		return
	}
	for _, s := range c.sessions {
		s.leaseDue = s.granting && s.reachable
		s.notify()
	}
}

func (c *Coordinator) sessionRecord(key tracker.ExecutorKey, silentSince int64, bound time.Duration) *wire.ExecutorSession {
	return &wire.ExecutorSession{
		Executor:     key.ID,
		BornUnixMs:   key.BornUnixMs,
		Epoch:        c.epoch,
		SilentSince:  silentSince,
		LeaseBoundMs: max(1, (bound + time.Millisecond - 1).Milliseconds()),
	}
}

// storeOrphans stores how long the orphans may still hold a lease, so that the wait goes on
// with a later leader that has not read the records of the earlier ones.
func (c *Coordinator) storeOrphans(cycle *cycleState) {
	if len(c.orphans) == 0 {
		return
	}
	record, begunAt, found := c.Elector.LatestOwnRecord()
	if !found || cycle.now-begunAt > maxStoreAge {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, orphan := range c.orphans {
		stored := c.storedSessions[orphan.host]
		isOther := stored != nil && c.storedSession(orphan.host, key) == nil
		if isOther || cycle.sessionRecords[orphan.host] != nil || cycle.now-orphan.storedAt < orphanStoreInterval {
			continue
		}
		if !orphan.reported {
			log.Warn().Str("host", orphan.host).Str("executor", key.ID).Int64("born", key.BornUnixMs).Int("tasks", len(c.assignments.On(key))).
				Dur("wait", orphan.deadline-cycle.now).Msg("no session of an executor with tasks: they wait for the end of its lease")
		}
		orphan.reported = true
		orphan.storedAt = cycle.now
		c.orphans[key] = orphan
		cycle.sessionRecords[orphan.host] = c.sessionRecord(key, record+1, orphan.deadline-begunAt)
	}
}

// forgetSession removes what is stored of the session of a lost executor.
func (c *Coordinator) forgetSession(cycle *cycleState, host string, key tracker.ExecutorKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cycle.sessionRecords[host] == nil && c.storedSession(host, key) != nil {
		cycle.sessionRecords[host] = &wire.ExecutorSession{}
		delete(c.storedSessions, host)
	}
}

// removeOldSessions removes, once in a term, what earlier leaders stored of the sessions of
// hosts that are gone: their leases are over, and nothing waits for them.
func (c *Coordinator) removeOldSessions(cycle *cycleState) {
	if c.oldSessionsRemoved || cycle.now < c.tookOverAt+c.earlierLeaseBound() {
		return
	}
	c.oldSessionsRemoved = true
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, stored := range c.storedSessions {
		if stored.GetEpoch() < c.epoch && c.sessions[host] == nil && cycle.sessionRecords[host] == nil {
			cycle.sessionRecords[host] = &wire.ExecutorSession{}
		}
	}
}

// sessionChanges returns the records of the sessions that the cycle stores.
func sessionChanges(cycle *cycleState) ([]*wire.KeyedRecord, error) {
	records := make([]*wire.KeyedRecord, 0, len(cycle.sessionRecords))
	for host, session := range cycle.sessionRecords {
		value, err := proto.Marshal(session)
		if err != nil {
			return nil, err
		}
		records = append(records, &wire.KeyedRecord{
			Key:   sessionKeyPrefix + host,
			Value: value,
		})
	}
	return records, nil
}

// publishGrants lets the sessions that are stored get leases. The caller holds the mutex.
func (c *Coordinator) publishGrants(cycle *cycleState) {
	for host, stored := range cycle.sessionRecords {
		if stored.GetEpoch() == 0 {
			delete(c.storedSessions, host)
			continue
		}
		c.storedSessions[host] = stored
		s := c.sessions[host]
		if s == nil || s.granting || !c.mayGrant(host, s.key) {
			continue
		}
		s.granting = true
		s.leaseDue = true
		s.notify()
	}
}
