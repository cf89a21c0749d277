package main

import (
	"fmt"
	"time"
)

// playMayMiss runs a job of eight tasks that last, of which one may be missing, beside an
// urgent job that fits only where one of them is stopped. Before, one executor is lost for
// good.
func playMayMiss(r *record, root string, trouble bool) (int, string, []string) {
	const (
		lasting, urgent = "5c0e7a21d94b36f8", "0a5e6a62ffa5ffd7"
		executors       = 8
		// notice is the bound noticeMs.
		notice = 4500 * time.Millisecond
		// arrival is when the urgent job comes, after the loss.
		arrival = 5500 * time.Millisecond
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
	job := map[string]any{"spec": "lasts", "steps": []any{map[string]any{
		"count": executors, "cpu": 10000, "memMb": 4000, "longRunning": true, "antiAffinity": 1, "mayMiss": 1,
	}}}
	if !s.submit(laterPath+lasting, job, 20*time.Second) {
		return couldNot, "could not run: the job was not accepted", nil
	}
	for begun := time.Now(); r.started() < executors; time.Sleep(50 * time.Millisecond) {
		if time.Since(begun) > 15*time.Second {
			return couldNot, "could not run: the tasks that last did not start", nil
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		s.executors[executors-1].crash()
	}
	time.Sleep(arrival)
	job = map[string]any{"spec": "work 1s", "steps": []any{map[string]any{"count": 1, "cpu": 10000, "memMb": 4000, "estimateMs": 1000}}}
	if !s.submit(queuePath+urgent, job, 5*time.Second) {
		return couldNot, "could not run: the urgent job was not accepted", nil
	}
	state := s.awaitState(queuePath+urgent, 30*time.Second, "succeeded", "failed")
	if avail := r.avail(lasting+".0.0", 1, notice); len(avail) > 0 {
		return broken, fmt.Sprintf("AVAIL broken: %d tasks stopped while another one was away; urgent job %s", len(avail), state), avail
	}
	return held, "AVAIL held; urgent job " + state, nil
}
