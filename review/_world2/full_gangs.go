package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	renderPrefix = "/render/"
	// bothConfig adds a queue of less urgent jobs to smallConfig.
	bothConfig = `{"version":5,"routes":[{"name":"fold","host":"fold.example","pathPrefix":"/fold/","sloMs":1000,"priority":0,` +
		`"service":"plieur","maxAttempts":3,"stretch":2.0,"timeoutMs":3000},{"name":"render","host":"fold.example","pathPrefix":"/render/",` +
		`"sloMs":1000,"priority":2,"service":"plieur","maxAttempts":3,"stretch":2.0,"timeoutMs":3000}],` +
		`"services":[{"name":"plieur","enforcesCapacity":false}],"limits":{"maxBodyBytes":262144,"maxHeaderBytes":16384}}`

	gangJobs, gangSteps, gangSize = 3, 20, 3
	// gangCPU fits twice on an executor.
	gangCPU  = 7000
	gangTime = 300 * time.Millisecond

	renderTasks = 60
	renderCPU   = 2000
	renderTime  = 500 * time.Millisecond
	renderEvery = 800 * time.Millisecond
)

// playFullGangs runs jobs whose steps are gangs, one job after the other. The change
// of the configuration adds a queue whose jobs take the room that the gangs leave.
func playFullGangs(w *World, trouble bool) []string {
	w.Outcome = func(task string, _ int) (time.Duration, string) {
		if w.stepOf(task).Gang {
			return gangTime, "done"
		}
		return renderTime, "done"
	}
	w.quiet = true
	w.Executors = newExecutors(6, 0)
	w.Begin(2, smallConfig)
	if trouble {
		w.Publish(bothConfig)
		time.Sleep(3 * time.Second)
	}
	over := make(chan struct{})
	rendered := make(chan struct{})
	go func() {
		defer close(rendered)
		w.submitRenders(over)
	}()
	for i := range gangJobs {
		id := fmt.Sprintf("36f85c0e7a21d9%02x", i)
		if !w.Submit(queuePrefix, id, gangJob()) {
			fail("the job was not accepted")
		}
		w.waitForEnd(queuePrefix, id, 15*time.Second)
	}
	close(over)
	<-rendered
	return w.endedAlone()
}

// gangJob returns a job whose steps are gangs that follow each other.
func gangJob() *Job {
	job := &Job{Spec: "folds that work together"}
	for i := range gangSteps {
		step := Step{Count: gangSize, CPU: gangCPU, MemMb: 512, EstimateMs: int(gangTime.Milliseconds()), Gang: true, AntiAffinity: 1}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// submitRenders hands jobs in to the queue that the change of the configuration adds.
// Without it, they get 404.
func (w *World) submitRenders(over chan struct{}) {
	for i := 0; ; i++ {
		id := fmt.Sprintf("94b36f85c0e7%04x", i)
		job := &Job{
			Spec:  "renders",
			Steps: []Step{{Count: renderTasks, CPU: renderCPU, MemMb: 256, EstimateMs: int(renderTime.Milliseconds())}},
		}
		w.mu.Lock()
		w.jobs[id] = job
		w.mu.Unlock()
		body, _ := json.Marshal(job)
		p := w.Entries[i%len(w.Entries)]
		status, answer := w.call(p, "POST", renderPrefix+id, body)
		w.Notef("POST   %s%s at %s: %d %s", renderPrefix, id, p.Name, status, answer)
		select {
		case <-over:
			return
		case <-time.After(renderEvery):
		}
	}
}

// endedAlone returns the runs that break GANG.
func (w *World) endedAlone() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var broken []string
	for _, end := range w.Ends {
		if end.How == "alone" {
			broken = append(broken, fmt.Sprintf("GANG: %s run %d on %s ended alone at %.3f", end.Task, end.Run, end.On, w.at(end.At)))
		}
	}
	return broken
}
