package main

import (
	"fmt"
	"syscall"
	"time"
)

// playManyEnds hands in two jobs of small tasks, of which each of four executors runs about
// 1,800, and kills one agent while they work. When its next process comes, its executor lists
// more ends than one answer holds.
func playManyEnds(r *record, root string, trouble bool) (int, string, []string) {
	const (
		tasks   = 3600
		perStep = 8
		downFor = 3500 * time.Millisecond
	)
	ids := []string{"5c0e7a21d94b36f8", "0a5e6a62ffa5ffd7"}
	s, err := newSystem(r, root, 3, 4, nil)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return couldNot, "could not run: " + err.Error(), nil
	}
	if !s.awaitReady(20 * time.Second) {
		return couldNot, "could not run: the executors got no lease", nil
	}
	job := map[string]any{"spec": "work 3s", "steps": []any{map[string]any{"count": tasks, "cpu": perStep, "memMb": 30, "estimateMs": 3000}}}
	for _, id := range ids {
		if !s.submit(queuePath+id, job, 20*time.Second) {
			return couldNot, "could not run: a job was not accepted", nil
		}
	}
	accepted := time.Now()
	for r.started() < len(ids)*tasks && time.Since(accepted) < 2500*time.Millisecond {
		time.Sleep(20 * time.Millisecond)
	}
	r.write("%d tasks have started", r.started())
	if trouble {
		s.signal(s.agents[0], syscall.SIGKILL)
		time.Sleep(downFor)
		if err := s.run(s.agents[0]); err != nil {
			return couldNot, "could not run: " + err.Error(), nil
		}
	}
	states := ""
	for _, id := range ids {
		states += " " + s.awaitState(queuePath+id, 40*time.Second, "succeeded", "failed")
	}
	time.Sleep(3 * time.Second)
	if twice := r.twice(); len(twice) > 0 {
		return broken, fmt.Sprintf("TWICE broken %d times; states%s, %d starts for %d tasks", len(twice), states, r.started(), len(ids)*tasks), twice
	}
	return held, fmt.Sprintf("TWICE held; states%s, %d starts for %d tasks", states, r.started(), len(ids)*tasks), nil
}
