package main

import (
	"fmt"
	"sync"
	"time"
)

// playGangAlone hands in sixty gangs of four tasks, of which one fits on the executors at a
// time, beside a stream of small jobs. With trouble the gangs come at once, otherwise each one
// after the one before has succeeded.
func playGangAlone(r *record, root string, trouble bool) (int, string, []string) {
	const (
		jobs      = 60
		executors = 4
	)
	s, err := newSystem(r, root, 3, executors, nil)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return couldNot, "could not run: " + err.Error(), nil
	}
	if !s.awaitReady(20 * time.Second) {
		return couldNot, "could not run: the executors got no lease", nil
	}
	job := map[string]any{"spec": "work 300ms gang 4", "steps": []any{map[string]any{
		"count": 4, "cpu": 9000, "memMb": 1000, "estimateMs": 300, "gang": true,
	}}}
	stream := make(chan struct{})
	streamed := s.streamSmallJobs(stream)
	var clients sync.WaitGroup
	states := make([]string, jobs)
	for i := range jobs {
		handIn := func() {
			if s.submit(queuePath+jobID(i), job, 10*time.Second) {
				states[i] = s.awaitState(queuePath+jobID(i), 80*time.Second, "succeeded", "failed")
			}
		}
		if trouble {
			clients.Go(handIn)
			continue
		}
		handIn()
	}
	clients.Wait()
	close(stream)
	<-streamed
	for i, state := range states {
		if state != "succeeded" {
			return couldNot, fmt.Sprintf("could not run: job %s is %q at the end", jobID(i), state), nil
		}
	}
	if alone := r.endsOf("alone"); len(alone) > 0 {
		return broken, fmt.Sprintf("GANG broken: %d runs have ended alone; %d gangs of 4 tasks", len(alone), jobs), alone
	}
	return held, fmt.Sprintf("GANG held; %d gangs of 4 tasks, %d starts", jobs, r.started()), nil
}

// streamSmallJobs hands in a job of four small tasks each 40 ms until the channel is closed, and
// returns a channel that is closed once all are handed in.
func (s *system) streamSmallJobs(stop chan struct{}) chan struct{} {
	over := make(chan struct{})
	job := map[string]any{"spec": "work 100ms", "steps": []any{map[string]any{"count": 4, "cpu": 200, "memMb": 50, "estimateMs": 100}}}
	go func() {
		defer close(over)
		var clients sync.WaitGroup
		defer clients.Wait()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
				clients.Go(func() { s.submit(queuePath+fmt.Sprintf("0a5e6a62ffa5%04x", i), job, 5*time.Second) })
			}
		}
	}()
	return over
}
