package damaskspread

import (
	"fmt"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// PlacementTask is a task that needs a host.
type PlacementTask struct {
	Spec *wire.TaskSpec
	// Avoid lists hosts on which the task failed before. They are used only
	// when no other host fits.
	Avoid []string
}

// Placement is the host chosen for a task.
type Placement struct {
	Host       string
	WorkerBoot string
	// Reason says in one line why the host was chosen.
	Reason string
}

// PlacementPolicy chooses hosts. An implementation need not be safe for
// concurrent use.
type PlacementPolicy interface {
	Name() string
	// Place chooses a host without committing to it. The error is a
	// PlacementRefusedError if no host can take the task now.
	Place(task *PlacementTask, now time.Time) (Placement, error)
}

// WeighedPolicy is a placement policy that follows the operators' objective.
type WeighedPolicy interface {
	PlacementPolicy
	// SetObjective changes the weights from the next Place on.
	SetObjective(objective Objective)
}

// Binding is the constraint that prevents a placement.
type Binding string

// Binding constraints.
const (
	BindingMillicores   Binding = "millicores"
	BindingMemory       Binding = "memory_bytes"
	BindingAccelerators Binding = "accelerators"
	// BindingShape means that each resource is available, but not together.
	BindingShape      Binding = "combination_of_resources"
	BindingZone       Binding = "zone"
	BindingHeadroom   Binding = "zone_headroom"
	BindingQuota      Binding = "quota"
	BindingQuarantine Binding = "quarantine"
	BindingNoHost     Binding = "no_host"
	// BindingInterference means that the task would slow the services of all
	// hosts with room more than the objective allows.
	BindingInterference Binding = "interference"
)

// PlacementRefusedError names the constraint that keeps a task waiting.
type PlacementRefusedError struct {
	Binding Binding
	Detail  string
	// Never is set if no known host could hold the task even when empty.
	Never bool
}

func (e *PlacementRefusedError) Error() string {
	when := "now"
	if e.Never {
		when = "on any known host"
	}
	return fmt.Sprintf("does not fit %s: %s: %s", when, e.Binding, e.Detail)
}

// Objective weighs the measures against each other. Only ratios matter.
type Objective struct {
	TailLatency     float64
	BatchThroughput float64
	Evictions       float64
}
