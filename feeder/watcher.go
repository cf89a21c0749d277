package feeder

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// delayPerRank keeps several processes from appending the same expiry: each
	// waits longer by this for every process that ranks higher.
	delayPerRank = time.Second
	maxRank      = 3
	// expiryRetryDelay leaves time for an expiry to be applied before it is
	// appended again.
	expiryRetryDelay = 3 * time.Second
	// maxExpiryBatch is the largest number of records in one append.
	maxExpiryBatch = 500
	// pauseThreshold is the time between two scans above which this process
	// counts as paused; no agent could reach it meanwhile.
	pauseThreshold = 4 * scanInterval
)

// failureDetector expires hosts and entry processes without heartbeats, and deletes
// hosts that expired long ago. Heartbeats are HostsAlive and EntryAlive records and,
// for the hosts of this process, Sync calls. Times count from when this process
// first observed a state, on its own clock. One goroutine uses it.
type failureDetector struct {
	feeder   *Feeder
	hosts    map[string]observation
	entries  map[string]observation
	wasStale bool
	lastScan time.Time
}

// observation is a state of a host or entry process and how long it has lasted.
type observation struct {
	incarnation string
	// alive is the token of the latest heartbeat record.
	alive int64
	// detached means that the host's entry process is not known.
	detached bool
	expired  bool
	// since is when this process first observed the state.
	since time.Time
	// retryAt is the earliest time to append the same record again.
	retryAt time.Time
}

func newFailureDetector(f *Feeder) *failureDetector {
	return &failureDetector{
		feeder:   f,
		hosts:    map[string]observation{},
		entries:  map[string]observation{},
		wasStale: true,
	}
}

func (d *failureDetector) run(ctx context.Context) error {
	for {
		select {
		case <-d.feeder.Clock.After(scanInterval):
		case <-ctx.Done():
			return nil
		}
		for records := d.scan(); len(records) > 0 && ctx.Err() == nil; {
			count := min(len(records), maxExpiryBatch)
			if _, err := d.feeder.append(ctx, records[:count]...); err != nil {
				log.Warn().Err(err).Int("records", count).Msg("recording expiries failed")
				break
			}
			records = records[count:]
		}
	}
}

// scan returns the records that expire or delete hosts and entry processes. It
// starts all observations again after this process was paused or not current:
// meanwhile, heartbeats may have been unread or impossible to record.
func (d *failureDetector) scan() []*wire.Record {
	f := d.feeder
	now := f.Clock.Now()
	paused := now.Sub(d.lastScan) > pauseThreshold
	d.lastScan = now
	if f.Follower.Age() > f.CurrencyLimit {
		d.wasStale = true
		return nil
	}
	if d.wasStale || paused {
		d.hosts, d.entries = map[string]observation{}, map[string]observation{}
		d.wasStale = false
	}
	var records []*wire.Record
	hosts, entries := map[string]observation{}, map[string]observation{}
	f.Follower.View(func(state *replayer.State) {
		for host := range state.Hosts() {
			records = d.scanHost(records, hosts, state, host, now)
		}
		for entry := range state.Entries() {
			records = d.scanEntry(records, entries, state, entry, now)
		}
	})
	d.hosts, d.entries = hosts, entries
	f.dropIdleSessions(now)
	return records
}

// scanHost adds a record that expires a member if it is due. It checks the hosts
// of this process and of unknown entry processes; others check their own.
func (d *failureDetector) scanHost(records []*wire.Record, seen map[string]observation, state *replayer.State, host *wire.HostState, now time.Time) []*wire.Record {
	f := d.feeder
	id := host.GetSpec().GetHost()
	if host.GetExpired() {
		return d.scanExpired(records, seen, state, host, now)
	}
	_, entryKnown := state.Entry(host.GetEntry())
	own := host.GetEntry() == f.Entry.GetEntry()
	if entryKnown && !own {
		return records
	}
	o := keepUnlessChanged(d.hosts[id], observation{
		incarnation: host.GetSpec().GetIncarnation(),
		alive:       damaskspread.Token(host.GetAlive()),
		detached:    !own,
		since:       now,
	})
	ref := &wire.HostRef{
		Host:        id,
		Incarnation: o.incarnation,
	}
	lastHeartbeat, hold := o.since, f.MemberHold
	if last, ok := f.lastSync(ref); ok && last.After(lastHeartbeat) {
		lastHeartbeat = last
	}
	if !own {
		hold += d.rankDelay(state, id)
	}
	if now.Sub(lastHeartbeat) >= hold && !now.Before(o.retryAt) {
		o.retryAt = now.Add(expiryRetryDelay)
		records = append(records, &wire.Record{
			Body: &wire.Record_HostExpired{
				HostExpired: &wire.HostExpired{
					Host:  ref,
					Alive: host.GetAlive(),
				},
			},
		})
	}
	seen[id] = o
	return records
}

// scanExpired adds a record that deletes a host without claims after it has been
// expired for ForgetAfter.
func (d *failureDetector) scanExpired(records []*wire.Record, seen map[string]observation, state *replayer.State, host *wire.HostState, now time.Time) []*wire.Record {
	id := host.GetSpec().GetHost()
	o := keepUnlessChanged(d.hosts[id], observation{
		incarnation: host.GetSpec().GetIncarnation(),
		alive:       damaskspread.Token(host.GetAlive()),
		expired:     true,
		since:       now,
	})
	elapsed, retention := now.Sub(o.since), d.feeder.ForgetAfter
	if elapsed >= retention && elapsed >= retention+d.rankDelay(state, id) && !now.Before(o.retryAt) && state.ClaimCount(id) == 0 {
		o.retryAt = now.Add(expiryRetryDelay)
		records = append(records, &wire.Record{
			Body: &wire.Record_HostForgotten{
				HostForgotten: &wire.HostForgotten{
					Host: &wire.HostRef{
						Host:        id,
						Incarnation: o.incarnation,
					},
					Alive: host.GetAlive(),
				},
			},
		})
	}
	seen[id] = o
	return records
}

// scanEntry adds a record that expires another entry process if it is due.
func (d *failureDetector) scanEntry(records []*wire.Record, seen map[string]observation, state *replayer.State, entry *wire.EntryState, now time.Time) []*wire.Record {
	f := d.feeder
	id := entry.GetEntry().GetEntry()
	if id == f.Entry.GetEntry() {
		return records
	}
	o := keepUnlessChanged(d.entries[id], observation{
		incarnation: entry.GetEntry().GetIncarnation(),
		alive:       damaskspread.Token(entry.GetAlive()),
		since:       now,
	})
	if now.Sub(o.since) >= f.EntryHold+d.rankDelay(state, id) && !now.Before(o.retryAt) {
		o.retryAt = now.Add(expiryRetryDelay)
		records = append(records, &wire.Record{
			Body: &wire.Record_EntryExpired{
				EntryExpired: &wire.EntryExpired{
					Entry:       id,
					Incarnation: o.incarnation,
					Alive:       entry.GetAlive(),
				},
			},
		})
	}
	seen[id] = o
	return records
}

// keepUnlessChanged returns the earlier observation unless the state changed, for
// example by a heartbeat.
func keepUnlessChanged(earlier, now observation) observation {
	if earlier.incarnation == now.incarnation && earlier.alive == now.alive &&
		earlier.detached == now.detached && earlier.expired == now.expired && !earlier.since.IsZero() {
		return earlier
	}
	return now
}

// rankDelay returns how long this process waits before it acts on a subject. The
// delay grows with the number of entry processes that rank higher by rendezvous
// hashing, up to maxRank. Every process acts in the end, so failed processes
// don't matter.
func (d *failureDetector) rankDelay(state *replayer.State, subject string) time.Duration {
	own := xxhash.Sum64String(subject + "/" + d.feeder.Entry.GetEntry())
	rank := 0
	for entry := range state.Entries() {
		id := entry.GetEntry().GetEntry()
		if id != subject && xxhash.Sum64String(subject+"/"+id) > own {
			rank++
		}
	}
	return time.Duration(min(rank, maxRank)) * delayPerRank
}

// dropIdleSessions deletes the sessions of agents that use another entry process
// or have stopped.
func (f *Feeder) dropIdleSessions(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for host, s := range f.sessions {
		s.mu.Lock()
		idle := now.Sub(s.lastSync)
		s.mu.Unlock()
		if idle > 2*f.MemberHold {
			delete(f.sessions, host)
		}
	}
}
