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
// tasks of an image are limited on a host with addedMillicores more of that image.
// Pacing keeps the serving tasks of the host within their target latency.
func (p *Planner) pace(host *Host, image string, addedMillicores int64) float64 {
	if p.Weight == nil {
		return 1
	}
	pace := 1.0
	for _, serving := range host.servingByImage {
		imageWeight := p.Weight(image, serving.image)
		if imageWeight < minWeight {
			continue
		}
		logIncrease := p.addInterference(imageWeight*float64(addedMillicores)/host.capacityMillicores(), host, serving.image)
		if logIncrease > typicalHeadroom {
			pace = min(pace, typicalHeadroom/logIncrease)
		}
	}
	return pace
}

// speed predicts the share, from 0 to 1, of the requested processors that a
// best-effort task of the step gets on the host, if the other best-effort tasks
// run at full pace.
func (p *Planner) speed(host *Host, step *wire.JobStep) float64 {
	need := step.GetResources().GetMillicores()
	demand := host.bestEffortMillicores + need
	share := 1.0
	if available := host.idleMillicores() + host.bestEffortMillicores; demand > available {
		share = max(0, float64(available)/float64(max(demand, 1)))
	}
	return share * p.pace(host, step.GetImage(), need)
}

// interference predicts how much the best-effort tasks on the host add to the
// logarithm of the latency of a serving image. It is 0 without known weights.
func (p *Planner) interference(host *Host, serving string) float64 {
	if p.Weight == nil {
		return 0
	}
	return p.addInterference(0, host, serving)
}

// addInterference adds to sum what each best-effort image on the host adds to the
// logarithm of the latency of a serving image.
func (p *Planner) addInterference(sum float64, host *Host, serving string) float64 {
	for _, interfering := range host.bestEffortByImage {
		if weight := p.Weight(interfering.image, serving); weight >= minWeight {
			sum += weight * float64(interfering.millicores) / host.capacityMillicores()
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
		if p.obstacle(host, group, task) == NoObstacle && p.speed(host, step) >= speed {
			return true
		}
	}
	return false
}
