package placer

import (
	"fmt"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// shortage counts why hosts do not take a task.
type shortage struct {
	inZone, known, capable, inService, healthy int

	millicores, memory, accelerators int
	largest                          amount
}

// refusal finds the constraint that prevents a placement. It looks at every
// host; callers remember the refusal until Freed changes.
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

func (x *Index) shortage(spec *wire.TaskSpec, need amount) shortage {
	s := shortage{
		known: len(x.ordered),
	}
	for _, h := range x.ordered {
		if !allows(spec, h.zone.name) {
			continue
		}
		s.inZone++
		s.largest = amount{
			millicores:   max(s.largest.millicores, h.capacity.millicores),
			memory:       max(s.largest.memory, h.capacity.memory),
			accelerators: max(s.largest.accelerators, h.capacity.accelerators),
		}
		if !h.capacity.holds(need) {
			continue
		}
		s.capable++
		if !h.member || !h.zone.inService {
			continue
		}
		s.inService++
		if !h.available() {
			continue
		}
		s.healthy++
		free := h.free()
		s.millicores += short(need.millicores, free.millicores)
		s.memory += short(need.memory, free.memory)
		s.accelerators += short(need.accelerators, free.accelerators)
	}
	return s
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
