package executor

import (
	"context"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/wire"
)

// maxBeats bounds the unconfirmed beats. One beat is written every fifth of
// the task hold, so older ones could no longer extend the lease.
const maxBeats = 8

// Lease is how long tasks of a worker boot may run, by the worker's clock.
type Lease struct {
	Boot    string
	UntilUs int64
}

// Beat is an appended HostsAlive record that the feed has not confirmed yet.
type Beat struct {
	// Offset of the batch that holds the record.
	Offset int64
	Boot   string
	// ReadUs is the worker's clock, read before the record was requested.
	ReadUs int64
}

// Confirm returns the lease that follows from the beats in a view, and the
// beats that are still open. A beat whose batch the view contains without a
// later alive position had no effect: the host had expired before it.
func Confirm(lease Lease, beats []Beat, view View, hold time.Duration) (Lease, []Beat) {
	var open []Beat
	for _, beat := range beats {
		switch {
		case view.Joined() && view.Alive() != nil && view.Alive().GetOffset() >= beat.Offset:
			until := beat.ReadUs + (hold * 9 / 10).Microseconds()
			if beat.Boot != lease.Boot || until > lease.UntilUs {
				lease = Lease{
					Boot:    beat.Boot,
					UntilUs: until,
				}
			}
		case view.Offset() < beat.Offset:
			open = append(open, beat)
		}
	}
	return lease, open
}

// Beat confirms earlier heartbeat records and writes one if it is due.
func (e *Executor) Beat(ctx context.Context) {
	e.prepare()
	view := e.Feed.View()
	if !e.beatDue(view) {
		return
	}
	status, err := e.readStatus(ctx)
	if err != nil {
		return
	}
	now := e.Clock.Now()
	ctx, cancel := e.bounded(ctx)
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
		log.Warn().Err(err).Str("host", e.Host).Msg("alive record not confirmed by the log")
		return
	}
	e.nextBeat = now.Add(e.TaskHold / 5)
	e.beats = append(e.beats, Beat{
		Offset: offset,
		Boot:   status.GetBoot(),
		ReadUs: status.GetNowUs(),
	})
	if len(e.beats) > maxBeats {
		e.beats = e.beats[1:]
	}
}

// beatDue updates the lease and decides whether to write a record now. The
// next try after a failure comes after the repeat interval.
func (e *Executor) beatDue(view View) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, before := e.Clock.Now(), len(e.beats)
	lease, open := Confirm(e.lease, e.beats, view, e.TaskHold)
	if lease != e.lease {
		e.lease = lease
		signal(e.kick)
	} else if len(open) < before {
		e.nextBeat = now.Add(e.repeat())
	}
	e.beats = open
	if !view.Joined() || now.Before(e.nextBeat) {
		return false
	}
	e.nextBeat = now.Add(min(e.repeat(), e.TaskHold/5))
	return true
}

func (e *Executor) actor() string { return "agent/" + e.Host }
