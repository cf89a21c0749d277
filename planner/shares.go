package planner

// ProcessorShares are the processors of a host, in millicores, that tasks could take.
// None is negative.
type ProcessorShares struct {
	// Free is not requested by any task.
	Free int64
	// Idle is what best-effort tasks could take now: no task is expected to use it.
	// It is 0 while a serving task on the host is near its target latency.
	Idle int64
	// Finite is not requested by long-running tasks, and BestEffort is not expected to
	// be used by tasks that reserve processors.
	Finite, BestEffort int64
}

// Shares returns the shares of the host, all 0 while no task may start on it.
func (h *Host) Shares() ProcessorShares {
	if !h.Usable {
		return ProcessorShares{}
	}
	capacity := h.Capacity.GetMillicores()
	shares := ProcessorShares{
		Free:       max(0, capacity-h.requested.GetMillicores()),
		Finite:     max(0, capacity-h.requested.GetMillicores()+h.finiteRequested.GetMillicores()),
		BestEffort: max(0, h.idleMillicores()+h.bestEffortMillicores),
	}
	if !h.NearTarget {
		shares.Idle = max(0, h.idleMillicores())
	}
	return shares
}
