package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// stopTime is how long a preempted task takes to end. The bound of the
	// deployments is 400 ms; the rest is the way of the order and of the report.
	stopTime = 500 * time.Millisecond
	// candidatesByLoss and candidatesByDensity bound the tasks of a host among which
	// sets of victims are tried: those with the least loss, and those with the least
	// loss for the processors that they free. One step then takes 1.5 ms over 300
	// hosts of 60 tasks (BenchmarkChooseVictims, beside losses found once a cycle).
	candidatesByLoss, candidatesByDensity = 6, 6
)

// victim is a task that may be preempted, with the core-seconds that are lost.
type victim struct {
	task     *tracker.Task
	priority int32
	overdue  bool
	loss     float64
	// density is the loss for each core that the victim frees.
	density float64
}

// ChooseVictims is Preempt or, with LostWork, chooses among all hosts the set of
// victims that loses least. An overdue job, or one that is overdue once its victims
// have stopped, preempts only overdue ones. With CostOrder it preempts none by
// Preempt: the victims would start before it again, and be stopped again. A group of which
// tasks are held back preempts none.
func (p *Planner) ChooseVictims(group *tracker.Group, task *tracker.Task, hosts []*Host, now time.Duration, nowUnixMs int64) []*tracker.Task {
	if group.Limited() {
		return nil
	}
	waiting := WaitingOf(group, nowUnixMs)
	waiting.Now = waiting.Now.Add(stopTime)
	overdue := CostOf(waiting).Class.overdue()
	switch {
	case !p.LostWork && p.CostOrder && overdue:
		return nil
	case !p.LostWork:
		return p.Preempt(group, task, hosts, now)
	case !mayEnterProbation(group, task, hosts):
		return nil
	}
	search := &victimSearch{
		step:     group.Step(),
		bestLoss: math.Inf(1),
	}
	for _, host := range hosts {
		if p.constraintObstacle(host, group, task) != NoObstacle {
			continue
		}
		search.host = host
		search.freed = copyRequest(&host.stoppingRequested)
		if host.shortage(search.step, search.freed) == NoObstacle {
			return nil
		}
		search.candidates = host.losses(waiting.Priority, overdue, now, nowUnixMs)
		search.largest = 1
		for _, v := range search.candidates {
			search.largest = max(search.largest, v.task.Step().GetResources().GetMillicores())
		}
		search.try(0, make([]*tracker.Task, 0, maxVictims), 0)
	}
	return search.best
}

// losses returns the tasks of the host among which to choose victims for a task of
// the given priority, those with the least loss first.
func (h *Host) losses(priority int32, overdueOnly bool, now time.Duration, nowUnixMs int64) []victim {
	if h.candidates == nil {
		h.candidates = h.victimCandidates(now, nowUnixMs)
	}
	var eligible []victim
	for _, v := range h.candidates {
		if v.priority > priority && (v.overdue || !overdueOnly) {
			eligible = append(eligible, v)
		}
	}
	if len(eligible) > candidatesByLoss+candidatesByDensity {
		others := eligible[candidatesByLoss:]
		slices.SortStableFunc(others, func(a, b victim) int { return cmp.Compare(a.density, b.density) })
		eligible = eligible[:candidatesByLoss+candidatesByDensity]
		slices.SortStableFunc(eligible, compareLoss)
	}
	return eligible
}

// victimCandidates returns all tasks of the host that may be stopped, sorted by
// loss. Their losses are the same for each waiting step of a cycle.
func (h *Host) victimCandidates(now time.Duration, nowUnixMs int64) []victim {
	candidates := []victim{}
	for _, task := range h.preemptible(math.MinInt32, now) {
		if endsBeforeStop(task, now) {
			continue
		}
		waiting := WaitingOf(task.Group(), nowUnixMs)
		v := victim{
			task:     task,
			priority: waiting.Priority,
			overdue:  CostOf(waiting).Class.overdue(),
			loss:     lostWork(task, &waiting, now),
		}
		v.density = v.loss / max(cores(task), minWork)
		candidates = append(candidates, v)
	}
	slices.SortStableFunc(candidates, compareLoss)
	return candidates
}

func compareLoss(a, b victim) int { return cmp.Compare(a.loss, b.loss) }

func cores(task *tracker.Task) float64 {
	return float64(task.Step().GetResources().GetMillicores()) / 1000
}

// endsBeforeStop reports whether the task is predicted to end on its own before a
// stop would take effect.
func endsBeforeStop(task *tracker.Task, now time.Duration) bool {
	predicted := predictedTime(task)
	elapsed := now - task.AssignedAt()
	return !task.Step().GetLongRunning() && task.AssignedAt() > 0 && elapsed < predicted && predicted-elapsed <= stopTime
}

// lostWork returns the core-seconds that are lost if the task is stopped: its
// processors while it stops, the unsaved work, also for the siblings that wait for
// it, and the whole work of a job that becomes late.
func lostWork(task *tracker.Task, job *Waiting, now time.Duration) float64 {
	cores := max(cores(task), minWork)
	elapsed := runTime(task, now)
	unsaved := elapsed
	if task.Step().GetCanCheckpoint() {
		// The stop takes a checkpoint, from which the next run resumes.
		unsaved = 0
	}
	loss := cores * (stopTime.Seconds() + unsaved.Seconds()*(1+task.DoneShare()))
	undisturbed := job.Now.Add(job.Remaining - elapsed)
	becomesLate := !undisturbed.After(job.Deadline) && undisturbed.Add(unsaved+stopTime).After(job.Deadline)
	if job.LongRunning || becomesLate {
		_, total := task.Group().Work()
		loss += max(total, cores*startupTime.Seconds())
	}
	return loss
}

// predictedTime returns the predicted duration of a run of the task from its beginning.
func predictedTime(task *tracker.Task) time.Duration {
	return time.Duration(task.Job().TaskMs(task.ID().Step)) * time.Millisecond
}

// runTime returns how long the current run of the task has taken. A run taken over
// by a new leader has an unknown start and counts with its predicted time. A task that
// exceeds it is expected to end at once.
func runTime(task *tracker.Task, now time.Duration) time.Duration {
	if task.AssignedAt() > 0 && task.Step().GetLongRunning() {
		return now - task.AssignedAt()
	}
	predicted := predictedTime(task)
	if task.AssignedAt() > 0 {
		return min(now-task.AssignedAt(), predicted)
	}
	return predicted
}

// victimSearch finds the set of victims that loses least, one host after another.
type victimSearch struct {
	host       *Host
	step       *wire.JobStep
	freed      *wire.Resources
	candidates []victim
	// largest is the most processors that a candidate frees.
	largest int64
	// best is the best set of all hosts so far, with its loss.
	best     []*tracker.Task
	bestLoss float64
}

// try extends chosen by candidates from the given index on. As these are sorted by
// loss, it stops at the first that can't lead to a better set.
func (s *victimSearch) try(from int, chosen []*tracker.Task, loss float64) {
	if s.host.shortage(s.step, s.freed) == NoObstacle {
		s.best, s.bestLoss = slices.Clone(chosen), loss
		return
	}
	needed := s.neededVictims()
	if len(chosen)+needed > maxVictims {
		return
	}
	for i := from; i < len(s.candidates); i++ {
		candidate := s.candidates[i]
		if loss+float64(needed)*candidate.loss >= s.bestLoss {
			return
		}
		if limitsUnavailability(candidate.task) && containsSibling(chosen, candidate.task) {
			continue
		}
		memory, accelerators, millicores := s.freed.GetMemoryBytes(), s.freed.GetAccelerators(), s.freed.GetMillicores()
		tracker.AddRequest(s.freed, candidate.task.Step())
		s.try(i+1, append(chosen, candidate.task), loss+candidate.loss)
		s.freed.MemoryBytes, s.freed.Accelerators, s.freed.Millicores = memory, accelerators, millicores
	}
}

// neededVictims returns a lower bound, at least 1, of the victims that are needed
// beside those chosen.
func (s *victimSearch) neededVictims() int {
	need := tracker.RequestedMillicores(s.step)
	short := s.host.requested.GetMillicores() - s.freed.GetMillicores() + need - s.host.Capacity.GetMillicores()
	return int(max(1, (short+s.largest-1)/s.largest))
}

func copyRequest(r *wire.Resources) *wire.Resources {
	return &wire.Resources{
		Millicores:   r.GetMillicores(),
		MemoryBytes:  r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(),
	}
}
