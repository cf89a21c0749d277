// Package placer chooses a host for each task that the scheduler places. It
// contains the placement policies and the host index that they search.
//
// The Index holds the free capacity of every host and has to be updated with
// every commitment. Spread is the default policy; Baseline implements simple
// policies for comparison. The package starts no goroutines, and nothing in it is
// safe for concurrent use.
//
// Known limitation: the relative weights of the score terms are validated by the
// simulation of the scheduler's comparison benchmark, not by production traces.
package placer

import (
	"time"

	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// Admission says whether a host takes new tasks.
type Admission int

// Admissions. An Open host takes tasks without restriction, a Quarantined host
// takes none, and a Probing host takes one task at a time.
const (
	Open Admission = iota
	Quarantined
	Probing
)

type host struct {
	// workerBoot identifies the latest start of the host's worker.
	id, workerBoot, rack, service string

	zone     *zone
	capacity amount
	used     amount
	reserved amount
	// urgentReserved is the part of reserved that is reserved for urgent tasks.
	urgentReserved amount
	// overuse is the measured use beyond the commitments.
	overuse amount
	// member is set while the host belongs to the cluster.
	member          bool
	admission       Admission
	tasks           int
	hasAccelerators bool
	gridPosition    gridPosition
	capacityClass   *capacityClass
	// classIndex is the host's index in capacityClass.hosts.
	classIndex int
}

func (h *host) free() amount {
	return h.capacity.minus(h.used).minus(h.reserved).minus(h.overuse)
}

func (h *host) canTake(need amount) bool {
	return h.available() && h.zone.inService && h.free().covers(need)
}

// available reports whether the host takes new tasks if it has the capacity and
// its zone is in service.
func (h *host) available() bool {
	return h.member && (h.admission == Open || h.admission == Probing && h.tasks == 0)
}

// commitment is a commitment or reservation of resources on a host for a task.
type commitment struct {
	host *host
	need amount
	spec *wire.TaskSpec
}

type teamKind struct {
	team, kind string
}

// domainCounts counts the committed tasks of one team and kind by failure domain.
type domainCounts struct {
	total int
	zones map[*zone]int
	racks map[string]int
}

// Index holds the free capacity of every host. It is not safe for concurrent use.
type Index struct {
	// RampTime is the time over which a zone that returned to service becomes
	// fully available to batch tasks. Zero means at once.
	RampTime time.Duration

	// Hosts are keyed by ID, zones by name, commitments and reservations by task ID.
	hosts           map[string]*host
	hostList        []*host
	zones           map[string]*zone
	zoneList        []*zone
	capacityClasses map[capacityClassKey]*capacityClass
	commitments     map[string]commitment
	reservations    map[string]commitment
	countsByKind    map[teamKind]*domainCounts
	freedCount      uint64
	total           amount
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{
		hosts:           map[string]*host{},
		zones:           map[string]*zone{},
		capacityClasses: map[capacityClassKey]*capacityClass{},
		commitments:     map[string]commitment{},
		reservations:    map[string]commitment{},
		countsByKind:    map[teamKind]*domainCounts{},
	}
}

// FreedCount returns a counter that grows whenever capacity may have become free. A
// refusal for lack of capacity stays valid while the counter is unchanged.
func (x *Index) FreedCount() uint64 { return x.freedCount }

// Total returns the capacity of all known hosts, minus the capacity reserved for
// their endpoints.
func (x *Index) Total() *wire.Resources { return x.total.wire() }

// SetHost adds a host or updates its membership, zone and capacity.
func (x *Index) SetHost(state *wire.HostState) {
	spec := state.GetSpec()
	h := x.hosts[spec.GetHost()]
	if h == nil {
		h = &host{
			id: spec.GetHost(),
		}
		x.hosts[h.id] = h
		x.hostList = append(x.hostList, h)
		h.zone = x.zone(spec.GetZone())
	}
	x.removeFromGrid(h)
	x.removeFromClass(h)
	x.total = x.total.minus(h.capacity)
	h.zone.changeCapacity(h, -1)
	h.zone = x.zone(spec.GetZone())
	h.workerBoot = spec.GetWorkerBoot()
	h.rack = spec.GetRack()
	h.service = spec.GetEndpoint().GetService()
	h.capacity = amountOf(spec.GetCapacity()).minus(amountOf(spec.GetEndpoint().GetReserved()))
	h.hasAccelerators = h.capacity.accelerators > 0
	h.member = replayer.IsMember(state)
	h.zone.changeCapacity(h, 1)
	x.total = x.total.plus(h.capacity)
	x.addToClass(h)
	x.addToGrid(h)
	x.freedCount++
}

// SetAdmission sets whether a host takes new tasks. It ignores unknown hosts.
func (x *Index) SetAdmission(id string, admission Admission) {
	h := x.hosts[id]
	if h == nil || h.admission == admission {
		return
	}
	x.removeFromGrid(h)
	h.admission = admission
	x.addToGrid(h)
	x.freedCount++
}

// SetMeasuredUse sets the measured use of a host. Use of processors and memory
// beyond the commitments reduces the free capacity. It ignores unknown hosts.
func (x *Index) SetMeasuredUse(id string, measured *wire.Resources) {
	h := x.hosts[id]
	if h == nil {
		return
	}
	beyond := amountOf(measured).minus(h.used)
	overuse := amount{
		millicores: max(0, beyond.millicores),
		memory:     max(0, beyond.memory),
	}
	if overuse == h.overuse {
		return
	}
	if !overuse.covers(h.overuse) {
		x.freedCount++
	}
	x.removeFromGrid(h)
	h.overuse = overuse
	x.addToGrid(h)
}

// Commit counts a task's resources as used on a host. It replaces an earlier
// commitment or reservation of the task.
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
	x.removeFromGrid(h)
	h.used = h.used.plus(c.need)
	h.tasks++
	x.addToGrid(h)
	h.zone.changeUsage(c, 1)
	x.countDomains(c, 1)
}

// Release drops a task's commitment, if it has one.
func (x *Index) Release(task string) {
	c, ok := x.commitments[task]
	if !ok {
		return
	}
	delete(x.commitments, task)
	x.removeFromGrid(c.host)
	c.host.used = c.host.used.minus(c.need)
	c.host.tasks--
	x.addToGrid(c.host)
	c.host.zone.changeUsage(c, -1)
	x.countDomains(c, -1)
	x.freedCount++
}

func (x *Index) countDomains(c commitment, n int) {
	key := teamKind{
		team: c.spec.GetTeam(),
		kind: c.spec.GetKind(),
	}
	counts := x.countsByKind[key]
	if counts == nil {
		counts = &domainCounts{
			zones: map[*zone]int{},
			racks: map[string]int{},
		}
		x.countsByKind[key] = counts
	}
	counts.total += n
	counts.zones[c.host.zone] += n
	counts.racks[c.host.rack] += n
	if counts.racks[c.host.rack] == 0 {
		delete(counts.racks, c.host.rack)
	}
	if counts.total == 0 {
		delete(x.countsByKind, key)
	}
}
