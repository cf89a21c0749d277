package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	queuePrefix  = "/fold/"
	renderPrefix = "/render/"
	// smallConfig has one queue of the site's kinds.
	smallConfig = `{"version":3,"routes":[{"name":"fold","host":"fold.example","pathPrefix":"/fold/","sloMs":1000,"priority":0,` +
		`"service":"plieur","maxAttempts":3,"stretch":2.0,"timeoutMs":3000}],"services":[{"name":"plieur","enforcesCapacity":false}],` +
		`"limits":{"maxBodyBytes":262144,"maxHeaderBytes":16384}}`
	// bothConfig adds a queue of less urgent jobs to smallConfig.
	bothConfig = `{"version":5,"routes":[{"name":"fold","host":"fold.example","pathPrefix":"/fold/","sloMs":1000,"priority":0,` +
		`"service":"plieur","maxAttempts":3,"stretch":2.0,"timeoutMs":3000},{"name":"render","host":"fold.example","pathPrefix":"/render/",` +
		`"sloMs":1000,"priority":2,"service":"plieur","maxAttempts":3,"stretch":2.0,"timeoutMs":3000}],` +
		`"services":[{"name":"plieur","enforcesCapacity":false}],"limits":{"maxBodyBytes":262144,"maxHeaderBytes":16384}}`
	// room is that of the deployment's executors, 16 cores and 62.5 GB.
	roomCPU, roomMemMb = 16000, 64000
)

// newExecutors returns executors of the small deployment. Those before special have
// the label "b", the others "a".
func newExecutors(count, special int) []*Executor {
	var executors []*Executor
	for i := range count {
		kind := "a"
		if i < special {
			kind = "b"
		}
		executors = append(executors, &Executor{
			Name:     fmt.Sprintf("x%d", i+1),
			Service:  "plieur",
			Zone:     "qc-est-a",
			Labels:   []string{kind, fmt.Sprintf("r1-%d", i/3)},
			Capacity: Capacity{CPU: roomCPU, MemMb: roomMemMb},
		})
	}
	return executors
}

const (
	manyTasks    = 2800
	manyTaskTime = 2 * time.Second
	// agentDown is shorter than the 3.5 s that the site's machines are dark.
	agentDown = 2500 * time.Millisecond
)

// playManyEnds kills the agent of an executor on which more than a thousand small
// tasks are at work, and starts it again once these have ended. An executor lists
// 500 ends at a time.
func playManyEnds(w *World, trouble bool) []string {
	w.quiet = true
	w.Outcome = func(string, int) (time.Duration, string) { return manyTaskTime, "done" }
	w.Executors = newExecutors(6, 2)
	w.Begin(2, smallConfig)
	id := "5c0e7a21d94b36f8"
	job := &Job{
		Spec:  "many small folds",
		Steps: []Step{{Count: manyTasks, CPU: 10, MemMb: 20, EstimateMs: 2000, Requirements: "b"}},
	}
	if !w.Submit(queuePrefix, id, job) {
		fail("the job was not accepted")
	}
	if !w.WaitFor(15*time.Second, func() bool { return len(w.Starts) >= manyTasks }) {
		w.Notef("only %d of %d tasks started", len(w.Starts), manyTasks)
	}
	agent := w.Agents[0]
	if trouble {
		w.Kill(agent)
		w.mu.Lock()
		w.notef("%d runs on executor %s", len(w.Executors[0].runs), w.Executors[0].id)
		w.mu.Unlock()
		time.Sleep(agentDown)
		w.mu.Lock()
		w.notef("%d ends wait on executor %s, %d runs are left", len(w.Executors[0].ended), w.Executors[0].id, len(w.Executors[0].runs))
		w.mu.Unlock()
		w.StartProcess(agent)
	}
	w.waitForEnd(queuePrefix, id, 40*time.Second)
	time.Sleep(3 * time.Second)
	return w.runTwice()
}

// waitForEnd waits until a job is shown as ended.
func (w *World) waitForEnd(prefix, id string, limit time.Duration) string {
	deadline := time.Now().Add(limit)
	state := ""
	for time.Now().Before(deadline) {
		state = w.State(prefix, id)
		if state != "queued" && state != "running" {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.Notef("GET    %s%s: %s", prefix, id, state)
	return state
}

// runTwice returns the starts that break TWICE: after a run of the task has ended
// done, if that end was taken note of then or later, and the lease of the executor
// had not lapsed between.
func (w *World) runTwice() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ends := map[string][]RunEnd{}
	for _, end := range w.Ends {
		ends[end.Task] = append(ends[end.Task], end)
	}
	var broken []string
	for _, start := range w.Starts {
		for _, end := range ends[start.Task] {
			if end.How != "done" || end.Run == start.Run || end.At.After(start.At) || end.NotedAt.IsZero() || end.Lapsed {
				continue
			}
			broken = append(broken, fmt.Sprintf("TWICE: %s run %d starts on %s at %.3f; run %d has ended done on %s at %.3f, taken note of at %.3f",
				start.Task, start.Run, start.On, w.at(start.At), end.Run, end.On, w.at(end.At), w.at(end.NotedAt)))
		}
	}
	return broken
}

func (w *World) at(t time.Time) float64 { return t.Sub(w.began).Seconds() }

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
