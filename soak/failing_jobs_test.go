package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	failingJobTasks = 40
	// failingLeaders is the number of leaders that are lost in series beside a failing job.
	failingLeaders = 3
)

// isFailing reports whether the tasks of a job, or a task, fail.
func isFailing(id string) bool { return len(id) > 8 && id[8] == 'e' }

// Guards against lasting and healthy tasks that wait until a job is over whose tasks all
// fail, while an executor and one leader after another are lost. Tasks that last are
// started again however often they fail.
func TestJobsBesideAFailingJob(t *testing.T) {
	const lasting, failing, healthy = "00000000d0000001", "00000000e0000001", "0000000000000001"
	f := newFleet(t, 0)
	for _, h := range f.executors {
		h.executor.SetFailing(isFailing)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := &http.Client{Timeout: 3 * time.Second}
	random := rand.New(rand.NewPCG(0, 0))
	f.submitRepeatedly(ctx, client, random, lasting, lastingBody())
	f.awaitRuns(lastingTasks(lasting))
	f.submitUntilAccepted(failing, fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":%d,"memMb":%d,"longRunning":true}]}`, failingJobTasks, submittedMillicores, submittedMegabytes))
	var faults, watching sync.WaitGroup
	watching.Go(func() { f.watchLasting(ctx) })
	faults.Go(func() { f.loseExecutor(ctx, lostExecutor{host: 0, absence: recoveryLimit}) })
	for range failingLeaders {
		f.loseLeader(ctx, plannedFault{kind: killed, lasting: 4 * time.Second}, &faults)
		pause(ctx, 2*time.Second)
	}
	f.submitRepeatedly(ctx, client, random, healthy, submittedBody())
	f.awaitSuccess(healthy)
	f.awaitLasting([]string{lasting})
	cancel()
	faults.Wait()
	watching.Wait()
	for _, violation := range f.checker.report() {
		t.Error(violation)
	}
}

// awaitRuns waits until each task has a run.
func (f *fleet) awaitRuns(tasks []string) {
	f.t.Helper()
	for deadline := time.Now().Add(recoveryLimit); !f.checker.allRun(tasks); time.Sleep(lastingInterval) {
		if time.Now().After(deadline) {
			f.t.Fatalf("some of %v do not run within the recovery limit", tasks)
		}
	}
}

// allRun reports whether each task has a run in progress.
func (c *checker) allRun(tasks []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, task := range tasks {
		if len(c.running[task]) == 0 {
			return false
		}
	}
	return true
}
