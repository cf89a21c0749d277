package tracker

import "damaskspread.example/damaskspread/wire"

// AddRequest adds the request of a task of the step to sum. A best-effort task uses
// processors that other tasks leave idle, so it requests none.
func AddRequest(sum *wire.Resources, step *wire.JobStep) {
	sum.MemoryBytes += step.GetResources().GetMemoryBytes()
	sum.Accelerators += step.GetResources().GetAccelerators()
	if !step.GetFillsIdle() {
		sum.Millicores += step.GetResources().GetMillicores()
	}
}
