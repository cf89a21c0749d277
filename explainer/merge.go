package explainer

import (
	"strconv"

	"damaskspread.example/damaskspread/tracer"
)

// mergeByCause merges the lines of several processes. Lines of one process keep
// their order, and a line follows the lines of other processes that caused it,
// which the tasks and run numbers of events show. The clocks of the processes
// only decide between lines that neither rule orders.
func mergeByCause(processes []*processLog) []*tracer.Line {
	// pending counts the lines with an effect until one of them is merged.
	pending := map[string]int{}
	total := 0
	for _, p := range processes {
		total += len(p.kept)
		for _, line := range p.kept {
			if effect := effectOf(line); effect != "" {
				pending[effect]++
			}
		}
	}
	merged := make([]*tracer.Line, 0, total)
	next := make([]int, len(processes))
	for len(merged) < total {
		index := nextProcess(processes, next, pending)
		line := processes[index].kept[next[index]]
		next[index]++
		merged = append(merged, line)
		if effect := effectOf(line); effect != "" {
			delete(pending, effect)
		}
	}
	return merged
}

// nextProcess returns the index of the process whose next line comes first.
// Lines whose causes are all merged take precedence; if there is none, as in
// incomplete logs, any line is eligible. The earliest time decides.
func nextProcess(processes []*processLog, next []int, pending map[string]int) int {
	best, bestReady := -1, false
	for i, p := range processes {
		if next[i] == len(p.kept) {
			continue
		}
		line := p.kept[next[i]]
		ready := true
		for _, cause := range causesOf(line) {
			ready = ready && pending[cause] == 0
		}
		switch {
		case best < 0, ready && !bestReady:
		case ready != bestReady, !line.Time().Before(processes[best].kept[next[best]].Time()):
			continue
		}
		best, bestReady = i, ready
	}
	return best
}

func runKey(stage, task string, run int32) string {
	return stage + " " + task + " " + strconv.Itoa(int(run))
}

const acceptedEffect = "accepted"

// effectOf returns a key for what a line makes possible in other processes, or
// "". Keys match those of causesOf.
func effectOf(line *tracer.Line) string {
	switch event := line.Event().(type) {
	case *tracer.JobAccepted:
		return acceptedEffect
	case *tracer.TaskAssigned:
		return runKey("assigned", event.Task, event.Run)
	case *tracer.TaskStarted:
		return runKey("started", event.Task, event.Run)
	case *tracer.StopOrdered:
		return runKey("stop", event.Task, event.Run)
	case *tracer.RunEnded:
		return runKey("ended", event.Task, event.Run)
	case *tracer.RunLost:
		return runKey("ended", event.Task, event.Run)
	default:
		return ""
	}
}

// causesOf returns the keys of the effects that must precede a line.
func causesOf(line *tracer.Line) []string {
	switch event := line.Event().(type) {
	case *tracer.TaskAssigned:
		return []string{acceptedEffect, runKey("ended", event.Task, event.Run-1)}
	case *tracer.TaskStarted:
		return []string{runKey("assigned", event.Task, event.Run)}
	case *tracer.TaskStopped:
		return []string{runKey("stop", event.Task, event.Run)}
	case *tracer.RunEnded:
		return []string{runKey("started", event.Task, event.Run)}
	default:
		return nil
	}
}
