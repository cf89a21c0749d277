package executor

import (
	"context"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/wire"
)

// maxUnconfirmed is the number of unconfirmed heartbeats that are kept. One is
// written every fifth of the task hold, so older ones could no longer extend the
// lease.
const maxUnconfirmed = 8

// Lease is the time until which tasks of a worker boot may run, by the worker's
// clock.
type Lease struct {
	Boot    string
	UntilUs int64
}

// PendingHeartbeat is a heartbeat: an appended HostsAlive record that the feed has
// not confirmed yet.
type PendingHeartbeat struct {
	// Offset is the offset of the batch that holds the record.
	Offset int64
	Boot   string
	// ReadUs is the worker's clock, read before the record was appended.
	ReadUs int64
}

// ConfirmHeartbeats returns the lease extended by the heartbeats that a view
// confirms, and the heartbeats that it does not contain yet. It drops a heartbeat
// whose batch the view contains while its Alive position is earlier: the record was
// ignored because the host had expired before it.
func ConfirmHeartbeats(lease Lease, heartbeats []PendingHeartbeat, view View, hold time.Duration) (Lease, []PendingHeartbeat) {
	var remaining []PendingHeartbeat
	for _, heartbeat := range heartbeats {
		switch {
		case view.Joined() && view.Alive() != nil && view.Alive().GetOffset() >= heartbeat.Offset:
			until := heartbeat.ReadUs + (hold * 9 / 10).Microseconds()
			if heartbeat.Boot != lease.Boot || until > lease.UntilUs {
				lease = Lease{
					Boot:    heartbeat.Boot,
					UntilUs: until,
				}
			}
		case view.Offset() < heartbeat.Offset:
			remaining = append(remaining, heartbeat)
		}
	}
	return lease, remaining
}

// WriteHeartbeat extends the lease by confirmed heartbeats and writes another one
// if it is due.
func (e *Executor) WriteHeartbeat(ctx context.Context) {
	e.initChannels()
	view := e.Feed.View()
	if !e.updateLease(view) {
		return
	}
	status, err := e.readStatus(ctx)
	if err != nil {
		return
	}
	now := e.Clock.Now()
	ctx, cancel := e.withCallTimeout(ctx)
	defer cancel()
	offset, err := e.Feed.AppendRecords(ctx, []*wire.Record{{
		Id:             fmt.Sprintf("alive/%s/%s/%d", e.Host, status.GetBoot(), status.GetNowUs()),
		Actor:          e.actor(),
		RecordedUnixMs: now.UnixMilli(),
		Body: &wire.Record_HostsAlive{
			HostsAlive: e.Heartbeat(),
		},
	}})
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		log.Warn().Err(err).Str("host", e.Host).Msg("heartbeat record not confirmed by the log")
		return
	}
	e.nextHeartbeat = now.Add(e.TaskHold / 5)
	e.unconfirmed = append(e.unconfirmed, PendingHeartbeat{
		Offset: offset,
		Boot:   status.GetBoot(),
		ReadUs: status.GetNowUs(),
	})
	if len(e.unconfirmed) > maxUnconfirmed {
		e.unconfirmed = e.unconfirmed[1:]
	}
}

// updateLease extends the lease by confirmed heartbeats and reports whether to
// write a heartbeat now. A failed or ignored one is repeated after at most the
// repeat interval.
func (e *Executor) updateLease(view View) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, before := e.Clock.Now(), len(e.unconfirmed)
	lease, remaining := ConfirmHeartbeats(e.lease, e.unconfirmed, view, e.TaskHold)
	if lease != e.lease {
		e.lease = lease
		signal(e.reconcileWake)
	} else if len(remaining) < before {
		e.nextHeartbeat = now.Add(e.repeatInterval())
	}
	e.unconfirmed = remaining
	if !view.Joined() || now.Before(e.nextHeartbeat) {
		return false
	}
	e.nextHeartbeat = now.Add(min(e.repeatInterval(), e.TaskHold/5))
	return true
}

func (e *Executor) actor() string { return "agent/" + e.Host }
