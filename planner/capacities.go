package planner

import (
	"slices"

	"damaskspread.example/damaskspread/wire"
)

// Capacities counts executors by service, capacity and labels. A fleet has few
// different ones, so that counting the tasks of a step that fit costs little. The
// zero value is empty.
type Capacities struct {
	classes []capacityClass
}

// capacityClass is a number of executors that differ only in their names.
type capacityClass struct {
	info  *wire.ExecutorInfo
	count int64
}

// Add adds an executor.
func (c *Capacities) Add(info *wire.ExecutorInfo) {
	for i := range c.classes {
		if sameCapacity(c.classes[i].info, info) {
			c.classes[i].count++
			return
		}
	}
	c.classes = append(c.classes, capacityClass{
		info:  info,
		count: 1,
	})
}

func sameCapacity(a, b *wire.ExecutorInfo) bool {
	x, y := a.GetCapacity(), b.GetCapacity()
	return a.GetService() == b.GetService() && x.GetMillicores() == y.GetMillicores() &&
		x.GetMemoryBytes() == y.GetMemoryBytes() && x.GetAccelerators() == y.GetAccelerators() &&
		slices.Equal(a.GetLabels(), b.GetLabels())
}

// Waves returns how many of a number of tasks of a step run one after the other if
// the step has all executors of its service and label to itself. It is 1 for gangs,
// whose members run together, and if no executor can run the step.
func (c *Capacities) Waves(service string, step *wire.JobStep, tasks int64) int64 {
	if step.GetGang() {
		return 1
	}
	label := step.GetRequiredLabel()
	slots := int64(0)
	for _, class := range c.classes {
		if class.info.GetService() != service || (label != "" && !slices.Contains(class.info.GetLabels(), label)) {
			continue
		}
		slots += class.count * tasksWithin(class.info.GetCapacity(), step, tasks)
		if slots >= tasks {
			return 1
		}
	}
	if slots == 0 {
		return 1
	}
	return (tasks + slots - 1) / slots
}

// tasksWithin returns how many tasks of a step fit in a capacity, at most limit.
func tasksWithin(capacity *wire.Resources, step *wire.JobStep, limit int64) int64 {
	need := step.GetResources()
	fits := limit
	for _, resource := range [][2]int64{
		{capacity.GetMillicores(), need.GetMillicores()},
		{capacity.GetMemoryBytes(), need.GetMemoryBytes()},
		{capacity.GetAccelerators(), need.GetAccelerators()},
	} {
		if available, needed := resource[0], resource[1]; needed > 0 {
			fits = min(fits, max(0, available)/needed)
		}
	}
	if perHost := int64(step.GetAntiAffinity()); perHost > 0 {
		fits = min(fits, perHost)
	}
	return fits
}
