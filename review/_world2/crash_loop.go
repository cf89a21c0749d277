package main

import (
	"fmt"
	"time"
)

const (
	// crashes is how often the executor crashes, each time crashAfter the task's start;
	// it comes back downTime later.
	crashes    = 5
	crashAfter = 300 * time.Millisecond
	downTime   = 1400 * time.Millisecond
)

// playCrashLoop crashes the only executor of a kind a few times soon after a task has
// started there, as an executor does that goes down and up by turns. The task is
// harmless: it ends done wherever it is left alone.
func playCrashLoop(w *World, trouble bool) []string {
	w.Outcome = func(string, int) (time.Duration, string) { return 2 * time.Second, "done" }
	w.Executors = newExecutors(11, 1)
	w.Begin(2, smallConfig)
	id := "7a21d94b36f85c0e"
	job := &Job{
		Spec:  "one fold that needs the kind b",
		Steps: []Step{{Count: 1, CPU: 1000, MemMb: 256, EstimateMs: 2000, Requirements: "b"}},
	}
	if !w.Submit(queuePrefix, id, job) {
		fail("the job was not accepted")
	}
	if trouble {
		w.crashAfterStarts(w.Executors[0], crashes)
	}
	state := w.waitForEnd(queuePrefix, id, 25*time.Second)
	return w.failedWithoutCause(id, state, 3)
}

// crashAfterStarts crashes an executor a number of times, each time shortly after it
// has started a run. Then it stays up.
func (w *World) crashAfterStarts(e *Executor, times int) {
	for range times {
		if !w.WaitFor(4*time.Second, func() bool { return len(e.runs) > 0 }) {
			return
		}
		time.Sleep(crashAfter)
		e.Crash()
		time.Sleep(downTime)
		if err := e.Boot(false); err != nil {
			fail("executor %s: %v", e.Name, err)
		}
	}
}

// failedWithoutCause returns what breaks LOST: the job is shown as failed though no
// task has maxAttempts ends that are failed, or as cancelled though nobody did that.
func (w *World) failedWithoutCause(id, state string, maxAttempts int) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := map[string]int{}
	for _, end := range w.Ends {
		if jobOf(end.Task) == id && end.How == "failed" {
			failed[end.Task]++
			if failed[end.Task] >= maxAttempts {
				return nil
			}
		}
	}
	if state == "failed" || state == "cancelled" {
		return []string{fmt.Sprintf("LOST: job %s is shown as %s; no task of it has %d runs that ended failed, nobody cancelled it", id, state, maxAttempts)}
	}
	return nil
}
