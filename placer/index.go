// Package placer chooses hosts for tasks.
//
// It owns the host index, which is updated with every commitment, and the
// placement policies that search it: Spread, the default, and simple baselines
// for comparison. It starts no goroutines and takes no locks; its user guards
// it.
//
// Open questions: the weights of the score terms were chosen on the model of
// the scheduler's comparison benchmark and not on production traces.
package placer

import (
	"time"

	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// Admission says whether a host takes new tasks.
type Admission int

// Admissions. Probing hosts take one task at a time.
const (
	Open Admission = iota
	Quarantined
	Probing
)

type amount struct {
	millicores   int64
	memory       int64
	accelerators int64
}

func amountOf(r *wire.Resources) amount {
	return amount{
		millicores:   r.GetMillicores(),
		memory:       r.GetMemoryBytes(),
		accelerators: r.GetAccelerators(),
	}
}

func (a amount) plus(b amount) amount {
	return amount{
		millicores:   a.millicores + b.millicores,
		memory:       a.memory + b.memory,
		accelerators: a.accelerators + b.accelerators,
	}
}

func (a amount) minus(b amount) amount {
	return amount{
		millicores:   a.millicores - b.millicores,
		memory:       a.memory - b.memory,
		accelerators: a.accelerators - b.accelerators,
	}
}

func (a amount) holds(need amount) bool {
	return need.millicores <= a.millicores && need.memory <= a.memory && need.accelerators <= a.accelerators
}

type host struct {
	id, boot, rack, service string

	zone     *zone
	capacity amount
	used     amount
	reserved amount
	// held is the part of reserved that is kept for urgent tasks.
	held         amount
	excess       amount
	member       bool
	admission    Admission
	tasks        int
	accelerators bool
	slot         slot
	class        *class
	classAt      int
}

func (h *host) free() amount {
	return h.capacity.minus(h.used).minus(h.reserved).minus(h.excess)
}

func (h *host) takes(need amount) bool {
	return h.available() && h.zone.inService && h.free().holds(need)
}

// available reports whether the host may be indexed at all.
func (h *host) available() bool {
	return h.member && (h.admission == Open || h.admission == Probing && h.tasks == 0)
}

type commitment struct {
	host *host
	need amount
	spec *wire.TaskSpec
}

type kindKey struct {
	team, kind string
}

// spreadCount counts running tasks of one team and kind per failure domain.
type spreadCount struct {
	total int
	zones map[*zone]int
	racks map[string]int
}

// Index holds what is free on every host.
type Index struct {
	// RampTime is how long a returned zone takes to become fully available
	// to batch tasks; 0 means at once.
	RampTime time.Duration

	hosts        map[string]*host
	ordered      []*host
	zones        map[string]*zone
	zoneList     []*zone
	classes      map[classKey]*class
	commitments  map[string]commitment
	reservations map[string]commitment
	kinds        map[kindKey]*spreadCount
	freed        uint64
	total        amount
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{
		hosts:        map[string]*host{},
		zones:        map[string]*zone{},
		classes:      map[classKey]*class{},
		commitments:  map[string]commitment{},
		reservations: map[string]commitment{},
		kinds:        map[kindKey]*spreadCount{},
	}
}

// Freed grows whenever room may have appeared. A refusal stays true while it
// is unchanged.
func (x *Index) Freed() uint64 { return x.freed }

// Total is the capacity of all known hosts.
func (x *Index) Total() *wire.Resources { return x.total.wire() }

func (a amount) wire() *wire.Resources {
	return &wire.Resources{
		Millicores:   a.millicores,
		MemoryBytes:  a.memory,
		Accelerators: a.accelerators,
	}
}

// SetHost adds a host or updates its membership and capacity.
func (x *Index) SetHost(state *wire.HostState) {
	spec := state.GetSpec()
	h := x.hosts[spec.GetHost()]
	if h == nil {
		h = &host{
			id: spec.GetHost(),
		}
		x.hosts[h.id] = h
		x.ordered = append(x.ordered, h)
		h.zone = x.zone(spec.GetZone())
	}
	x.unlist(h)
	x.declassify(h)
	x.total = x.total.minus(h.capacity)
	h.zone.addCapacity(h, -1)
	h.zone = x.zone(spec.GetZone())
	h.boot = spec.GetWorkerBoot()
	h.rack = spec.GetRack()
	h.service = spec.GetEndpoint().GetService()
	h.capacity = amountOf(spec.GetCapacity()).minus(amountOf(spec.GetEndpoint().GetReserved()))
	h.accelerators = h.capacity.accelerators > 0
	h.member = replayer.IsMember(state)
	h.zone.addCapacity(h, 1)
	x.total = x.total.plus(h.capacity)
	x.classify(h)
	x.list(h)
	x.freed++
}

// SetAdmission opens or closes a host for new tasks.
func (x *Index) SetAdmission(id string, admission Admission) {
	h := x.hosts[id]
	if h == nil || h.admission == admission {
		return
	}
	x.unlist(h)
	h.admission = admission
	x.list(h)
	x.freed++
}

// SetMeasured tells how much a host really uses. Use beyond the declared
// commitments reduces what is free.
func (x *Index) SetMeasured(id string, measured *wire.Resources) {
	h := x.hosts[id]
	if h == nil {
		return
	}
	over := amountOf(measured).minus(h.used)
	excess := amount{
		millicores: max(0, over.millicores),
		memory:     max(0, over.memory),
	}
	if excess == h.excess {
		return
	}
	if !excess.holds(h.excess) {
		x.freed++
	}
	x.unlist(h)
	h.excess = excess
	x.list(h)
}

// Commit counts a task against a host. An earlier commitment and reservation
// of the task are dropped.
func (x *Index) Commit(spec *wire.TaskSpec, id string) {
	x.Release(spec.GetTask())
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
	x.commitments[spec.GetTask()] = c
	x.unlist(h)
	h.used = h.used.plus(c.need)
	h.tasks++
	x.list(h)
	h.zone.count(c, 1)
	x.countKind(c, 1)
}

// Release returns a task's room.
func (x *Index) Release(task string) {
	c, ok := x.commitments[task]
	if !ok {
		return
	}
	delete(x.commitments, task)
	x.unlist(c.host)
	c.host.used = c.host.used.minus(c.need)
	c.host.tasks--
	x.list(c.host)
	c.host.zone.count(c, -1)
	x.countKind(c, -1)
	x.freed++
}

// Reserve keeps room on a host for one task. The room may still be in use by
// tasks that are being evicted.
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
	x.unlist(h)
	h.reserved = h.reserved.plus(c.need)
	if isUrgent(spec) {
		h.held = h.held.plus(c.need)
	}
	x.list(h)
}

// Unreserve drops a task's reservation.
func (x *Index) Unreserve(task string) {
	c, ok := x.reservations[task]
	if !ok {
		return
	}
	delete(x.reservations, task)
	x.unlist(c.host)
	c.host.reserved = c.host.reserved.minus(c.need)
	if isUrgent(c.spec) {
		c.host.held = c.host.held.minus(c.need)
	}
	x.list(c.host)
	x.freed++
}

// Reserved returns the host that holds room for a task, whether the host still
// takes tasks, and whether the room is free now.
func (x *Index) Reserved(task string) (id, boot string, usable, ready bool) {
	c, ok := x.reservations[task]
	if !ok {
		return "", "", false, false
	}
	h := c.host
	usable = h.available() && h.zone.inService
	room := h.capacity.minus(h.used)
	// The victims of an urgent task must not make room for a batch task that
	// gathers room on the same host.
	if !isUrgent(c.spec) {
		room = room.minus(h.held)
	}
	return h.id, h.boot, usable, usable && room.holds(c.need)
}

func (x *Index) countKind(c commitment, n int) {
	key := kindKey{
		team: c.spec.GetTeam(),
		kind: c.spec.GetKind(),
	}
	count := x.kinds[key]
	if count == nil {
		count = &spreadCount{
			zones: map[*zone]int{},
			racks: map[string]int{},
		}
		x.kinds[key] = count
	}
	count.total += n
	count.zones[c.host.zone] += n
	count.racks[c.host.rack] += n
	if count.racks[c.host.rack] == 0 {
		delete(count.racks, c.host.rack)
	}
	if count.total == 0 {
		delete(x.kinds, key)
	}
}
