package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// playCrashLoop runs a job of 240 tasks that last on eight executors, of which one at a time
// crashes and is back after 300 ms.
func playCrashLoop(r *record, root string, trouble bool) (int, string, []string) {
	const (
		id        = "5c0e7a21d94b36f8"
		executors = 8
		tasks     = 240
		waves     = 60
		interval  = 800 * time.Millisecond
		downFor   = 300 * time.Millisecond
	)
	s, err := newSystem(r, root, 2, executors, nil)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return couldNot, "could not run: " + err.Error(), nil
	}
	if !s.awaitReady(20 * time.Second) {
		return couldNot, "could not run: the executors got no lease", nil
	}
	job := map[string]any{"spec": "lasts", "steps": []any{map[string]any{"count": tasks, "cpu": 200, "memMb": 200, "longRunning": true}}}
	if !s.submit(queuePath+id, job, 20*time.Second) {
		return couldNot, "could not run: the job was not accepted", nil
	}
	time.Sleep(3 * time.Second)
	random := rand.New(rand.NewPCG(1, 2))
	state := ""
	for wave := 0; wave < waves && state != "failed"; wave++ {
		begun := time.Now()
		if trouble {
			e := s.executors[random.IntN(executors)]
			e.crash()
			time.Sleep(downFor)
			if err := e.boot(fmt.Sprintf("%.3s-%d", e.id, wave+2)); err != nil {
				return couldNot, "could not run: " + err.Error(), nil
			}
		}
		if status, answer := s.call(s.fronts[0], http.MethodGet, queuePath+id, nil); status == http.StatusOK {
			if shown, _ := answer["state"].(string); shown != state {
				state = shown
				r.write("GET %s at edge-1: %s", id, state)
			}
		}
		time.Sleep(time.Until(begun.Add(interval)))
	}
	failed := r.failedEnds()
	if state == "failed" && failed == 0 {
		return broken, fmt.Sprintf("LOST broken: the job is shown as failed, and no run has ended failed; %d starts of %d tasks", r.started(), tasks), nil
	}
	return held, fmt.Sprintf("LOST held; state %q, %d ends failed, %d starts of %d tasks", state, failed, r.started(), tasks), nil
}
