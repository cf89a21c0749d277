package placer

import (
	"time"

	"damaskspread.example/damaskspread/wire"
)

type zone struct {
	name      string
	inService bool
	// returnedAt is when the zone returned to service, or zero if it never left
	// or is out of service.
	returnedAt time.Time
	capacity   amount
	used       amount
	// urgentUsed is the use of urgent tasks. protectedUsed is the use of tasks that
	// are not to be evicted: urgent tasks, and batch tasks that cannot be
	// checkpointed and would lose work.
	urgentUsed    amount
	protectedUsed amount
	grids         [acceleratorLevels]*grid
}

func (x *Index) zone(name string) *zone {
	z := x.zones[name]
	if z == nil {
		z = &zone{
			name:      name,
			inService: true,
		}
		x.zones[name] = z
		x.zoneList = append(x.zoneList, z)
	}
	return z
}

// SetZone sets whether a zone is in service. The ramp of a zone starts when it
// returns to service at now.
func (x *Index) SetZone(name string, inService bool, now time.Time) {
	z := x.zone(name)
	if z.inService == inService {
		return
	}
	z.inService = inService
	z.returnedAt = time.Time{}
	if inService {
		z.returnedAt = now
	}
	x.freedCount++
}

// Ramping reports whether any zone that returned to service is not yet fully
// available to batch tasks.
func (x *Index) Ramping(now time.Time) bool {
	for _, z := range x.zoneList {
		if z.inService && !z.returnedAt.IsZero() && now.Sub(z.returnedAt) < x.RampTime {
			return true
		}
	}
	return false
}

// rampLimitReached reports whether a zone that returned to service may not take
// another batch task yet. Without the ramp, the whole queue would start in the
// empty zone at once, while its hosts are still restarting.
func (x *Index) rampLimitReached(z *zone, now time.Time) bool {
	if z.returnedAt.IsZero() || x.RampTime <= 0 {
		return false
	}
	elapsed := now.Sub(z.returnedAt)
	if elapsed >= x.RampTime {
		return false
	}
	allowed := float64(z.capacity.millicores) * float64(elapsed) / float64(x.RampTime)
	return float64(z.used.millicores) >= allowed
}

// changeCapacity adds the capacity of a host, or subtracts it if sign is -1.
func (z *zone) changeCapacity(h *host, sign int64) {
	z.capacity = z.capacity.plus(h.capacity.times(sign))
}

// changeUsage adds the use of a task, or subtracts it if sign is -1.
func (z *zone) changeUsage(c commitment, sign int64) {
	change := c.need.times(sign)
	z.used = z.used.plus(change)
	urgent := isUrgent(c.spec)
	if urgent {
		z.urgentUsed = z.urgentUsed.plus(change)
	}
	if urgent || !c.spec.GetCanCheckpoint() {
		z.protectedUsed = z.protectedUsed.plus(change)
	}
}

func isUrgent(spec *wire.TaskSpec) bool {
	return spec.GetClass() == wire.TaskClass_TASK_CLASS_LATENCY_CRITICAL
}

// keepsHeadroom reports whether a task may start in the target zone without using
// the headroom for the loss of a zone: after the loss of any other zone, the urgent
// tasks of that zone must fit into the remaining zones by evicting only
// checkpointable tasks. It restricts only batch tasks that cannot be checkpointed.
func (x *Index) keepsHeadroom(spec *wire.TaskSpec, target *zone) bool {
	if len(x.zoneList) < 2 || isUrgent(spec) || spec.GetCanCheckpoint() {
		return true
	}
	need := amountOf(spec.GetResources())
	var capacity, protectedUsed amount
	for _, z := range x.zoneList {
		if z.inService {
			capacity = capacity.plus(z.capacity)
			protectedUsed = protectedUsed.plus(z.protectedUsed)
		}
	}
	for _, lost := range x.zoneList {
		if !lost.inService || lost == target {
			continue
		}
		left := capacity.minus(lost.capacity)
		load := protectedUsed.minus(lost.protectedUsed).plus(lost.urgentUsed).plus(need)
		if load.millicores > left.millicores || load.memory > left.memory {
			return false
		}
	}
	return true
}
