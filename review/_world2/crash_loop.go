package main

import (
	"fmt"
	"time"
)

const (
	// idleLives and busyLives are how often the executor crashes before the job is
	// handed in, and how often after that. Each life lasts lifeTime; the next one
	// begins downTime later.
	idleLives, busyLives = 3, 5
	lifeTime             = 450 * time.Millisecond
	downTime             = 1400 * time.Millisecond
)

// playCrashLoop lets the only executor of a kind crash by turns, first while nothing
// runs there. Then a job of one harmless task comes, which ends done wherever it is
// left alone. After some more crashes the executor stays up.
func playCrashLoop(w *World, trouble bool) []string {
	w.Outcome = func(string, int) (time.Duration, string) { return 2 * time.Second, "done" }
	w.Executors = newExecutors(11, 1)
	w.Begin(2, smallConfig)
	id := "7a21d94b36f85c0e"
	job := &Job{
		Spec:  "one fold that needs the kind b",
		Steps: []Step{{Count: 1, CPU: 1000, MemMb: 256, EstimateMs: 2000, Requirements: "b"}},
	}
	e := w.Executors[0]
	if trouble {
		e.crashByTurns(idleLives)
	}
	if !w.Submit(queuePrefix, id, job) {
		fail("the job was not accepted")
	}
	if trouble {
		e.crashByTurns(busyLives)
	}
	state := w.waitForEnd(queuePrefix, id, 25*time.Second)
	return w.failedWithoutCause(id, state, 3)
}

// crashByTurns ends the life of an executor and a number of further ones, each after
// lifeTime, and begins another life.
func (e *Executor) crashByTurns(lives int) {
	for range lives {
		time.Sleep(lifeTime)
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
