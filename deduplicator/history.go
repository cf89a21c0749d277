package deduplicator

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

// add stores a key, replacing an older state of the same key. It returns false
// if that would exceed MaxBytes.
func (d *Deduplicator) add(sh *shard, e *keyState) bool {
	e.memoryBytes = int64(len(e.key)) + keyOverheadBytes + int64(proto.Size(e.response))
	old := sh.keys[e.key]
	freed := int64(0)
	if old != nil {
		freed = old.memoryBytes
	}
	if d.usedBytes-freed+e.memoryBytes > d.MaxBytes {
		return false
	}
	if old != nil {
		d.remove(sh, old)
	}
	sh.keys[e.key] = e
	d.usedBytes += e.memoryBytes
	return true
}

// remove deletes a key and wakes the requests that wait for it. It does nothing
// if the shard has another state for the key.
func (d *Deduplicator) remove(sh *shard, e *keyState) {
	if sh.keys[e.key] != e {
		return
	}
	delete(sh.keys, e.key)
	d.usedBytes -= e.memoryBytes
	e.settle()
}

func (e *keyState) settle() {
	select {
	case <-e.settled:
	default:
		close(e.settled)
	}
}

// finish stores the result of a key and wakes the requests that wait for it. A
// result that is too large is replaced by one with ReasonResultNotRetained.
func (d *Deduplicator) finish(e *keyState, response *wire.ExecuteResponse, now time.Time) {
	kept := retainedResponse(response)
	size := int64(proto.Size(kept))
	if d.usedBytes+size > d.MaxBytes {
		kept = notRetainedResponse(response)
		size = int64(proto.Size(kept))
	}
	e.response = kept
	e.phase = phaseDone
	e.lifetimeFrom = now
	e.memoryBytes += size
	d.usedBytes += size
	e.settle()
}

// retainedResponse returns the part of a response that is stored: the response
// without its load report, or only its outcome if it is too large.
func retainedResponse(response *wire.ExecuteResponse) *wire.ExecuteResponse {
	if proto.Size(response) > MaxResultBytes {
		return notRetainedResponse(response)
	}
	kept := proto.CloneOf(response)
	kept.Load = nil
	return kept
}

func notRetainedResponse(response *wire.ExecuteResponse) *wire.ExecuteResponse {
	return &wire.ExecuteResponse{
		Outcome:   response.GetOutcome(),
		Reason:    string(ReasonResultNotRetained),
		RequestId: response.GetRequestId(),
	}
}

func (e *keyState) matches(hash []byte) bool { return bytes.Equal(e.requestHash, hash) }

// expire removes keys whose lifetime has passed, except those that may still
// run on this agent, and unblocks keys that were blocked that long.
func (d *Deduplicator) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initialize()
	now := d.Clock.Now()
	for _, sh := range d.shards {
		for _, e := range sh.keys {
			if (e.phase == phaseDone || e.phase == phaseRemote) && now.Sub(e.lifetimeFrom) > d.KeyLifetime {
				d.remove(sh, e)
			}
		}
		for key, since := range sh.blocked {
			if now.Sub(since) > d.KeyLifetime {
				delete(sh.blocked, key)
				d.usedBytes -= blockedKeyBytes(key)
			}
		}
		sh.updateComplete(now, d.KeyLifetime)
	}
}
