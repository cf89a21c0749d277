package tracker

import "damaskspread.example/damaskspread/wire"

// AddRequest adds the request of a task of the step to sum.
func AddRequest(sum *wire.Resources, step *wire.JobStep) {
	sum.MemoryBytes += step.GetResources().GetMemoryBytes()
	sum.Accelerators += step.GetResources().GetAccelerators()
	sum.Millicores += RequestedMillicores(step)
}

// RequestedMillicores returns the processors that a task of the step reserves, in
// millicores: none for a best-effort task, which uses what other tasks leave idle.
func RequestedMillicores(step *wire.JobStep) int64 {
	if step.GetFillsIdle() {
		return 0
	}
	return step.GetResources().GetMillicores()
}
