package placer

import (
	"fmt"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// sampledHosts bounds the hosts whose free room a refusal looks at.
const sampledHosts = 128

// shortage counts why hosts do not take a task. From healthy on, the counts
// cover a sample of large clusters.
type shortage struct {
	inZone, known, capable, inService, healthy int

	millicores, memory, accelerators int
	largest                          amount
}

// refusal finds the constraint that prevents a placement. Callers remember the
// refusal until Freed changes.
func (x *Index) refusal(spec *wire.TaskSpec, blocked damaskspread.Binding) *damaskspread.PlacementRefusedError {
	need := amountOf(spec.GetResources())
	s := x.shortage(spec, need)
	switch {
	case s.known == 0:
		return refuse(damaskspread.BindingNoHost, false, "no host has joined")
	case s.inZone == 0:
		return refuse(damaskspread.BindingZone, true, "no host is known in %v", spec.GetZones())
	case s.capable == 0:
		binding, detail := neverFits(need, s)
		return refuse(binding, true, "%s", detail)
	case s.inService == 0:
		return refuse(damaskspread.BindingZone, false, "the %d hosts that could hold it are out of service", s.capable)
	case s.healthy == 0:
		return refuse(damaskspread.BindingQuarantine, false, "the %d hosts that could hold it are set aside", s.inService)
	case blocked == damaskspread.BindingHeadroom:
		return refuse(blocked, false, "the room is kept for urgent tasks after the loss of a zone")
	case blocked == damaskspread.BindingInterference:
		return refuse(blocked, false, "kind %s would slow the services of the hosts with room", spec.GetKind())
	case blocked == damaskspread.BindingZone:
		return refuse(blocked, false, "a returned zone takes batch tasks gradually")
	}
	most := max(s.millicores, s.memory, s.accelerators)
	binding := damaskspread.BindingShape
	switch {
	case most == 0:
	case s.millicores == most:
		binding = damaskspread.BindingMillicores
	case s.memory == most:
		binding = damaskspread.BindingMemory
	default:
		binding = damaskspread.BindingAccelerators
	}
	return refuse(binding, false, "too little is free on %d of %d hosts", most, s.healthy)
}

func refuse(binding damaskspread.Binding, never bool, format string, args ...any) *damaskspread.PlacementRefusedError {
	return &damaskspread.PlacementRefusedError{
		Binding: binding,
		Detail:  fmt.Sprintf(format, args...),
		Never:   never,
	}
}

// classKey identifies the hosts of a zone that are equal when empty.
type classKey struct {
	zone     *zone
	capacity amount
}

// class lists such hosts. A cluster has a few host models, so that a refusal
// looks at classes instead of hosts.
type class struct {
	classKey
	hosts   []*host
	members int
}

func (x *Index) classify(h *host) {
	key := classKey{
		zone:     h.zone,
		capacity: h.capacity,
	}
	c := x.classes[key]
	if c == nil {
		c = &class{
			classKey: key,
		}
		x.classes[key] = c
	}
	h.class, h.classAt = c, len(c.hosts)
	c.hosts = append(c.hosts, h)
	if h.member {
		c.members++
	}
}

func (x *Index) declassify(h *host) {
	c := h.class
	if c == nil {
		return
	}
	last := c.hosts[len(c.hosts)-1]
	c.hosts[h.classAt], last.classAt = last, h.classAt
	c.hosts = c.hosts[:len(c.hosts)-1]
	h.class = nil
	if h.member {
		c.members--
	}
	if len(c.hosts) == 0 {
		delete(x.classes, c.classKey)
	}
}

func (x *Index) shortage(spec *wire.TaskSpec, need amount) shortage {
	s := shortage{
		known: len(x.ordered),
	}
	for _, c := range x.classes {
		if !allows(spec, c.zone.name) {
			continue
		}
		s.inZone += len(c.hosts)
		s.largest = amount{
			millicores:   max(s.largest.millicores, c.capacity.millicores),
			memory:       max(s.largest.memory, c.capacity.memory),
			accelerators: max(s.largest.accelerators, c.capacity.accelerators),
		}
		if !c.capacity.holds(need) {
			continue
		}
		s.capable += len(c.hosts)
		if c.zone.inService {
			s.inService += c.members
		}
	}
	x.sampleFree(spec, need, &s)
	return s
}

// sampleFree counts what lacks on the hosts that could hold a task. Beyond
// sampledHosts it looks at evenly spaced ones, and at all if none of them
// takes tasks, as the refusal then names the quarantine.
func (x *Index) sampleFree(spec *wire.TaskSpec, need amount, s *shortage) {
	stride := 1 + s.inService/sampledHosts
	for ; ; stride = 1 {
		for _, c := range x.classes {
			if !c.zone.inService || !allows(spec, c.zone.name) || !c.capacity.holds(need) {
				continue
			}
			for i := 0; i < len(c.hosts); i += stride {
				s.look(c.hosts[i], need)
			}
		}
		if s.healthy > 0 || stride == 1 {
			return
		}
	}
}

func (s *shortage) look(h *host, need amount) {
	if !h.available() {
		return
	}
	free := h.free()
	s.healthy++
	s.millicores += short(need.millicores, free.millicores)
	s.memory += short(need.memory, free.memory)
	s.accelerators += short(need.accelerators, free.accelerators)
}

func short(need, free int64) int {
	if need > free {
		return 1
	}
	return 0
}

func neverFits(need amount, s shortage) (damaskspread.Binding, string) {
	const detail = "needs %d, the largest of %d hosts has %d"
	switch {
	case need.millicores > s.largest.millicores:
		return damaskspread.BindingMillicores, fmt.Sprintf(detail, need.millicores, s.inZone, s.largest.millicores)
	case need.memory > s.largest.memory:
		return damaskspread.BindingMemory, fmt.Sprintf(detail, need.memory, s.inZone, s.largest.memory)
	case need.accelerators > s.largest.accelerators:
		return damaskspread.BindingAccelerators, fmt.Sprintf(detail, need.accelerators, s.inZone, s.largest.accelerators)
	}
	return damaskspread.BindingShape, fmt.Sprintf("no one of %d hosts has all resources together", s.inZone)
}
