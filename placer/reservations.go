package placer

import "damaskspread.example/damaskspread/wire"

// Reserve reserves capacity on a host for one task. The capacity may still be in
// use by other tasks. It replaces an earlier reservation of the task.
func (x *Index) Reserve(spec *wire.TaskSpec, id string) {
	x.Unreserve(spec.GetTask())
	h := x.hosts[id]
	if h == nil {
		return
	}
	c := commitment{
		host: h,
		need: amountOf(spec.GetResources()),
		spec: spec,
	}
	x.reservations[spec.GetTask()] = c
	x.removeFromGrid(h)
	h.reserved = h.reserved.plus(c.need)
	if isUrgent(spec) {
		h.urgentReserved = h.urgentReserved.plus(c.need)
	}
	x.addToGrid(h)
}

// Unreserve drops a task's reservation, if it has one.
func (x *Index) Unreserve(task string) {
	c, ok := x.reservations[task]
	if !ok {
		return
	}
	delete(x.reservations, task)
	x.removeFromGrid(c.host)
	c.host.reserved = c.host.reserved.minus(c.need)
	if isUrgent(c.spec) {
		c.host.urgentReserved = c.host.urgentReserved.minus(c.need)
	}
	x.addToGrid(c.host)
	x.freedCount++
}

// Reserved returns the host and worker boot ID of a task's reservation. usable
// reports whether the host takes new tasks, and ready whether the reserved
// capacity is free now. All results are zero if there is no reservation.
func (x *Index) Reserved(task string) (id, boot string, usable, ready bool) {
	c, ok := x.reservations[task]
	if !ok {
		return "", "", false, false
	}
	h := c.host
	usable = h.available() && h.zone.inService
	free := h.capacity.minus(h.used)
	// Capacity freed by evictions for an urgent task must not go to a batch task
	// with a reservation on the same host.
	if !isUrgent(c.spec) {
		free = free.minus(h.urgentReserved)
	}
	return h.id, h.workerBoot, usable, usable && free.covers(c.need)
}
