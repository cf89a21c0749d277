package elector

import (
	"slices"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// maxHearings bounds the records that are remembered, which covers the renewals of about a
// minute. Records that were dropped count as heard with the oldest one that is left.
const maxHearings = 300

// hearing is a record of the topic that this process knows to be appended.
type hearing struct {
	offset, epoch int64
	// at is when this process knew of the record.
	at time.Duration
	// begunAt is when the append began; 0 if another process appended the record.
	begunAt time.Duration
	// storesSessions is unset in records of earlier versions.
	storesSessions bool
}

// hear remembers a record. The caller holds the mutex.
func (e *Elector) hear(heard hearing) {
	if i := e.hearingOf(heard.offset); i < len(e.hearings) {
		if e.hearings[i].offset == heard.offset && e.hearings[i].begunAt == 0 {
			e.hearings[i].begunAt = heard.begunAt
		}
		return
	}
	e.hearings = append(e.hearings, heard)
	if excess := len(e.hearings) - maxHearings; excess > 0 {
		e.hearings = slices.Delete(e.hearings, 0, excess)
	}
}

// hearOwn remembers a record that this process has appended. The caller holds the mutex.
func (e *Elector) hearOwn(record *wire.Leadership, result *wire.AppendResult, begunAt time.Duration) {
	e.hear(hearing{
		offset:  result.GetOffset(),
		epoch:   record.GetEpoch(),
		at:      e.Elapsed.Elapsed(),
		begunAt: begunAt,

		storesSessions: true,
	})
}

// hearingOf returns the index of the first remembered record that was appended at the
// offset or after it. The caller holds the mutex.
func (e *Elector) hearingOf(offset int64) int {
	i, _ := slices.BinarySearchFunc(e.hearings, offset, func(heard hearing, offset int64) int {
		return int(heard.offset - offset)
	})
	return i
}

// HeardBy returns a time by which the record at the offset of the topic was appended: when
// this process read it or, if it did not, a later one.
func (e *Elector) HeardBy(offset int64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heardAt(e.hearingOf(offset))
}

// LastHeardBy returns a time by which the last record of the leader of an epoch was
// appended. It is valid once this process has read a record of a later epoch.
func (e *Elector) LastHeardBy(epoch int64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := slices.IndexFunc(e.hearings, func(heard hearing) bool { return heard.epoch > epoch })
	if next > 0 && e.hearings[next].offset == e.hearings[next-1].offset+1 {
		return e.hearings[next-1].at
	}
	return e.heardAt(next)
}

// LastWithoutSessions returns the latest epoch whose leader is of an earlier version, which
// grants leases without storing sessions; 0 if no record of one is remembered.
func (e *Elector) LastWithoutSessions() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, heard := range slices.Backward(e.hearings) {
		if !heard.storesSessions {
			return heard.epoch
		}
	}
	return 0
}

// heardAt returns when the remembered record with an index was heard; now, the latest time
// possible, if there is none. The caller holds the mutex.
func (e *Elector) heardAt(index int) time.Duration {
	if index < 0 || index >= len(e.hearings) {
		return e.Elapsed.Elapsed()
	}
	return e.hearings[index].at
}

// OwnRecordAfter returns the offset of the first own record of this term whose append began
// at a time or later, and whether there is one.
func (e *Elector) OwnRecordAfter(at time.Duration) (offset int64, found bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, heard := range e.hearings {
		if e.isOwn(heard) && heard.begunAt >= at {
			return heard.offset, true
		}
	}
	return 0, false
}

// LatestOwnRecord returns the offset of the latest own record of this term, and when its
// append began. There is none while this process doesn't lead.
func (e *Elector) LatestOwnRecord() (offset int64, begunAt time.Duration, found bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, heard := range slices.Backward(e.hearings) {
		if e.isOwn(heard) {
			return heard.offset, heard.begunAt, true
		}
	}
	return 0, 0, false
}

// isOwn reports whether this process appended the record in its present term. The caller
// holds the mutex.
func (e *Elector) isOwn(heard hearing) bool {
	return e.epoch != 0 && heard.epoch == e.epoch && heard.begunAt > 0
}
