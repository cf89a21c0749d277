package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"damaskspread.example/damaskspread/wire"
)

const (
	bulkCallers = 4
	// bulkCallersBesideRestarts leaves room for the long jobs, and for the tasks that run
	// alone on a host because they are suspected of a crash.
	bulkCallersBesideRestarts = 1
	// firstBulkCaller is the first caller number in the ids of bulk jobs.
	firstBulkCaller = 0x80
	// Phases of overload alternate with phases without bulk jobs, in which refused
	// callers return.
	overloadPhase, calmPhase = 3 * time.Second, 2 * time.Second
	// bulkDrainTime is the time before the end of a run in which no new bulk job is
	// submitted, so that the accepted ones don't prolong the run.
	bulkDrainTime = 4 * time.Second
	// pairInterval is the time between two attempts at two entries at the same time.
	pairInterval = 600 * time.Millisecond
	// maxBulkAttempts bounds how often a caller returns with an id.
	maxBulkAttempts = 4
)

// The manners in which callers return.
const (
	afterRetryTime = iota
	// atOnce callers also send an accepted job again, which must not be refused.
	atOnce
	toTwoEntries
	mannerCount
)

// isBulk reports whether a job, or the job of a task, is a bulk job.
func isBulk(id string) bool { return len(id) > 8 && id[8] == '8' }

// stepOf returns the specification of a task.
func stepOf(task string) *wire.JobStep {
	switch {
	case isBulk(task) || isLarge(task):
		return bulkStep
	case isLasting(task):
		return lastingStep
	default:
		return submittedStep
	}
}

// submitBulk submits jobs in phases of overload until ctx ends. The callers of refused
// ones return in three ways, at random: after Retry-After, at once, and at two entries
// at the same time.
func (f *fleet) submitBulk(ctx context.Context, caller int, seed uint64, jobs chan<- string) {
	random := rand.New(rand.NewPCG(seed, uint64(firstBulkCaller+caller)))
	var returning sync.WaitGroup
	started := time.Now()
	end, _ := ctx.Deadline()
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(started)%(overloadPhase+calmPhase) < overloadPhase && time.Until(end) > bulkDrainTime {
			id := fmt.Sprintf("%08x%02x%06x", seed, firstBulkCaller+caller, n)
			manner, entry := random.IntN(mannerCount), random.IntN(entryCount)
			returning.Go(func() { f.submitBulkJob(ctx, id, manner, entry, jobs) })
		}
		pause(ctx, time.Duration(80+random.IntN(80))*time.Millisecond)
	}
	returning.Wait()
}

// submitBulkJob sends one job until it is accepted, each time to the next entry.
func (f *fleet) submitBulkJob(ctx context.Context, id string, manner, entry int, jobs chan<- string) {
	request := fmt.Sprintf(`"cpu":%d,"memMb":%d,"estimateMs":%d`, stepOf(id).GetResources().GetMillicores(), submittedMegabytes, taskDuration.Milliseconds())
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,%s},{"count":%d,%s,"after":[0]}]}`, firstStepTasks, request, secondStepTasks, request)
	client := &http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for attempt := 0; attempt < maxBulkAttempts && ctx.Err() == nil; attempt++ {
		responses := make([]response, 1)
		if manner == toTwoEntries {
			responses = make([]response, 2)
		}
		var requests sync.WaitGroup
		for i := range responses {
			requests.Go(func() {
				responses[i] = f.sendRequest(client, http.MethodPost, f.entries[(entry+attempt+i)%entryCount], id, body)
			})
		}
		requests.Wait()
		f.checker.recordAttempts(id, responses...)
		for _, response := range responses {
			if response.accepted() {
				jobs <- id
				if manner == atOnce {
					f.checker.recordAttempts(id, f.sendRequest(client, http.MethodPost, f.entries[(entry+attempt+1)%entryCount], id, body))
				}
				return
			}
		}
		switch seconds, _ := strconv.Atoi(responses[0].retryAfter); manner {
		case afterRetryTime:
			pause(ctx, time.Duration(seconds)*time.Second)
		case toTwoEntries:
			// The attempts of an id spread over several estimates.
			pause(ctx, pairInterval)
		}
	}
}
