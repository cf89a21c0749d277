package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// reset breaks off the connection of a request with a reset.
func reset(w http.ResponseWriter) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

// playEarlyRunning hands in three jobs, for each of which only one executor has the label, while
// these executors reset all requests that they get, and asks how many jobs of the queue have not
// begun.
func playEarlyRunning(r *record, root string, trouble bool) (int, string, []string) {
	const (
		executors = 20
		jobs      = 3
		greyFor   = 6500 * time.Millisecond
		// visible is the bound visible_ms, with the 2 s that the rule adds.
		visible = 5 * time.Second
	)
	var grey atomic.Bool
	s, err := newSystem(r, root, 3, executors, func(i int, e *executor) {
		if i < jobs {
			e.labels[0] = labelOf(i)
			e.before = func(w http.ResponseWriter, _ *http.Request) (answered bool) {
				if grey.Load() {
					reset(w)
				}
				return grey.Load()
			}
		}
	})
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return couldNot, "could not run: " + err.Error(), nil
	}
	if !s.awaitReady(20 * time.Second) {
		return couldNot, "could not run: the executors got no lease", nil
	}
	for _, front := range s.fronts {
		if !s.awaitConfig(front, 10*time.Second) {
			return couldNot, "could not run: an entry has no configuration", nil
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		r.write("%d executors reset all requests for %s", jobs, greyFor)
		grey.Store(true)
		time.AfterFunc(greyFor, func() {
			r.write("they answer again")
			grey.Store(false)
		})
	}
	accepted := make(chan bool, jobs)
	for i := range jobs {
		go func() { accepted <- s.submit(queuePath+jobID(i), labelledJob(labelOf(i)), 5*time.Second) }()
	}
	for range jobs {
		if !<-accepted {
			return couldNot, "could not run: a job was not accepted", nil
		}
	}
	time.Sleep(visible)
	wrong, least := 0, jobs
	var grounds []string
	for begun := time.Now(); r.started() == 0 && time.Since(begun) < 3*time.Second; time.Sleep(100 * time.Millisecond) {
		for i, front := range s.fronts {
			status, answer := s.call(front, http.MethodGet, queuePath, nil)
			pending, _ := answer["pending"].(float64)
			if status != http.StatusOK || r.started() > 0 {
				continue
			}
			r.write("GET the queue at edge-%d: pending %.0f; %d jobs have not begun", i+1, pending, jobs)
			least = min(least, int(pending))
			if 2*int(pending) < jobs {
				wrong++
				grounds = append(grounds, fmt.Sprintf("edge-%d gives %.0f jobs as pending, and %d have not begun", i+1, pending, jobs))
			}
		}
	}
	state := s.awaitState(queuePath+jobID(0), time.Second, "running", "queued")
	if wrong > 0 {
		return broken, fmt.Sprintf("MIXED broken: %d answers give under half of the %d jobs as pending, the lowest %d; the first job is shown as %q", wrong, jobs, least, state), grounds
	}
	return held, fmt.Sprintf("MIXED held; lowest number of pending jobs %d of %d, %d starts", least, jobs, r.started()), nil
}

func labelOf(i int) string { return fmt.Sprintf("kind-%d", i) }

func labelledJob(label string) map[string]any {
	return map[string]any{"spec": "work 20s", "steps": []any{map[string]any{
		"count": 1, "cpu": 500, "memMb": 200, "estimateMs": 20000, "requirements": label,
	}}}
}
