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
	// rankDelay keeps several processes from writing the same expiry; each
	// waits longer the lower it ranks for the subject.
	rankDelay = time.Second
	maxRank   = 3
	// expiryRetry leaves time for an expiry to be applied before it is
	// written again.
	expiryRetry = 3 * time.Second
	// maxExpiries bounds one append.
	maxExpiries = 500
	// pausedAfter is a gap between scans that means that this process, and
	// with it the calls of its agents, stood still.
	pausedAfter = 4 * scanEvery
)

// watcher expires hosts and entry processes, and forgets expired hosts, by this process's own observation
// time. It is used by one goroutine only.
type watcher struct {
	feeder  *Feeder
	hosts   map[string]observation
	entries map[string]observation
	stale   bool
	scanned time.Time
}

// observation is how long a host or entry process has shown no sign of life.
type observation struct {
	incarnation string
	alive       int64
	orphan      bool
	expired     bool
	since       time.Time
	retry       time.Time
}

func newWatcher(f *Feeder) *watcher {
	return &watcher{
		feeder:  f,
		hosts:   map[string]observation{},
		entries: map[string]observation{},
		stale:   true,
	}
}

func (w *watcher) run(ctx context.Context) error {
	for {
		select {
		case <-w.feeder.Clock.After(scanEvery):
		case <-ctx.Done():
			return nil
		}
		for records := w.scan(); len(records) > 0 && ctx.Err() == nil; {
			count := min(len(records), maxExpiries)
			if _, err := w.feeder.append(ctx, records[:count]...); err != nil {
				log.Warn().Err(err).Int("records", count).Msg("expiry not recorded")
				break
			}
			records = records[count:]
		}
	}
}

// scan returns the records that expire silent hosts and entry processes. Time
// during which this process was not current counts for nobody: records that
// show life may have been unread or impossible to write.
func (w *watcher) scan() []*wire.Record {
	f := w.feeder
	now := f.Clock.Now()
	paused := now.Sub(w.scanned) > pausedAfter
	w.scanned = now
	if f.Follower.Age() > f.CurrencyLimit {
		w.stale = true
		return nil
	}
	if w.stale || paused {
		w.hosts, w.entries = map[string]observation{}, map[string]observation{}
		w.stale = false
	}
	var records []*wire.Record
	hosts, entries := map[string]observation{}, map[string]observation{}
	f.Follower.View(func(state *replayer.State) {
		for host := range state.Hosts() {
			records = w.scanHost(records, hosts, state, host, now)
		}
		for entry := range state.Entries() {
			records = w.scanEntry(records, entries, state, entry, now)
		}
	})
	w.hosts, w.entries = hosts, entries
	f.forgetSilent(now)
	return records
}

func (w *watcher) scanHost(records []*wire.Record, seen map[string]observation, state *replayer.State, host *wire.HostState, now time.Time) []*wire.Record {
	f := w.feeder
	id := host.GetSpec().GetHost()
	if host.GetExpired() {
		return w.scanExpired(records, seen, state, host, now)
	}
	_, entryKnown := state.Entry(host.GetEntry())
	own := host.GetEntry() == f.Entry.GetEntry()
	if entryKnown && !own {
		return records
	}
	o := renew(w.hosts[id], observation{
		incarnation: host.GetSpec().GetIncarnation(),
		alive:       damaskspread.Token(host.GetAlive()),
		orphan:      !own,
		since:       now,
	})
	ref := &wire.HostRef{
		Host:        id,
		Incarnation: o.incarnation,
	}
	silent, hold := o.since, f.MemberHold
	if last, ok := f.lastSync(ref); ok && last.After(silent) {
		silent = last
	}
	if !own {
		hold += w.delay(state, id)
	}
	if now.Sub(silent) >= hold && !now.Before(o.retry) {
		o.retry = now.Add(expiryRetry)
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

// scanExpired forgets a host that has been expired for long.
func (w *watcher) scanExpired(records []*wire.Record, seen map[string]observation, state *replayer.State, host *wire.HostState, now time.Time) []*wire.Record {
	id := host.GetSpec().GetHost()
	o := renew(w.hosts[id], observation{
		incarnation: host.GetSpec().GetIncarnation(),
		alive:       damaskspread.Token(host.GetAlive()),
		expired:     true,
		since:       now,
	})
	silent, hold := now.Sub(o.since), w.feeder.ForgetAfter
	if silent >= hold && silent >= hold+w.delay(state, id) && !now.Before(o.retry) && state.ClaimCount(id) == 0 {
		o.retry = now.Add(expiryRetry)
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

func (w *watcher) scanEntry(records []*wire.Record, seen map[string]observation, state *replayer.State, entry *wire.EntryState, now time.Time) []*wire.Record {
	f := w.feeder
	id := entry.GetEntry().GetEntry()
	if id == f.Entry.GetEntry() {
		return records
	}
	o := renew(w.entries[id], observation{
		incarnation: entry.GetEntry().GetIncarnation(),
		alive:       damaskspread.Token(entry.GetAlive()),
		since:       now,
	})
	if now.Sub(o.since) >= f.EntryHold+w.delay(state, id) && !now.Before(o.retry) {
		o.retry = now.Add(expiryRetry)
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

// renew keeps the earlier observation unless there was a sign of life.
func renew(earlier, now observation) observation {
	if earlier.incarnation == now.incarnation && earlier.alive == now.alive &&
		earlier.orphan == now.orphan && earlier.expired == now.expired && !earlier.since.IsZero() {
		return earlier
	}
	return now
}

// delay grows with the number of entry processes that rank higher for the
// subject. Every process acts in the end, so it doesn't matter which are dead.
func (w *watcher) delay(state *replayer.State, subject string) time.Duration {
	own := xxhash.Sum64String(subject + "/" + w.feeder.Entry.GetEntry())
	rank := 0
	for entry := range state.Entries() {
		id := entry.GetEntry().GetEntry()
		if id != subject && xxhash.Sum64String(subject+"/"+id) > own {
			rank++
		}
	}
	return time.Duration(min(rank, maxRank)) * rankDelay
}

// forgetSilent drops the sessions of agents that went elsewhere or are gone.
func (f *Feeder) forgetSilent(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for host, s := range f.sessions {
		s.mu.Lock()
		silent := now.Sub(s.lastSync)
		s.mu.Unlock()
		if silent > 2*f.MemberHold {
			delete(f.sessions, host)
		}
	}
}
