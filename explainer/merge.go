package explainer

import (
	"strconv"

	"damaskspread.example/damaskspread/tracer"
)

// merge puts the lines of several processes into one order. Lines of a process
// keep their order, and a line follows the line of another process that caused
// it, as run numbers and offsets tell. Only what neither decides is ordered by
// the processes' clocks.
func merge(processes []*process) []*tracer.Line {
	expected := map[string]int{}
	total := 0
	for _, p := range processes {
		total += len(p.lines)
		for _, line := range p.lines {
			if effect := effectOf(line); effect != "" {
				expected[effect]++
			}
		}
	}
	merged := make([]*tracer.Line, 0, total)
	next := make([]int, len(processes))
	for len(merged) < total {
		chosen := choose(processes, next, expected)
		line := processes[chosen].lines[next[chosen]]
		next[chosen]++
		merged = append(merged, line)
		if effect := effectOf(line); effect != "" {
			delete(expected, effect)
		}
	}
	return merged
}

// choose returns the process whose next line comes first: one whose causes are
// all told, or, where logs are incomplete, any.
func choose(processes []*process, next []int, expected map[string]int) int {
	best, bestCaused := -1, false
	for i, p := range processes {
		if next[i] == len(p.lines) {
			continue
		}
		line := p.lines[next[i]]
		caused := true
		for _, cause := range causesOf(line) {
			caused = caused && expected[cause] == 0
		}
		switch {
		case best < 0, caused && !bestCaused:
		case caused != bestCaused, !line.Time().Before(processes[best].lines[next[best]].Time()):
			continue
		}
		best, bestCaused = i, caused
	}
	return best
}

func runKey(step, task string, run int32) string {
	return step + " " + task + " " + strconv.Itoa(int(run))
}

const acceptance = "accepted"

// effectOf names what a line makes possible in other processes.
func effectOf(line *tracer.Line) string {
	switch event := line.Event().(type) {
	case *tracer.JobAccepted:
		return acceptance
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

// causesOf names what must have happened before a line.
func causesOf(line *tracer.Line) []string {
	switch event := line.Event().(type) {
	case *tracer.TaskAssigned:
		return []string{acceptance, runKey("ended", event.Task, event.Run-1)}
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
