package soak_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// submitJobs submits jobs until ctx ends, each up to four times until it is
// accepted, and sends the accepted ones to jobs.
func (f *fleet) submitJobs(ctx context.Context, caller int, seed uint64, jobs chan<- string) {
	client := &http.Client{Timeout: 3 * time.Second}
	random := rand.New(rand.NewPCG(seed, uint64(caller)))
	body := submittedBody()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%02x%06x", seed, caller, n)
		for attempt := 0; attempt < 4 && ctx.Err() == nil; attempt++ {
			response := f.sendRequest(client, http.MethodPost, f.entries[random.IntN(entryCount)], id, body)
			f.checker.recordAttempts(id, response)
			if response.accepted() {
				jobs <- id
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Duration(50+random.IntN(100)) * time.Millisecond)
	}
}

// submittedBody is the body of a job of two short steps.
func submittedBody() string {
	request := fmt.Sprintf(`"cpu":%d,"memMb":%d`, submittedMillicores, submittedMegabytes)
	return fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,%s},{"count":%d,%s,"after":[0]}]}`, firstStepTasks, request, secondStepTasks, request)
}

// response is what a caller learns of a request. The status is 0 if the connection
// broke off without a complete response, and timedOut if none arrived in time.
type response struct {
	status           int
	text, retryAfter string
}

func (r *response) accepted() bool { return r.status >= 200 && r.status < 300 }

// refused reports whether the response promises that the job has not run and will not.
func (r *response) refused() bool {
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
}

const (
	// timedOut is the status of a request that an entry may still read later.
	timedOut = -1
	// unsent is the status of a request whose connection was refused.
	unsent = -2
)

// prefixOf returns the path prefix of the queue of a job.
func prefixOf(id string) string {
	if isBulk(id) || isLarge(id) {
		return bulkPrefix
	}
	return pathPrefix
}

func (f *fleet) newRequest(method string, p *process, id, body string) (*http.Request, error) {
	request, err := http.NewRequest(method, "http://"+p.callersAddress+prefixOf(id)+id, strings.NewReader(body))
	if err == nil {
		request.Host = hostHeader
	}
	return request, err
}

func (f *fleet) sendRequest(client *http.Client, method string, p *process, id, body string) response {
	body = specified(id, body)
	request, err := f.newRequest(method, p, id, body)
	if err != nil {
		return response{}
	}
	if method == http.MethodDelete {
		return f.sendCancellation(p, id, func() response { return receive(client, request) })
	}
	if method == http.MethodPost {
		f.checker.recordSubmission(id, body)
	}
	return receive(client, request)
}

func receive(client *http.Client, request *http.Request) response {
	received, err := client.Do(request)
	if err != nil {
		return failedResponse(err)
	}
	defer func() { _ = received.Body.Close() }()
	text, err := io.ReadAll(received.Body)
	if err != nil {
		return failedResponse(err)
	}
	return response{
		status:     received.StatusCode,
		text:       string(text),
		retryAfter: received.Header.Get("Retry-After"),
	}
}

func failedResponse(err error) response {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return response{status: timedOut}
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return response{status: unsent}
	}
	return response{}
}

// awaitJobs waits until every job has succeeded or its caller's cancellation has ended
// it, and checks the tasks of those that succeeded.
func (f *fleet) awaitJobs(jobs <-chan string) {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(recoveryLimit)
	for id := range jobs {
		for {
			response := f.sendRequest(client, http.MethodGet, f.entries[0], id, "")
			if response.status == http.StatusOK && strings.Contains(response.text, "succeeded") {
				f.checker.checkFinished(id)
				break
			}
			if response.status == http.StatusOK && strings.Contains(response.text, canceledState) && f.checker.endCanceled(id) {
				break
			}
			if time.Now().After(deadline) {
				f.t.Errorf("job %s did not succeed within %s after the faults: status %d %s", id, recoveryLimit, response.status, response.text)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
