package damaskspread

import (
	"fmt"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// PlacementTask is a task to be placed on a host.
type PlacementTask struct {
	Spec *wire.TaskSpec
	// Avoid lists hosts on which the task has failed. They are chosen only if no
	// other host fits.
	Avoid []string
}

// Placement is the host chosen for a task.
type Placement struct {
	Host string
	// WorkerBoot is the boot id of the host's worker.
	WorkerBoot string
	// Reason says in one line why the host was chosen.
	Reason string
}

// PlacementPolicy chooses hosts for tasks. Callers must not assume that an
// implementation is safe for concurrent use.
type PlacementPolicy interface {
	Name() string
	// Place chooses a host but reserves nothing on it. The error is a
	// PlacementRefusedError if no host can take the task now.
	Place(task *PlacementTask, now time.Time) (Placement, error)
}

// WeightedPolicy is a placement policy that applies the weights of the operators'
// objective.
type WeightedPolicy interface {
	PlacementPolicy
	// SetObjective sets the weights for later calls of Place.
	SetObjective(objective Objective)
}

// Binding is the constraint that prevents a placement: the binding constraint in
// the sense of optimization.
type Binding string

// Constraints that can prevent a placement.
const (
	BindingMillicores   Binding = "millicores"
	BindingMemory       Binding = "memory_bytes"
	BindingAccelerators Binding = "accelerators"
	// BindingCombination means that each resource is available on some host, but no
	// host has all of them.
	BindingCombination Binding = "combination_of_resources"
	BindingZone        Binding = "zone"
	BindingHeadroom    Binding = "zone_headroom"
	BindingQuota       Binding = "quota"
	BindingQuarantine  Binding = "quarantine"
	BindingNoHost      Binding = "no_host"
	// BindingInterference means that on each host with enough free capacity the
	// task would slow down the host's services more than the objective allows.
	BindingInterference Binding = "interference"
)

// PlacementRefusedError means that no host can take a task, because of the
// constraint Binding.
type PlacementRefusedError struct {
	Binding Binding
	Detail  string
	// Never is set if the task would not even fit on any known host without
	// other tasks.
	Never bool
}

func (e *PlacementRefusedError) Error() string {
	scope := "now"
	if e.Never {
		scope = "on any known host"
	}
	return fmt.Sprintf("does not fit %s: %s: %s", scope, e.Binding, e.Detail)
}

// Objective holds the weights of the goals that a placement balances. Only their
// ratios matter.
type Objective struct {
	TailLatency     float64
	BatchThroughput float64
	Evictions       float64
}
