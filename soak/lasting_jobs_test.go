package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"damaskspread.example/damaskspread/wire"
)

const (
	// firstLastingCaller is the first caller number in the ids of lasting jobs.
	firstLastingCaller = 0xd0
	// The tasks of all lasting jobs fit on one executor.
	lastingJobs, lastingJobTasks = 6, 4
	lastingMillicores            = 300
	// lastingInterval is the time between two checks of lasting tasks.
	lastingInterval = 50 * time.Millisecond
)

var lastingStep = &wire.JobStep{
	Resources: &wire.Resources{Millicores: lastingMillicores, MemoryBytes: submittedMegabytes * megabyte},
}

// isLasting reports whether the tasks of a job, or a task, last until they are stopped.
func isLasting(id string) bool { return len(id) > 8 && id[8] == 'd' }

func lastingTasks(job string) []string {
	tasks := make([]string, lastingJobTasks)
	for i := range tasks {
		tasks[i] = fmt.Sprintf("%s.0.0.%d", job, i)
	}
	return tasks
}

// lastingBody is the body of a lasting job.
func lastingBody() string {
	return fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":%d,"memMb":%d,"longRunning":true}]}`, lastingJobTasks, lastingMillicores, submittedMegabytes)
}

// submitLasting submits the lasting jobs, half of them at once. One of three is canceled.
// It returns the accepted ones when ctx ends.
func (f *fleet) submitLasting(ctx context.Context, seed uint64) (accepted []string) {
	random := rand.New(rand.NewPCG(seed, firstLastingCaller))
	client := &http.Client{Timeout: 3 * time.Second}
	body := lastingBody()
	var canceling sync.WaitGroup
	for n := range lastingJobs {
		id := fmt.Sprintf("%08x%02x%06x", seed, firstLastingCaller, n)
		if f.submitRepeatedly(ctx, client, random, id, body) {
			accepted = append(accepted, id)
		}
		entry, canceledAfter := random.IntN(entryCount), randomTime(random, 1000, 9000)
		if random.IntN(3) == 0 {
			canceling.Go(func() { f.cancelAfter(ctx, id, entry, canceledAfter) })
		}
		if wait := randomTime(random, 500, 2500); n >= lastingJobs/2 {
			pause(ctx, wait)
		}
	}
	canceling.Wait()
	return accepted
}

// submitRepeatedly submits a job until it is accepted, and reports whether it was.
func (f *fleet) submitRepeatedly(ctx context.Context, client *http.Client, random *rand.Rand, id, body string) bool {
	for ctx.Err() == nil {
		response := f.sendRequest(client, http.MethodPost, f.entries[random.IntN(entryCount)], id, body)
		f.checker.recordAttempts(id, response)
		if response.accepted() {
			return true
		}
		pause(ctx, 100*time.Millisecond)
	}
	return false
}

// watchLasting checks the lasting tasks until ctx ends.
func (f *fleet) watchLasting(ctx context.Context) {
	for ctx.Err() == nil {
		f.checker.checkLasting()
		f.checker.checkCanceled()
		pause(ctx, lastingInterval)
	}
}

// awaitLasting waits until all lasting tasks run some time after the faults, and cancels
// their jobs.
func (f *fleet) awaitLasting(ids []string) {
	if len(ids) == 0 {
		return
	}
	deadline := time.Now().Add(recoveryLimit)
	for !f.checker.lastingRun(ids) {
		if time.Now().After(deadline) {
			f.t.Errorf("some lasting tasks of %v do not run %s after the faults", ids, recoveryLimit)
			break
		}
		time.Sleep(lastingInterval)
	}
	f.cancelAll(ids, deadline.Add(recoveryLimit))
}

// cancelAll cancels jobs until the deadline and waits for their ends.
func (f *fleet) cancelAll(ids []string, deadline time.Time) {
	client := &http.Client{Timeout: 3 * time.Second}
	jobs := make(chan string, len(ids))
	for _, id := range ids {
		f.checker.requestCancellation(id)
		for !f.cancel(client, id, 0) {
			if time.Now().After(deadline) {
				f.t.Errorf("the cancellation of %s was not accepted", id)
				break
			}
			time.Sleep(lastingInterval)
		}
		jobs <- id
	}
	close(jobs)
	f.awaitJobs(jobs)
}
