package deduplicator

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

// add stores a key if the memory bound allows it.
func (d *Deduplicator) add(sh *shard, e *entry) bool {
	e.cost = int64(len(e.key)) + entryOverhead + int64(proto.Size(e.response))
	old := sh.entries[e.key]
	freed := int64(0)
	if old != nil {
		freed = old.cost
	}
	if d.bytes-freed+e.cost > d.MaxBytes {
		return false
	}
	if old != nil {
		d.remove(sh, old)
	}
	sh.entries[e.key] = e
	d.bytes += e.cost
	return true
}

// remove forgets a key and wakes the requests that wait for it.
func (d *Deduplicator) remove(sh *shard, e *entry) {
	if sh.entries[e.key] != e {
		return
	}
	delete(sh.entries, e.key)
	d.bytes -= e.cost
	e.settle()
}

func (e *entry) settle() {
	select {
	case <-e.changed:
	default:
		close(e.changed)
	}
}

// finish stores a result. One that is too large is noted as not retained.
func (d *Deduplicator) finish(e *entry, response *wire.ExecuteResponse, now time.Time) {
	kept := trim(response)
	size := int64(proto.Size(kept))
	if d.bytes+size > d.MaxBytes {
		kept = notRetained(response)
		size = int64(proto.Size(kept))
	}
	e.response = kept
	e.phase = phaseDone
	e.since = now
	e.cost += size
	d.bytes += size
	e.settle()
}

func trim(response *wire.ExecuteResponse) *wire.ExecuteResponse {
	if proto.Size(response) > MaxResult {
		return notRetained(response)
	}
	kept := proto.CloneOf(response)
	kept.Load = nil
	return kept
}

func notRetained(response *wire.ExecuteResponse) *wire.ExecuteResponse {
	return &wire.ExecuteResponse{
		Outcome:   response.GetOutcome(),
		Reason:    string(ReasonResultNotRetained),
		RequestId: response.GetRequestId(),
	}
}

func (e *entry) matches(hash []byte) bool { return bytes.Equal(e.hash, hash) }

// expire forgets keys whose lifetime passed. A key that may still run here is
// never forgotten.
func (d *Deduplicator) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.start()
	now := d.Clock.Now()
	for _, sh := range d.shards {
		for _, e := range sh.entries {
			if (e.phase == phaseDone || e.phase == phaseRemote) && now.Sub(e.since) > d.KeyLifetime {
				d.remove(sh, e)
			}
		}
		for key, since := range sh.blocked {
			if now.Sub(since) > d.KeyLifetime {
				delete(sh.blocked, key)
				d.bytes -= blockedCost(key)
			}
		}
		sh.whole(now, d.KeyLifetime)
	}
}
