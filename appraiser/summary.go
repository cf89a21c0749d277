package appraiser

import (
	"cmp"
	"slices"
	"time"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// summary accumulates one estimate.
type summary struct {
	appraiser *Appraiser
	state     State
	queues    map[string]*queueSum
}

// queueSum is the load of a queue and its work by declared and by predicted run times.
type queueSum struct {
	load                *wire.QueueLoad
	declared, predicted float64
}

func (s *summary) queue(name, service string, priority int32) *queueSum {
	sum := s.queues[name]
	if sum == nil {
		sum = &queueSum{
			load: &wire.QueueLoad{
				Queue:        name,
				Service:      service,
				Priority:     priority,
				RunTimeRatio: 1,
			},
		}
		s.queues[name] = sum
	}
	return sum
}

func (s *summary) addJob(job *tracker.Job) {
	spec := job.Spec()
	job.EachDueStep(s.state.NowUnixMs, func(work tracker.StepWork) {
		if work.Step.GetLongRunning() {
			return
		}
		s.addStep(s.queue(spec.GetQueue(), job.Service(), spec.GetPriority()), spec, work)
	})
}

func (s *summary) addStep(sum *queueSum, job *wire.Job, work tracker.StepWork) {
	predicted := s.appraiser.predict(job, work.Step)
	processors := cores(work.Step)
	waiting := float64(work.Pending) * processors * predicted.Seconds()
	running := 0.0
	if work.Assigned > 0 {
		running = processors * s.remaining(work.Group, predicted).Seconds()
	}
	held := float64(work.Assigned) * processors
	wait := s.waited(work).Milliseconds()
	load := sum.load
	if work.Step.GetFillsIdle() {
		load.WaitingBestEffortCoreS += waiting
		load.RunningBestEffortCoreS += running
		load.RunningBestEffortCores += held
		load.OldestBestEffortWaitMs = max(load.OldestBestEffortWaitMs, wait)
	} else {
		load.WaitingCoreS += waiting
		load.RunningCoreS += running
		load.RunningCores += held
		load.OldestWaitMs = max(load.OldestWaitMs, wait)
	}
	s.classify(load, work, waiting)
	open := float64(work.Pending+work.Assigned) * processors
	sum.predicted += open * predicted.Seconds()
	sum.declared += open * float64(work.Step.GetEstimateMs()) / 1000
}

// waited returns how long the step has waited for a host, at least 1 ms if it waits.
func (s *summary) waited(work tracker.StepWork) time.Duration {
	if work.Pending == 0 {
		return 0
	}
	since, waits := s.state.WaitingSince(work.Group.Name())
	if !waits {
		return 0
	}
	return max(s.state.Now-since, time.Millisecond)
}

// remaining sums the time that the assigned tasks still run. A run that an earlier
// leader started counts half its predicted time, because its start is not known.
func (s *summary) remaining(group *tracker.Group, predicted time.Duration) time.Duration {
	sum := time.Duration(0)
	for t := range group.EachAssigned() {
		switch {
		case t.AssignedAt() == 0:
			sum += predicted / 2
		default:
			sum += max(0, predicted-(s.state.Now-t.AssignedAt()))
		}
	}
	return sum
}

// addRates adds the rates and drops the windows that have become empty.
func (s *summary) addRates() {
	a := s.appraiser
	for name, rates := range a.rates {
		reserve := rates.reserve.rate(s.state.Now, a.begunAt)
		bestEffort := rates.bestEffort.rate(s.state.Now, a.begunAt)
		if reserve == 0 && bestEffort == 0 {
			delete(a.rates, name)
			continue
		}
		load := s.queue(name, rates.service, rates.priority).load
		load.RateCores = reserve
		load.RateBestEffortCores = bestEffort
	}
}

func (s *summary) addCapacities() {
	services := map[string]planner.ProcessorShares{}
	for _, host := range s.state.Hosts {
		shares := host.Shares()
		sum := services[host.Service]
		sum.Free += shares.Free
		sum.Idle += shares.Idle
		sum.Finite += shares.Finite
		sum.BestEffort += shares.BestEffort
		services[host.Service] = sum
	}
	for _, sum := range s.queues {
		shares := services[sum.load.GetService()]
		sum.load.FreeMillicores = shares.Free
		sum.load.IdleMillicores = shares.Idle
		sum.load.CapacityCores = float64(shares.Finite) / 1000
		sum.load.CapacityBestEffortCores = float64(shares.BestEffort) / 1000
		if sum.declared > 0 {
			sum.load.RunTimeRatio = sum.predicted / sum.declared
		}
	}
}

// largest returns the MaxQueues queues with the most waiting work, the largest first.
func (s *summary) largest() []*wire.QueueLoad {
	loads := make([]*wire.QueueLoad, 0, len(s.queues))
	for _, sum := range s.queues {
		loads = append(loads, sum.load)
	}
	waiting := func(load *wire.QueueLoad) float64 {
		return load.GetWaitingCoreS() + load.GetWaitingBestEffortCoreS()
	}
	slices.SortFunc(loads, func(a, b *wire.QueueLoad) int {
		return cmp.Or(cmp.Compare(waiting(b), waiting(a)), cmp.Compare(a.GetQueue(), b.GetQueue()))
	})
	return loads[:min(len(loads), MaxQueues)]
}
