package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// firstCancelSeed is the first seed with waves of cancellations. The odd ones have no
	// other faults than those beside the waves, so that it is calm between two waves.
	firstCancelSeed = 600
	// abandonedStream is the stream of the random numbers of these jobs.
	abandonedStream = 0xaba
	// Caller numbers in the ids of jobs whose callers may give up their cancellation: tasks
	// that last, and tasks that wait for room.
	lastingAbandoned, bulkAbandoned = 0xd8, 0x88
	// queuedTasks is the number of tasks of the first step that wait for room. They take more
	// than a second on all hosts.
	queuedTasks = 5 * firstStepTasks
	// abandonDrainTime is the time before the end of a run in which no new one is submitted.
	abandonDrainTime = 3 * time.Second
	// maxAbandoned bounds the jobs that run until a wave cancels them.
	maxAbandoned = 16
)

// The manners in which callers cancel.
const (
	untilAnswered = iota
	// givingUp callers close the connection before the answer, breakingOff ones reset it.
	givingUp
	breakingOff
	// withDeadline callers also tell the entry for how long they wait.
	withDeadline
	cancelMannerCount
)

// plannedCancel is a cancellation that a wave or a submission will send.
type plannedCancel struct {
	manner, entry int
	delay, wait   time.Duration
}

func drawCancel(random *rand.Rand) plannedCancel {
	return plannedCancel{
		manner: random.IntN(cancelMannerCount),
		entry:  random.IntN(entryCount),
		delay:  randomTime(random, 0, 1500),
		wait:   randomTime(random, 300, 3000),
	}
}

// abandonedJobs are the jobs whose cancellation is given up, or that a wave will cancel.
type abandonedJobs struct {
	mu       sync.Mutex
	live     []string
	accepted []string
}

func (a *abandonedJobs) add(id string, isLive bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accepted = append(a.accepted, id)
	if isLive {
		a.live = append(a.live, id)
	}
}

// takeLive returns up to a number of the jobs that no wave has canceled yet.
func (a *abandonedJobs) takeLive(limit int) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.live[:min(limit, len(a.live))]
	a.live = a.live[len(taken):]
	return taken
}

func (a *abandonedJobs) liveCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.live)
}

// submitAbandoned submits jobs until abandonDrainTime before the end of ctx. One of three is
// canceled while its submission is unanswered, the others by the waves.
func (f *fleet) submitAbandoned(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, abandonedStream))
	client := &http.Client{Timeout: 3 * time.Second}
	end, _ := ctx.Deadline()
	var canceling sync.WaitGroup
	for n := 0; time.Until(end) > abandonDrainTime; n++ {
		caller, body := lastingAbandoned, fmt.Sprintf(`{"spec":"x","steps":[{"count":2,"cpu":%d,"memMb":%d,"longRunning":true}]}`, lastingMillicores, submittedMegabytes)
		if random.IntN(2) == 0 {
			caller, body = bulkAbandoned, fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":%d,"memMb":%d},{"count":%d,"cpu":%d,"memMb":%d,"after":[0]}]}`,
				queuedTasks, bulkMillicores, submittedMegabytes, secondStepTasks, bulkMillicores, submittedMegabytes)
		}
		id := fmt.Sprintf("%08x%02x%06x", seed, caller, n)
		cancel, early, pace := drawCancel(random), random.IntN(3) == 0, randomTime(random, 80, 250)
		entry, heldBack, again := random.IntN(entryCount), randomTime(random, 0, 1500), randomTime(random, -1500, 3000)
		switch {
		case early:
			canceling.Go(func() { f.cancelSubmission(id, body, entry, heldBack, again, cancel) })
		case f.abandoned.liveCount() < maxAbandoned:
			response := f.sendRequest(client, http.MethodPost, f.entries[entry], id, body)
			f.checker.recordAttempts(id, response)
			if response.accepted() {
				f.abandoned.add(id, true)
			}
		}
		pause(ctx, pace)
	}
	canceling.Wait()
}

// cancelSubmission cancels a job whose submission is unanswered: the last byte of its body is
// held back. It sends the job again afterwards if that time is positive.
func (f *fleet) cancelSubmission(id, body string, entry int, heldBack, again time.Duration, cancel plannedCancel) {
	client := &http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	var sending sync.WaitGroup
	submit := func(entry int, heldBack time.Duration) {
		response := f.sendSlowly(client, f.entries[entry%entryCount], id, body, heldBack)
		f.checker.recordAttempts(id, response)
		if response.accepted() {
			f.abandoned.add(id, false)
		}
	}
	sending.Go(func() {
		submit(entry, heldBack)
		if again > 0 {
			time.Sleep(again)
			submit(entry+1, 0)
		}
	})
	sending.Go(func() { f.sendCancel(id, cancel) })
	sending.Wait()
}

// sendSlowly submits a job and holds back the last byte of its body.
func (f *fleet) sendSlowly(client *http.Client, p *process, id, body string, heldBack time.Duration) response {
	request, err := f.newRequest(http.MethodPost, p, id, body)
	if err != nil {
		return response{}
	}
	reader, writer := io.Pipe()
	whole := specified(id, body)
	f.checker.recordSubmission(id, whole)
	go func() {
		_, _ = io.WriteString(writer, whole[:len(whole)-1])
		time.Sleep(heldBack)
		_, _ = io.WriteString(writer, whole[len(whole)-1:])
		_ = writer.Close()
	}()
	request.Body, request.GetBody = reader, nil
	return receive(client, request)
}

// sendCancel cancels a job in one of the manners.
func (f *fleet) sendCancel(id string, cancel plannedCancel) {
	time.Sleep(cancel.delay)
	client := &http.Client{Timeout: cancel.wait}
	defer client.CloseIdleConnections()
	p := f.entries[cancel.entry]
	switch cancel.manner {
	case untilAnswered:
		client.Timeout = 3 * time.Second
		f.cancel(client, id, cancel.entry)
	case breakingOff:
		f.sendCancellation(p, id, func() response { return breakOff(p, id, cancel.wait) })
	case givingUp:
		f.sendRequest(client, http.MethodDelete, p, id, "")
	case withDeadline:
		request, err := f.newRequest(http.MethodDelete, p, id, "")
		if err != nil {
			return
		}
		request.Header.Set("X-Deadline-Ms", fmt.Sprint(cancel.wait.Milliseconds()))
		f.sendCancellation(p, id, func() response { return receive(client, request) })
	}
}

// breakOff cancels a job and resets the connection if there is no answer in time.
func breakOff(p *process, id string, wait time.Duration) response {
	conn, err := net.DialTimeout("tcp", p.callersAddress, wait)
	if err != nil {
		return response{status: unsent}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err := fmt.Fprintf(conn, "DELETE %s%s HTTP/1.1\r\nHost: %s\r\n\r\n", prefixOf(id), id, hostHeader); err != nil {
		return response{status: unsent}
	}
	status := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, status); err != nil {
		return response{}
	}
	answer := response{}
	_, _ = fmt.Sscan(strings.TrimPrefix(string(status), "HTTP/1.1 "), &answer.status)
	return answer
}

// awaitAbandoned waits until every cancellation counts and its bounds are over, and then
// cancels the jobs until that is acknowledged.
func (f *fleet) awaitAbandoned() {
	if !f.cancels {
		return
	}
	time.Sleep(ackBound + contactTime + cancelBound + stopBound + time.Second)
	f.cancelAll(f.abandoned.accepted, time.Now().Add(recoveryLimit))
}

// Guards against a cancellation that an entry drops because its caller gives up, or the
// connection breaks, while the log does not respond: the tasks run on for good.
func TestAbandonedCancellationEndsTheJob(t *testing.T) {
	jobs := map[string]int{
		"00000000d8000001": givingUp,
		"00000000d8000002": breakingOff,
	}
	f := newFleet(t, 0)
	ctx, cancel := context.WithCancel(context.Background())
	var faults, canceling, watching sync.WaitGroup
	watching.Go(func() { f.watchLasting(ctx) })
	for job := range jobs {
		f.submitUntilAccepted(job, lastingBody())
		f.awaitRuns(lastingTasks(job))
	}
	for _, entry := range f.entries {
		faults.Go(func() { f.inject(ctx, entry, droppingLog, 0, 2*time.Second, 0) })
	}
	time.Sleep(lastingInterval)
	for job, manner := range jobs {
		canceling.Go(func() {
			f.sendCancel(job, plannedCancel{
				manner: manner,
				wait:   500 * time.Millisecond,
			})
		})
	}
	canceling.Wait()
	faults.Wait()
	time.Sleep(ackBound)
	f.awaitStops()
	cancel()
	watching.Wait()
	for _, violation := range f.checker.violations {
		t.Error(violation)
	}
	if f.checker.runsCanceled() {
		t.Errorf("tasks of canceled jobs run on")
	}
}
