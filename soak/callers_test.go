package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// submitJobs submits jobs until ctx ends, each up to four times until it is
// accepted, and sends the accepted ones to jobs.
func (f *fleet) submitJobs(ctx context.Context, caller int, seed uint64, jobs chan<- string) {
	client := &http.Client{Timeout: 3 * time.Second}
	random := rand.New(rand.NewPCG(seed, uint64(caller)))
	request := fmt.Sprintf(`"cpu":%d,"memMb":%d`, submittedMillicores, submittedMegabytes)
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,%s},{"count":%d,%s,"after":[0]}]}`, firstStepTasks, request, secondStepTasks, request)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%02x%06x", seed, caller, n)
		mayRun := false
		for attempt := 0; attempt < 4 && ctx.Err() == nil; attempt++ {
			status := f.requestStatus(client, http.MethodPost, f.entries[random.IntN(entryCount)], id, body)
			refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
			mayRun = mayRun || !refused
			f.checker.recordAttempt(id, mayRun, status == http.StatusOK)
			if status == http.StatusOK {
				jobs <- id
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Duration(50+random.IntN(100)) * time.Millisecond)
	}
}

// requestStatus returns the status of a request, or 0 if no complete response
// arrived, as when the connection was refused.
func (f *fleet) requestStatus(client *http.Client, method string, p *process, id, body string) int {
	status, _ := f.sendRequest(client, method, p, id, body)
	return status
}

func (f *fleet) sendRequest(client *http.Client, method string, p *process, id, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+p.callersAddress+pathPrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = hostHeader
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// awaitJobs waits until every job has succeeded, and checks its tasks.
func (f *fleet) awaitJobs(jobs <-chan string) {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(recoveryLimit)
	for id := range jobs {
		for {
			status, text := f.sendRequest(client, http.MethodGet, f.entries[0], id, "")
			if status == http.StatusOK && strings.Contains(text, "succeeded") {
				f.checker.checkFinished(id)
				break
			}
			if time.Now().After(deadline) {
				f.t.Errorf("job %s did not succeed within %s after the faults: status %d %s", id, recoveryLimit, status, text)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
