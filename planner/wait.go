package planner

import (
	"cmp"
	"time"

	"damaskspread.example/damaskspread/tracker"
)

const (
	// defaultBestEffortSpeed applies without Planner.BestEffortSpeed.
	defaultBestEffortSpeed = 0.5
	// relaxUntil times the bound is the wait at which the required speed of a
	// best-effort task is minRelaxedSpeed. It decreases from the bound on: before, slow
	// starts beside each other would delay more jobs than they help.
	relaxUntil = 4.0
	// busyShare is the share of a service's processors that its tasks reserve below
	// which the bound of the wait is BestEffortWait divided by calmDivisor: there is
	// room for what waits. Best-effort tasks reserve no processors.
	busyShare   = 0.5
	calmDivisor = 4
	// minRelaxedSpeed is the lowest required speed. It is above 0 because
	// a step starts all its tasks that get the required speed, and each of them slows
	// down the others; slower tasks are left to forced starts, one for each job.
	minRelaxedSpeed = 0.25
	// LowestPercent is the lowest pace that is not a stop, in percent, and the
	// granularity of paces in package pacer.
	LowestPercent = 10
)

// setBusy marks the hosts of the services whose processors are mostly reserved, if
// the wait is bounded. All hosts of a service are marked alike.
func (p *Planner) setBusy(hosts []*Host) {
	if p.BestEffortWait <= 0 {
		return
	}
	requested, capacity := map[string]int64{}, map[string]int64{}
	for _, host := range hosts {
		if host.Usable {
			requested[host.Service] += host.requested.GetMillicores()
			capacity[host.Service] += host.Capacity.GetMillicores()
		}
	}
	for _, host := range hosts {
		host.busy = float64(requested[host.Service]) >= busyShare*float64(capacity[host.Service])
	}
}

// WaitBound returns the bound of the wait for hosts like the given one.
func (p *Planner) WaitBound(host *Host) time.Duration {
	if host.busy {
		return p.BestEffortWait
	}
	return p.BestEffortWait / calmDivisor
}

// fullSpeed returns the required speed up to the bound of the wait.
func (p *Planner) fullSpeed() float64 { return cmp.Or(p.BestEffortSpeed, defaultBestEffortSpeed) }

// requiredSpeed returns the share of its requested processors that a best-effort
// task of the group must be predicted to get on the host. It decreases linearly from
// the bound of the wait to relaxUntil times that.
func (p *Planner) requiredSpeed(host *Host, group *tracker.Group) float64 {
	speed := p.fullSpeed()
	if p.BestEffortWait <= 0 {
		return speed
	}
	waited := min(relaxUntil, float64(group.Waited())/float64(p.WaitBound(host)))
	if waited <= 1 {
		return speed
	}
	return speed - max(0, speed-minRelaxedSpeed)*(waited-1)/(relaxUntil-1)
}

// limitStart limits the pace of a task that starts only because the required speed
// has decreased. It begins at the speed that it is predicted to get, so that it
// doesn't harm the serving tasks until the pacer has measured it.
func (p *Planner) limitStart(assignment *Assignment, group *tracker.Group) {
	if p.BestEffortWait <= 0 || !group.Step().GetFillsIdle() {
		return
	}
	speed := p.speed(assignment.Host, group.Step())
	if speed >= p.fullSpeed() {
		return
	}
	assignment.Percent = max(LowestPercent, int32(100*speed)/LowestPercent*LowestPercent)
	assignment.Waited = group.Waited()
	assignment.Speed = speed
}
