package runner

import (
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// occupancy sums up the runs that the executor lists or may be starting. It is built anew
// once it has been dropped, and extended by each start: an executor may have thousands of
// runs, and each start is checked against all of them.
type occupancy struct {
	runs   map[runKey]bool
	byTask map[string]int
	// requested sums the requests of the runs whose step is known, unknown counts the
	// others.
	requested *wire.Resources
	unknown   int
}

// add adds a run, with its step if steps has it.
func (o *occupancy) add(key runKey, steps map[runKey]*wire.JobStep) {
	if o.runs[key] {
		return
	}
	o.runs[key] = true
	o.byTask[key.task]++
	step, known := steps[key]
	if !known {
		o.unknown++
		return
	}
	tracker.AddRequest(o.requested, step)
}

// occupied returns the occupancy of the executor. The caller holds the mutex.
func (r *Runner) occupied() *occupancy {
	if r.occupancy != nil {
		return r.occupancy
	}
	r.occupancy = &occupancy{
		runs:      make(map[runKey]bool, len(r.running)),
		byTask:    make(map[string]int, len(r.running)),
		requested: &wire.Resources{},
	}
	for key := range r.listed {
		r.occupancy.add(key, r.steps)
	}
	for key := range r.startOwners {
		r.occupancy.add(key, r.steps)
	}
	return r.occupancy
}

// setRunning replaces the list of runs. The caller holds the mutex.
func (r *Runner) setRunning(running []*wire.TaskRun) {
	r.running = running
	r.listed = make(map[runKey]bool, len(running))
	for _, run := range running {
		r.listed[runKey{run.GetTask(), run.GetRun()}] = true
	}
	r.occupancy = nil
}

// own makes the order the one that may start its run. The caller holds the mutex.
func (r *Runner) own(key runKey, order *wire.StartOrder) {
	r.startOwners[key] = order
	if r.occupancy != nil {
		r.occupancy.add(key, r.steps)
	}
}

// disown lets another order start the run. The caller holds the mutex.
func (r *Runner) disown(key runKey) {
	if r.startOwners[key] == nil {
		return
	}
	delete(r.startOwners, key)
	r.occupancy = nil
}

// learnStep keeps the step of a run. Decisions about other orders count its request
// even before the order for the run itself is carried out. The caller holds the
// mutex.
func (r *Runner) learnStep(order *wire.StartOrder) {
	key := runKey{order.GetTask(), order.GetRun()}
	step, known := r.steps[key]
	if r.occupancy != nil && r.occupancy.runs[key] && (!known || step != order.GetStep()) {
		r.occupancy = nil
	}
	r.steps[key] = order.GetStep()
}

func (r *Runner) isRunning(key runKey) bool { return r.listed[key] }

// otherRunInProgress reports whether another run of the same task is listed, or may
// be starting. The executor would run both at the same time. The caller holds the
// mutex.
func (r *Runner) otherRunInProgress(key runKey) bool {
	occupied := r.occupied()
	others := occupied.byTask[key.task]
	if occupied.runs[key] {
		others--
	}
	return others > 0
}
