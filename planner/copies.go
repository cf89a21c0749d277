package planner

import (
	"cmp"
	"slices"
	"time"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// minObservedShare is the share of its expected run time over which the progress of a
	// run has to be observed, and minObserved the shortest such time. Reports are made
	// each 500 ms, and arrive with delays that differ.
	minObservedShare = 0.2
	minObserved      = 900 * time.Millisecond
	// hangShare is the share of its expected run time after which a run without any
	// progress counts as hanging, and minHang the shortest such time.
	hangShare = 1.5
	minHang   = 2 * time.Second
	// copyDelay is the time from the decision until a copy is at work.
	copyDelay = 300 * time.Millisecond
	// minGainShare is the share of the remaining time of a run that its copy has to
	// save, and minGain the least time.
	minGainShare = 0.3
	minGain      = 500 * time.Millisecond
	// minSiblings is the number of runs of a step in progress from which their median
	// tells how long a new run takes.
	minSiblings = 3
	// maxCopyShare is the share of a service's capacity that copies may take.
	maxCopyShare = 0.05
	// keptFreeShare is the share of a service's capacity that copies leave free, for
	// the first runs of jobs that arrive meanwhile.
	keptFreeShare = 0.1
	fullProgress  = 100
)

// CopyCandidate is a run in progress, of a step that allows copies.
type CopyCandidate struct {
	// Group is the name of the task's group.
	Group   string
	Service string
	Request *wire.Resources
	// Elapsed is the time since the run was assigned.
	Elapsed time.Duration
	// Percent is the latest reported progress, ReportAge the time since that report, and
	// Progressed how much of Percent was gained in the time Observed before it. An agent
	// that is in touch reports each change.
	Percent, Progressed int32
	ReportAge, Observed time.Duration
	// Expected is the predicted run time of one task of the step.
	Expected time.Duration
	// Waiting is the number of tasks of the step that wait for a run, Done that of those
	// that are done.
	Waiting, Done int
	// Eligible means that the task may be copied. The others only show how long their
	// siblings take.
	Eligible bool
}

// Remaining estimates how long the run takes yet, by the pace of its progress. It is 0 if
// that can't be told yet.
func (c *CopyCandidate) Remaining() time.Duration {
	hangs := max(minHang, time.Duration(hangShare*float64(c.Expected)))
	switch {
	case c.ReportAge >= hangs, c.Progressed == 0 && c.Observed+c.ReportAge >= hangs:
		// A run that hangs goes on for as long as it has, as far as one can tell.
		return c.Elapsed
	case c.Progressed == 0 || c.Observed < max(minObserved, time.Duration(minObservedShare*float64(c.Expected))):
		return 0
	default:
		// Reports are rounded down, so a percent more may have been gained.
		perPercent := float64(c.Observed) / float64(c.Progressed+1)
		left := time.Duration(float64(fullProgress-c.Percent-1) * perPercent)
		return max(0, left-c.ReportAge)
	}
}

// CopyRoom is the room for copies on the executors of one service.
type CopyRoom struct {
	// Capacity is that of the executors that tasks may start on, Free what no task
	// requests there, and Copies what the runs beside copies request.
	Capacity, Free, Copies wire.Resources
	// Waiting means that a first run waits for room.
	Waiting bool
}

// AddHost adds an executor of the service.
func (r *CopyRoom) AddHost(host *Host) {
	if !host.Usable || host.Suspect {
		return
	}
	addResources(&r.Capacity, host.Capacity, 1)
	addResources(&r.Free, host.Capacity, 1)
	addResources(&r.Free, &host.requested, -1)
}

// AddCopy counts a copy that is in progress already.
func (r *CopyRoom) AddCopy(step *wire.JobStep) { tracker.AddRequest(&r.Copies, step) }

// admits reports whether a copy with the request leaves enough room.
func (r *CopyRoom) admits(request *wire.Resources) bool {
	if r.Waiting {
		return false
	}
	// The first copy may be larger than the share, or small services would have none.
	fits := func(request, free, copies, capacity int64) bool {
		return request == 0 || float64(free-request) >= keptFreeShare*float64(capacity) &&
			(copies == 0 || float64(copies+request) <= maxCopyShare*float64(capacity))
	}
	return fits(request.GetMillicores(), r.Free.GetMillicores(), r.Copies.GetMillicores(), r.Capacity.GetMillicores()) &&
		fits(request.GetMemoryBytes(), r.Free.GetMemoryBytes(), r.Copies.GetMemoryBytes(), r.Capacity.GetMemoryBytes()) &&
		fits(request.GetAccelerators(), r.Free.GetAccelerators(), r.Copies.GetAccelerators(), r.Capacity.GetAccelerators())
}

func (r *CopyRoom) take(request *wire.Resources) {
	addResources(&r.Free, request, -1)
	addResources(&r.Copies, request, 1)
}

func addResources(sum, amount *wire.Resources, sign int64) {
	sum.Millicores += sign * amount.GetMillicores()
	sum.MemoryBytes += sign * amount.GetMemoryBytes()
	sum.Accelerators += sign * amount.GetAccelerators()
}

// CopyChoice is the decision to copy a run.
type CopyChoice struct {
	// Index is that of the candidate.
	Index int
	// Remaining is how long the run is predicted to take yet, NewRun how long its copy
	// takes.
	Remaining, NewRun time.Duration
}

// ChooseCopies returns the runs to copy, those that gain most first: the rest of the run is
// predicted to take longer than a new run, no task of the step waits, and the service has
// idle room. It takes the room of each choice from rooms, which are by service.
func ChooseCopies(candidates []CopyCandidate, rooms map[string]*CopyRoom) []CopyChoice {
	medians := medianRunTimes(candidates)
	var choices []CopyChoice
	for i := range candidates {
		c := &candidates[i]
		if !c.Eligible || c.Waiting > 0 || c.Expected <= 0 {
			continue
		}
		choice := CopyChoice{
			Index:     i,
			Remaining: c.Remaining(),
			NewRun:    max(c.Expected, medians[c.Group]),
		}
		needed := max(minGain, time.Duration(minGainShare*float64(choice.Remaining)))
		if choice.gain() >= needed {
			choices = append(choices, choice)
		}
	}
	slices.SortStableFunc(choices, func(a, b CopyChoice) int { return cmp.Compare(b.gain(), a.gain()) })
	return slices.DeleteFunc(choices, func(choice CopyChoice) bool {
		c := &candidates[choice.Index]
		room := rooms[c.Service]
		if room == nil || !room.admits(c.Request) {
			return true
		}
		room.take(c.Request)
		return false
	})
}

func (c *CopyChoice) gain() time.Duration { return c.Remaining - c.NewRun - copyDelay }

// medianRunTimes returns the predicted run time of the median task of each group with
// minSiblings runs in progress. If all runs of a step are slow, so would be a copy. It
// leaves out groups of which the median task is done, as Expected is learned from those.
func medianRunTimes(candidates []CopyCandidate) map[string]time.Duration {
	byGroup := map[string][]time.Duration{}
	done := map[string]int{}
	for i := range candidates {
		c := &candidates[i]
		if remaining := c.Remaining(); remaining > 0 {
			byGroup[c.Group] = append(byGroup[c.Group], c.Elapsed+remaining)
			done[c.Group] = c.Done
		}
	}
	medians := map[string]time.Duration{}
	for group, times := range byGroup {
		median := (done[group]+len(times)-1)/2 - done[group]
		if len(times) < minSiblings || median < 0 {
			continue
		}
		slices.Sort(times)
		medians[group] = times[median]
	}
	return medians
}

// AddOlderRun adds a run of a step that is in progress on the host although its task is
// assigned to another one, to which it was copied.
func (h *Host) AddOlderRun(group string, step *wire.JobStep) { h.addTask(group, step) }

// CopyHost returns the host for a copy of a task, nil if there is none. It is another one
// than that of the task, in the same rack if the step asks for one rack.
func (p *Planner) CopyHost(task *tracker.Task, hosts []*Host) *Host {
	group := task.Group()
	rack := ""
	if i := slices.IndexFunc(hosts, func(host *Host) bool { return host.Key == task.Executor() }); i >= 0 {
		rack = hosts[i].Rack()
	}
	others := slices.DeleteFunc(slices.Clone(hosts), func(host *Host) bool {
		return host.Name == task.Host() || host.Suspect || task.FailedOn(host.Key.ID) ||
			group.Step().GetSameRack() && host.Rack() != rack
	})
	return p.chooseHost(group, task, group.Name(), others, "")
}

// PlaceCopy adds a copy of a task to its host.
func (h *Host) PlaceCopy(task *tracker.Task) { h.place(task, task.GroupName()) }

// MayTakeRoomOf reports whether a task of the group could use the room of a copy on the
// host.
func (p *Planner) MayTakeRoomOf(host *Host, group *tracker.Group) bool {
	return host.Usable && p.PermissionObstacle(host, group) == NoObstacle
}
