package planner

import (
	"maps"
	"slices"
	"time"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// servingUtilization is the share of its requested processors that a serving
// task uses on average. Best-effort tasks can use the rest.
const servingUtilization = 0.6

// Host is an executor with its capacity and its tasks, as Plan needs it. The
// caller builds new hosts for each scheduling cycle and reports their tasks with
// AddAssigned. A Host is not safe for concurrent use.
type Host struct {
	Key      tracker.ExecutorKey
	Name     string
	Service  string
	Zone     string
	Labels   []string
	Capacity *wire.Resources
	// Usable is false while no task may start on the host.
	Usable bool
	// NearTarget means that a serving task on the host is near or above its
	// target latency. The host gets no more best-effort tasks.
	NearTarget bool
	// Margin is how far the latency of the host's serving tasks is below their
	// target, as a share of it; negative above the target, 1 without serving tasks.
	// Only forced starts use it.
	Margin float64
	// ForcedUnmeasured means that the effect of a forced start on the host isn't
	// measured yet. The host gets no further one.
	ForcedUnmeasured bool
	// FailureEvidence is how much speaks against the executor, as an
	// assessor.Failures returns it. Of hosts that are not suspect, tasks that are neither
	// long-running nor best-effort prefer those with the least.
	FailureEvidence float64
	// Suspect means that the evidence suffices to suspect the host. It gets one task
	// at a time as a probe. Tasks assigned at ProbesFrom (monotonic time) or later
	// count as probes.
	Suspect    bool
	ProbesFrom time.Duration
	// AdmitsLasting means that a long-running task that fits on no other host may
	// start on the suspect host, also while the suspicion alone makes it unusable.
	AdmitsLasting bool
	// ProbationFrom is ProbationTime before the present monotonic time, Now.
	ProbationFrom time.Duration
	Now           time.Duration

	// requested sums the requests of all tasks on the host. The processors of
	// best-effort tasks are left out.
	requested wire.Resources
	// finiteRequested is the part of requested that belongs to tasks that are not
	// long-running.
	finiteRequested wire.Resources
	// stoppingRequested is the part of requested that belongs to tasks that were
	// ordered to stop.
	stoppingRequested wire.Resources
	// assigned are the tasks on the host that were not ordered to stop.
	assigned []*tracker.Task
	// candidates is the result of victimCandidates, nil before the first use.
	candidates           []victim
	servingMillicores    int64
	bestEffortMillicores int64
	// tasksByGroup counts tasks by the name of their group.
	tasksByGroup map[string]int
	// Requested millicores by image.
	servingByImage    imageUses
	bestEffortByImage imageUses
	// weights are the interference weights that the hosts of a plan share. interference
	// is the result of servingInterference, nil after a change of the tasks.
	weights      *weightTable
	interference []servingInterference
	// oneServingImage is set if serving images are kept on hosts of their own; see
	// setServingLayout.
	oneServingImage bool
	// keptClear is set if serving tasks go to other hosts while they fit there; see
	// keepClear.
	keptClear bool
	// busy is set if the processors of the host's service are mostly reserved; see
	// setBusy.
	busy bool
	// probes counts the tasks that probe the host while it is suspect.
	probes int
	// reserved means that capacity that comes free on the host is reserved for a
	// large task. reservedMemory means that the reservation includes memory, so
	// that it excludes best-effort tasks as well.
	reserved, reservedMemory bool
	// reservedFor is the group of the large task, reservedWait the predicted time until it
	// fits.
	reservedFor  *tracker.Group
	reservedWait time.Duration
	probation    probation
}

// Rack returns the label that names the host's rack, or "" without labels.
// Executors list the rack as their last label.
func (h *Host) Rack() string {
	if len(h.Labels) == 0 {
		return ""
	}
	return h.Labels[len(h.Labels)-1]
}

// AddPlanned adds a task that this cycle places on the host; see AddAssigned for the
// others. On a suspect host it counts as a probe, unless it is long-running.
func (h *Host) AddPlanned(group string, step *wire.JobStep) {
	h.addTask(group, step)
	if h.Suspect && !step.GetLongRunning() {
		h.probes++
	}
}

// place adds a task that this cycle places on the host, and records it for the host's
// probation.
func (h *Host) place(task *tracker.Task, group string) {
	h.AddPlanned(group, task.Step())
	h.probation.addPlanned(task)
}

func (h *Host) addTask(group string, step *wire.JobStep) {
	h.interference = nil
	tracker.AddRequest(&h.requested, step)
	if !step.GetLongRunning() {
		tracker.AddRequest(&h.finiteRequested, step)
	}
	if step.GetFillsIdle() {
		h.bestEffortMillicores += step.GetResources().GetMillicores()
		h.bestEffortByImage.add(step.GetImage(), step.GetResources().GetMillicores())
	}
	if step.GetTargetLatencyMs() > 0 {
		h.servingMillicores += step.GetResources().GetMillicores()
		h.servingByImage.add(step.GetImage(), step.GetResources().GetMillicores())
	}
	if h.tasksByGroup == nil {
		h.tasksByGroup = map[string]int{}
	}
	h.tasksByGroup[group]++
}

// shortage returns the resource that the host would lack for a task of the step
// if the resources in freed, which may be nil, were free. Best-effort tasks need
// no processors of their own, but like others they don't start on a host whose
// capacity has shrunk below what its tasks request.
func (h *Host) shortage(step *wire.JobStep, freed *wire.Resources) Obstacle {
	need := step.GetResources()
	lacks := func(used, released, more, total int64) bool { return used-released+more > total }
	switch {
	case lacks(h.requested.GetMemoryBytes(), freed.GetMemoryBytes(), need.GetMemoryBytes(), h.Capacity.GetMemoryBytes()):
		return ObstacleMemory
	case lacks(h.requested.GetAccelerators(), freed.GetAccelerators(), need.GetAccelerators(), h.Capacity.GetAccelerators()):
		return ObstacleAccelerators
	case lacks(h.requested.GetMillicores(), freed.GetMillicores(), tracker.RequestedMillicores(step), h.Capacity.GetMillicores()):
		return ObstacleProcessors
	default:
		return NoObstacle
	}
}

// antiAffinityReached reports whether the host has as many tasks of the group as
// the step's anti-affinity limit allows.
func (h *Host) antiAffinityReached(group string, step *wire.JobStep) bool {
	limit := step.GetAntiAffinity()
	return limit > 0 && h.tasksByGroup[group] >= int(limit)
}

// idleMillicores estimates the processors that no task uses. It is negative if
// the best-effort tasks request more than the others leave unused.
func (h *Host) idleMillicores() int64 {
	busy := h.requested.Millicores - int64(float64(h.servingMillicores)*(1-servingUtilization))
	return h.Capacity.GetMillicores() - busy - h.bestEffortMillicores
}

func (h *Host) idleShare() float64 {
	return float64(h.idleMillicores()) / h.capacityMillicores()
}

func (h *Host) requestedShare() float64 {
	return float64(h.requested.GetMillicores()) / h.capacityMillicores()
}

// capacityMillicores returns the processors of the host as a divisor, at least 1.
func (h *Host) capacityMillicores() float64 { return float64(max(h.Capacity.GetMillicores(), 1)) }

// inAffinityRack reports whether the host is in the step's affinity rack, which
// holds the step's data. It is true for steps without one.
func (h *Host) inAffinityRack(step *wire.JobStep) bool {
	rack := step.GetAffinityRack()
	return rack == "" || slices.Contains(h.Labels, rack)
}

// clone copies the host so that a gang can be placed on the copy first. The
// copy lacks the fields that only preemption and probe counting use.
func (h *Host) clone() *Host {
	return &Host{
		Key:        h.Key,
		Name:       h.Name,
		Service:    h.Service,
		Zone:       h.Zone,
		Labels:     h.Labels,
		Capacity:   h.Capacity,
		Usable:     h.Usable,
		NearTarget: h.NearTarget,
		Suspect:    h.Suspect,

		AdmitsLasting:   h.AdmitsLasting,
		FailureEvidence: h.FailureEvidence,

		requested: wire.Resources{
			Millicores:   h.requested.Millicores,
			MemoryBytes:  h.requested.MemoryBytes,
			Accelerators: h.requested.Accelerators,
		},
		finiteRequested: wire.Resources{
			Millicores:   h.finiteRequested.Millicores,
			MemoryBytes:  h.finiteRequested.MemoryBytes,
			Accelerators: h.finiteRequested.Accelerators,
		},
		servingMillicores:    h.servingMillicores,
		bestEffortMillicores: h.bestEffortMillicores,
		tasksByGroup:         maps.Clone(h.tasksByGroup),
		servingByImage:       slices.Clone(h.servingByImage),
		bestEffortByImage:    slices.Clone(h.bestEffortByImage),
		weights:              h.weights,
		oneServingImage:      h.oneServingImage,
		keptClear:            h.keptClear,
		busy:                 h.busy,
		probes:               h.probes,
		reserved:             h.reserved,
		reservedMemory:       h.reservedMemory,
		reservedFor:          h.reservedFor,
		reservedWait:         h.reservedWait,
		probation:            h.probation,
	}
}

// admitsProbe reports whether a task may probe a suspect host. There is one probe
// at a time. A task that failed before may itself be at fault, and a long-running
// task has no end that shows whether the host works.
func (h *Host) admitsProbe(group *tracker.Group, task *tracker.Task) bool {
	return h.probes == 0 && task.Failures() == 0 && !group.Step().GetLongRunning()
}

// HasProbe reports whether a task probes the suspect host at the moment.
func (h *Host) HasProbe() bool { return h.probes > 0 }
