package planner

import (
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// typicalRoom is the logarithm of target to latency of an undisturbed
	// serving task at its usual load.
	typicalRoom = 0.3
	// leastWeight is the effect of an image on another that counts.
	leastWeight = 0.8
)

// pace predicts how fast tasks of a disturbing image may work on a host if it
// also gets more of that image.
func (p *Planner) pace(host *Host, image string, more int64) float64 {
	if p.Weight == nil {
		return 1
	}
	pace := 1.0
	capacity := float64(max(host.Capacity.GetMillicores(), 1))
	for serving := range host.servingByImage {
		own := p.Weight(image, serving)
		if own < leastWeight {
			continue
		}
		full := own * float64(more) / capacity
		for disturbing, milli := range host.fillByImage {
			if weight := p.Weight(disturbing, serving); weight >= leastWeight {
				full += weight * float64(milli) / capacity
			}
		}
		if full > typicalRoom {
			pace = min(pace, typicalRoom/full)
		}
	}
	return pace
}

// speed predicts the share of its processors that a filling task gets on a
// host, with the other filling tasks at full pace.
func (p *Planner) speed(host *Host, step *wire.JobStep) float64 {
	need := step.GetResources().GetMillicores()
	demand := host.fillMilli + need
	share := 1.0
	if available := host.idleMilli() + host.fillMilli; demand > available {
		share = max(0, float64(available)/float64(max(demand, 1)))
	}
	return share * p.pace(host, step.GetImage(), need)
}

// disturbance is what the filling tasks of a host do to a serving image.
func (p *Planner) disturbance(host *Host, serving string) float64 {
	if p.Weight == nil {
		return 0
	}
	sum := 0.0
	for disturbing, milli := range host.fillByImage {
		if weight := p.Weight(disturbing, serving); weight >= leastWeight {
			sum += weight * float64(milli) / float64(max(host.Capacity.GetMillicores(), 1))
		}
	}
	return sum
}

// affinity is the share of a host's serving tasks that have an image. On hosts
// of few serving images fewer filling images disturb one.
func affinity(host *Host, image string) float64 {
	if host.servingMilli == 0 {
		return 0
	}
	return float64(host.servingByImage[image]) / float64(host.servingMilli)
}

// Better reports whether another host promises a speed for a running task.
func (p *Planner) Better(task *tracker.Task, current *Host, hosts []*Host, speed float64) bool {
	step := task.Step()
	group := task.Group()
	for _, host := range hosts {
		if host == current || host.Suspect || task.FailedOn(host.Key.ID) || !host.near(step) {
			continue
		}
		if p.obstacle(host, group, task) == NoObstacle && p.speed(host, step) >= speed {
			return true
		}
	}
	return false
}
