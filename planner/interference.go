package planner

import (
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// typicalHeadroom is ln(target/latency) of a serving task at its usual load
	// without interference.
	typicalHeadroom = 0.3
	// minWeight is the least interference weight that counts; smaller ones are
	// ignored.
	minWeight = 0.8
)

// pace predicts the share, from 0 to 1, of their requested processors to which
// tasks of the step's image are limited on a host with one more task of the step.
// Pacing keeps the serving tasks of the host within their target latency.
func (p *Planner) pace(host *Host, step *wire.JobStep) float64 {
	if p.Weight == nil || len(host.servingByImage) == 0 {
		return 1
	}
	weights := p.weightsFor(host)
	interference := host.servingInterference(weights)
	row := weights.row(step.GetImage())
	added := float64(step.GetResources().GetMillicores()) / host.capacityMillicores()
	pace := 1.0
	for _, serving := range interference {
		weight := row[serving.index]
		if weight < minWeight {
			continue
		}
		if logIncrease := serving.logIncrease + weight*added; logIncrease > typicalHeadroom {
			pace = min(pace, typicalHeadroom/logIncrease)
		}
	}
	return pace
}

// speed predicts the share, from 0 to 1, of the requested processors that a
// best-effort task of the step gets on the host, if the other best-effort tasks
// run at full pace.
func (p *Planner) speed(host *Host, step *wire.JobStep) float64 {
	return idleSpeed(host, step) * p.pace(host, step)
}

// reachesSpeed reports whether speed is at least the given one. On most hosts of a busy
// fleet the idle processors alone don't suffice, and the pace isn't needed.
func (p *Planner) reachesSpeed(host *Host, step *wire.JobStep, least float64) bool {
	idle := idleSpeed(host, step)
	return idle >= least && idle*p.pace(host, step) >= least
}

// idleSpeed is the part of speed that depends on the idle processors of the host.
func idleSpeed(host *Host, step *wire.JobStep) float64 {
	demand := host.bestEffortMillicores + step.GetResources().GetMillicores()
	available := host.idleMillicores() + host.bestEffortMillicores
	if demand <= available {
		return 1
	}
	return max(0, float64(available)/float64(max(demand, 1)))
}

// interference predicts how much the best-effort tasks on the host add to the
// logarithm of the latency of a serving image. It is 0 without known weights.
func (p *Planner) interference(host *Host, serving string) float64 {
	if p.Weight == nil {
		return 0
	}
	weights := p.weightsFor(host)
	return host.logIncrease(weights, weights.servingIndex(serving))
}

// servingInterference is how much the best-effort tasks on a host add to the logarithm of
// the latency of a serving image. index is that of the image in the host's weightTable.
type servingInterference struct {
	index       int
	logIncrease float64
}

// servingInterference returns the interference with each serving image on the host.
func (h *Host) servingInterference(weights *weightTable) []servingInterference {
	if h.interference == nil {
		for _, serving := range h.servingByImage {
			index := weights.servingIndex(serving.image)
			h.interference = append(h.interference, servingInterference{
				index:       index,
				logIncrease: h.logIncrease(weights, index),
			})
		}
	}
	return h.interference
}

// logIncrease sums what each best-effort image on the host adds to the logarithm of the
// latency of the serving image with an index.
func (h *Host) logIncrease(weights *weightTable, index int) float64 {
	sum := 0.0
	for _, interfering := range h.bestEffortByImage {
		if weight := weights.row(interfering.image)[index]; weight >= minWeight {
			sum += weight * float64(interfering.millicores) / h.capacityMillicores()
		}
	}
	return sum
}

// HasFasterHost reports whether a host other than current can take the running task
// and is predicted to run it at least at the given speed: the share of its
// requested processors that the task gets. Suspect hosts, hosts on which the task
// failed and hosts outside the rack of its data are not considered.
func (p *Planner) HasFasterHost(task *tracker.Task, current *Host, hosts []*Host, speed float64) bool {
	step := task.Step()
	group := task.Group()
	for _, host := range hosts {
		if host == current || host.Suspect || task.FailedOn(host.Key.ID) || !host.inAffinityRack(step) {
			continue
		}
		if p.reachesSpeed(host, step, speed) && p.obstacle(host, group, task) == NoObstacle {
			return true
		}
	}
	return false
}
