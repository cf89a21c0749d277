package placer

import (
	"fmt"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// refusalSampleSize is the approximate number of hosts whose free capacity is
// examined for a refusal.
const refusalSampleSize = 128

// hostCounts counts the hosts that meet each successive condition for a task.
// In large clusters, available and the counts of lacking hosts cover only a sample.
type hostCounts struct {
	inZone, known, largeEnough, inService, available int

	lackingMillicores, lackingMemory, lackingAccelerators int
	largestCapacity                                       amount
}

// refusal returns the constraint that prevents the placement of a task. blockedBy
// is the constraint by which the policy excluded zones or hosts, or empty.
func (x *Index) refusal(spec *wire.TaskSpec, blockedBy damaskspread.Binding) *damaskspread.PlacementRefusedError {
	need := amountOf(spec.GetResources())
	counts := x.countHosts(spec, need)
	switch {
	case counts.known == 0:
		return newRefusal(damaskspread.BindingNoHost, false, "no host has joined")
	case counts.inZone == 0:
		return newRefusal(damaskspread.BindingZone, true, "no known host is in zones %v", spec.GetZones())
	case counts.largeEnough == 0:
		binding, detail := tooLargeBinding(need, counts)
		return newRefusal(binding, true, "%s", detail)
	case counts.inService == 0:
		return newRefusal(damaskspread.BindingZone, false, "the %d hosts that could hold the task have left or are in zones out of service", counts.largeEnough)
	case counts.available == 0:
		return newRefusal(damaskspread.BindingQuarantine, false, "the %d hosts that could hold the task are quarantined", counts.inService)
	case blockedBy == damaskspread.BindingHeadroom:
		return newRefusal(blockedBy, false, "the free capacity is reserved for urgent tasks in case a zone is lost")
	case blockedBy == damaskspread.BindingInterference:
		return newRefusal(blockedBy, false, "kind %s would slow the services on all hosts with free capacity too much", spec.GetKind())
	case blockedBy == damaskspread.BindingZone:
		return newRefusal(blockedBy, false, "a zone that returned to service admits batch tasks gradually")
	}
	mostLacking := max(counts.lackingMillicores, counts.lackingMemory, counts.lackingAccelerators)
	binding := damaskspread.BindingCombination
	switch {
	case mostLacking == 0:
	case counts.lackingMillicores == mostLacking:
		binding = damaskspread.BindingMillicores
	case counts.lackingMemory == mostLacking:
		binding = damaskspread.BindingMemory
	default:
		binding = damaskspread.BindingAccelerators
	}
	return newRefusal(binding, false, "too little is free on %d of %d hosts", mostLacking, counts.available)
}

func newRefusal(binding damaskspread.Binding, never bool, format string, args ...any) *damaskspread.PlacementRefusedError {
	return &damaskspread.PlacementRefusedError{
		Binding: binding,
		Detail:  fmt.Sprintf(format, args...),
		Never:   never,
	}
}

func (x *Index) countHosts(spec *wire.TaskSpec, need amount) hostCounts {
	counts := hostCounts{
		known: len(x.hostList),
	}
	for _, c := range x.capacityClasses {
		if !allows(spec, c.zone.name) {
			continue
		}
		counts.inZone += len(c.hosts)
		counts.largestCapacity = amount{
			millicores:   max(counts.largestCapacity.millicores, c.capacity.millicores),
			memory:       max(counts.largestCapacity.memory, c.capacity.memory),
			accelerators: max(counts.largestCapacity.accelerators, c.capacity.accelerators),
		}
		if !c.capacity.covers(need) {
			continue
		}
		counts.largeEnough += len(c.hosts)
		if c.zone.inService {
			counts.inService += c.members
		}
	}
	x.countLacking(spec, need, &counts)
	return counts
}

// countLacking counts the hosts that lack free capacity, among those large enough
// for a task. If there are more than refusalSampleSize, it samples evenly spaced
// hosts. If no sampled host is available, it examines all hosts, because the
// refusal then reports that all are quarantined.
func (x *Index) countLacking(spec *wire.TaskSpec, need amount, counts *hostCounts) {
	stride := 1 + counts.inService/refusalSampleSize
	for ; ; stride = 1 {
		for _, c := range x.capacityClasses {
			if !c.zone.inService || !allows(spec, c.zone.name) || !c.capacity.covers(need) {
				continue
			}
			for i := 0; i < len(c.hosts); i += stride {
				counts.addHost(c.hosts[i], need)
			}
		}
		if counts.available > 0 || stride == 1 {
			return
		}
	}
}

func (counts *hostCounts) addHost(h *host, need amount) {
	if !h.available() {
		return
	}
	free := h.free()
	counts.available++
	counts.lackingMillicores += oneIfExceeds(need.millicores, free.millicores)
	counts.lackingMemory += oneIfExceeds(need.memory, free.memory)
	counts.lackingAccelerators += oneIfExceeds(need.accelerators, free.accelerators)
}

func oneIfExceeds(need, free int64) int {
	if need > free {
		return 1
	}
	return 0
}

// tooLargeBinding returns the resource of which no host has enough capacity for a
// task, together with the detail of the refusal.
func tooLargeBinding(need amount, counts hostCounts) (damaskspread.Binding, string) {
	const detail = "needs %d, the largest of %d hosts has %d"
	switch {
	case need.millicores > counts.largestCapacity.millicores:
		return damaskspread.BindingMillicores, fmt.Sprintf(detail, need.millicores, counts.inZone, counts.largestCapacity.millicores)
	case need.memory > counts.largestCapacity.memory:
		return damaskspread.BindingMemory, fmt.Sprintf(detail, need.memory, counts.inZone, counts.largestCapacity.memory)
	case need.accelerators > counts.largestCapacity.accelerators:
		return damaskspread.BindingAccelerators, fmt.Sprintf(detail, need.accelerators, counts.inZone, counts.largestCapacity.accelerators)
	}
	return damaskspread.BindingCombination, fmt.Sprintf("none of %d hosts has enough of all resources together", counts.inZone)
}
