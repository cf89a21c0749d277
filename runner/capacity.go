package runner

import (
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// exceedsCapacity reports whether a run would bring the requests of the executor's
// runs over the capacity that it announced last. The leader may have decided by an
// older, larger capacity: a new leader and a new session repeat orders whatever
// their age. A run counts from the decision to start it until its end is listed. A
// run whose step is not known may need any amount; the leader either sends its step
// at the beginning of the session or stops it. The caller holds the mutex.
func (r *Runner) exceedsCapacity(key runKey) bool {
	occupied := r.occupied()
	step, known := r.steps[key]
	if occupied.unknown > 0 || !known {
		return true
	}
	requested := &wire.Resources{
		Millicores:   occupied.requested.GetMillicores(),
		MemoryBytes:  occupied.requested.GetMemoryBytes(),
		Accelerators: occupied.requested.GetAccelerators(),
	}
	if !occupied.runs[key] {
		tracker.AddRequest(requested, step)
	}
	capacity := r.info.GetCapacity()
	return requested.GetMillicores() > capacity.GetMillicores() ||
		requested.GetMemoryBytes() > capacity.GetMemoryBytes() ||
		requested.GetAccelerators() > capacity.GetAccelerators()
}

// capacityUnreported reports whether the leader does not know the latest capacity
// yet. The caller holds the mutex.
func (r *Runner) capacityUnreported() bool {
	return r.info != nil && !proto.Equal(r.info.GetCapacity(), r.reportedCapacity)
}

// confirmCapacity records that the leader has received the executor's capacity in a
// request. The response to an older request changes nothing. The caller holds the
// mutex.
func (r *Runner) confirmCapacity(request *wire.ExchangeRequest) {
	if proto.Equal(request.GetExecutor().GetCapacity(), r.info.GetCapacity()) {
		r.reportedCapacity = r.info.GetCapacity()
	}
}
