package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// noticeTime is noticeMs.
	noticeTime = 4500 * time.Millisecond
	// replicas is the number of executors and of tasks that last, one on each. A task
	// takes more than half of an executor.
	replicas   = 8
	replicaCPU = 9000
)

// playLostReplica loses one of the executors on which the tasks of a step last, of which
// one may be missing. A second longer than noticeTime later an urgent job comes that fits
// nowhere.
func playLostReplica(w *World, trouble bool) []string {
	const serving, urgent = "4b36f85c0e7a21d9", "85c0e7a21d94b36f"
	w.Outcome = func(task string, _ int) (time.Duration, string) {
		if jobOf(task) == serving {
			return 0, "done"
		}
		return 3 * time.Second, "done"
	}
	w.Executors = newExecutors(replicas, 0)
	w.Begin(2, bothConfig)
	step := Step{Count: replicas, CPU: replicaCPU, MemMb: 512, LongRunning: true, AntiAffinity: 1, MayMiss: 1}
	w.mustSubmit(renderPrefix, serving, &Job{Spec: "a service", Steps: []Step{step}})
	if !w.WaitFor(10*time.Second, func() bool { return len(w.Starts) == replicas }) {
		fail("the service did not start")
	}
	time.Sleep(6 * time.Second)
	lost := w.Executors[replicas-1]
	if trouble {
		lost.GoDark()
	}
	time.Sleep(noticeTime + time.Second)
	step = Step{Count: 1, CPU: replicaCPU, MemMb: 512, EstimateMs: 3000}
	w.mustSubmit(queuePrefix, urgent, &Job{Spec: "an urgent fold", Steps: []Step{step}})
	time.Sleep(6 * time.Second)
	return w.stoppedBeyond(serving, 1)
}

// stoppedBeyond returns the stops that break AVAIL: of a task of the job that was at work,
// while at least mayMiss others were not at work for noticeTime or had been stopped.
func (w *World) stoppedBeyond(job string, mayMiss int) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var broken []string
	for _, stop := range w.Ends {
		if stop.How != "stopped" || !strings.HasPrefix(stop.Task, job) {
			continue
		}
		var away []string
		for _, end := range w.Ends {
			since := stop.At.Sub(end.At)
			gone := end.How == "stopped" && since > 0 || since >= noticeTime
			if end.Task != stop.Task && jobOf(end.Task) == job && gone && !w.startedBetween(end.Task, end.At, stop.At) {
				away = append(away, fmt.Sprintf("%s away for %.1f s", end.Task, since.Seconds()))
			}
		}
		if len(away) >= mayMiss {
			broken = append(broken, fmt.Sprintf("AVAIL: %s is stopped on %s at %.3f beside %s", stop.Task, stop.On, w.at(stop.At), strings.Join(away, ", ")))
		}
	}
	return broken
}

// startedBetween reports whether a task has started between two times.
func (w *World) startedBetween(task string, from, to time.Time) bool {
	for _, start := range w.Starts {
		if start.Task == task && start.At.After(from) && start.At.Before(to) {
			return true
		}
	}
	return false
}
