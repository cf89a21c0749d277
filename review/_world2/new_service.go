package main

import (
	"fmt"
	"time"
)

const (
	// poolsConfig sends the queue to the pool %s. The machines of the pool reserve are off.
	poolsConfig = `{"version":%d,"routes":[{"name":"fold","host":"fold.example","pathPrefix":"/fold/","sloMs":1000,"priority":0,` +
		`"service":"%s","maxAttempts":3,"stretch":2.0,"timeoutMs":3000}],"services":[{"name":"plieur","enforcesCapacity":false},` +
		`{"name":"reserve","enforcesCapacity":false,"standby":true}],"limits":{"maxBodyBytes":262144,"maxHeaderBytes":16384}}`
	// finishTime is finish_s.
	finishTime = 14 * time.Second
	// idleLimit is how long a job may have nothing running while there is capacity.
	idleLimit = 3 * time.Second
)

// playNewService accepts a job while the queue is sent to a pool whose machines are
// off, and then sends the queue to the pool with the executors.
func playNewService(w *World, trouble bool) []string {
	w.Outcome = func(string, int) (time.Duration, string) { return time.Second, "done" }
	w.Executors = newExecutors(6, 0)
	first := "plieur"
	if trouble {
		first = "reserve"
	}
	w.Begin(2, fmt.Sprintf(poolsConfig, 3, first))
	ids := []string{"21d94b36f85c0e7a", "d94b36f85c0e7a21"}
	job := &Job{Spec: "folds", Steps: []Step{{Count: 4, CPU: 500, MemMb: 256, EstimateMs: 1000}}}
	if !w.Submit(queuePrefix, ids[0], job) {
		fail("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	w.Publish(fmt.Sprintf(poolsConfig, 7, "plieur"))
	time.Sleep(3 * time.Second)
	if !w.Submit(queuePrefix, ids[1], job) {
		fail("the job was not accepted")
	}
	ended := time.Now()
	w.waitForEnd(queuePrefix, ids[1], 10*time.Second)
	time.Sleep(time.Until(ended.Add(finishTime)))
	var broken []string
	for _, id := range ids {
		broken = append(broken, w.idleJob(queuePrefix, id, w.Executors)...)
	}
	return broken
}
