package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/emulator"
)

// keyWithPrimary returns a key whose primary is at the host, with the host's
// process. It sends requests with new keys until one runs at the host.
func (j *journal) keyWithPrimary(host string) (string, *process) {
	j.t.Helper()
	key := ""
	waitFor(j.t, readyTimeout, "a key runs at "+host, func() bool {
		r := j.newKeyedRequest("")
		key = r.key
		return j.send(0, r).result() == client.OutcomeRan && j.executionsByPath()[r.path][0].host == host
	})
	return key, j.findProcess(host)
}

// TestKeyRunsOnce guards promise 7: a key that is retried during and after
// failures of the parts that hold its state runs at most once.
func TestKeyRunsOnce(t *testing.T) {
	t.Parallel() // it mostly waits for members to expire
	c := startSerially(t, options{
		hosts:  2,
		limits: quickLimits,
		slots:  32,
	})
	j := newJournal(c, "once")
	for _, failure := range slices.Concat(c.keyLinkFailures(), c.keyProcessFailures()) {
		t.Run(failure.name, func(t *testing.T) { j.checkKeyRunsOnce(t, failure) })
	}
	j.checkAll(t)
}

// checkKeyRunsOnce retries a new key during the failure, a second later and after
// its end.
func (j *journal) checkKeyRunsOnce(t *testing.T, failure keyFailure) {
	t.Helper()
	j.waitEndpoints(2)
	sameShardAs, _ := j.keyWithPrimary("host-0")
	r := j.newKeyedRequest(sameShardAs)
	r.serviceMS, r.firstAttempt, r.timeout = 600, true, 1500*time.Millisecond
	done := j.startRequest(0, r)
	undo := func() {}
	if failure.during != nil {
		undo = failure.during()
	}
	r.firstAttempt = false
	j.retryEverywhere(r)
	<-done
	time.Sleep(time.Second)
	j.retryEverywhere(r)
	undo()
	last := j.retryEverywhere(r)
	if failure.mustRun {
		assert.Equal(t, last.result(), client.OutcomeRan, "%s: %v", last.reason, last.err)
	}
	assert.Equal(t, len(j.executionsByPath()[r.path]), 1)
}

// signalUntilUndone sends a signal to a process. The returned function restarts
// or resumes the process and waits until it is ready.
func (c *cluster) signalUntilUndone(name string, signal syscall.Signal) func() {
	end := signalFault(name, signal).begin(c)
	return func() {
		end()
		c.waitReady(c.findProcess(name))
	}
}

// retryEverywhere sends a key again through both entries at once, then through
// entry 1, and returns the last attempt.
func (j *journal) retryEverywhere(r request) attempt {
	var group sync.WaitGroup
	for entry := range 2 {
		group.Go(func() { j.send(entry, r) })
	}
	group.Wait()
	return j.send(1, r)
}

// TestRepeatedDelivery guards promise 7: a request with a key that arrives
// several times runs once, another request with the same key is refused, and the
// system itself never repeats a request without a key that may have run.
func TestRepeatedDelivery(t *testing.T) {
	c := startCluster(t, options{
		hosts:  3,
		limits: quickLimits,
		slots:  32,
	})
	j := newJournal(c, "repeated")
	for i := range 20 {
		r := j.newKeyedRequest("")
		r.firstAttempt, r.serviceMS = true, i*10
		var group sync.WaitGroup
		for delivery := range 6 {
			group.Go(func() { j.send(delivery, r) })
		}
		group.Wait()
		r.firstAttempt = false
		assert.Equal(t, j.send(0, r).result(), client.OutcomeRan)
		other := j.newRequest()
		other.key = r.key
		a := j.send(i, other)
		assert.Equal(t, a.status, http.StatusConflict)
		assert.Equal(t, a.reason, string(damaskspread.ReasonKeyReused))
		assert.Equal(t, len(j.executionsByPath()[other.path]), 0)
	}
	for _, link := range []string{"caller/entry-0", "agent/host-0", "agent/host-1", "endpoint/host-0", "endpoint/host-2"} {
		for _, size := range []int{1, 250} {
			heal := c.addToxic(link, "limit_data", toCaller, fmt.Sprintf(`"bytes":%d`, size))
			var group sync.WaitGroup
			for i := range 40 {
				r := j.newRequest()
				group.Go(func() { j.send(i, r) })
			}
			group.Wait()
			heal()
		}
	}
	j.checkAll(t)
}

// TestClientRunsOnce guards promises 5 to 7 for requests of the Go client while
// entries and agents fail.
func TestClientRunsOnce(t *testing.T) {
	c := startCluster(t, options{
		hosts:  3,
		limits: quickLimits,
	})
	j := newJournal(c, "client")
	program := &client.Client{
		Entries: j.callers,
		HTTP:    newHTTPClient(),
	}
	ran := 0
	for i, f := range []fault{
		linkFault("caller/entry-0", "limit_data", toCaller, `"bytes":120`),
		linkFault("agent/host-0", "timeout", toCaller, `"timeout":0`),
		linkFault("endpoint/host-1", "limit_data", toCaller, `"bytes":80`),
		refusedLinkFault("agent/host-1"),
		signalFault("host-2", syscall.SIGKILL),
		signalFault("entry-1", syscall.SIGSTOP),
	} {
		end := f.begin(c)
		var group sync.WaitGroup
		var mu sync.Mutex
		for n := range 24 {
			r := j.newRequest()
			if n%3 > 0 {
				r.key, r.firstAttempt = "key-"+r.path, n%3 == 1
			}
			group.Go(func() {
				response, err := program.Execute(context.Background(), &client.Request{
					Service:      "tags",
					Path:         r.path,
					Body:         []byte(r.payload()),
					Header:       http.Header{emulator.HeaderServiceMs: {"20"}},
					Key:          r.key,
					FirstAttempt: r.firstAttempt,
				})
				mu.Lock()
				defer mu.Unlock()
				executions := j.executionsByPath()[r.path]
				var failure *client.Error
				switch {
				case err == nil:
					ran++
					if string(response.Body) != r.payload() || len(executions) != 1 {
						t.Errorf("%s: %d executions, response %.60q", r.path, len(executions), response.Body)
					}
				case !errors.As(err, &failure):
					t.Errorf("%s: untyped error %v", r.path, err)
				case failure.Body.Outcome == client.OutcomeNotRun:
					j.recordNotRun(r)
				}
			})
		}
		group.Wait()
		end()
		t.Logf("fault %d %s: %d ran so far", i, f.name, ran)
	}
	j.checkAll(t)
	assert.Assert(t, ran > 36, "only %d of 144 requests ran", ran)
}

// recordNotRun records a not_run response that was received outside the journal.
func (j *journal) recordNotRun(r request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts = append(j.attempts, attempt{
		request: r,
		callResponse: callResponse{
			outcome: client.OutcomeNotRun,
		},
		number: len(j.attempts),
	})
}

// TestSubmissionCreatesOneTask guards promise 7 for tasks: a submission with a
// key starts one task at the platform, although it is retried through another
// entry, after lost responses of the entry or the log, and after the entry was
// killed.
func TestSubmissionCreatesOneTask(t *testing.T) {
	t.Parallel()
	c := startSerially(t, options{
		hosts:  2,
		limits: quickLimits,
	})
	j := newJournal(c, "submission")
	for i, f := range []fault{
		linkFault("caller/entry-0", "limit_data", toCaller, `"bytes":1`),
		linkFault("log/entry-0", "timeout", toCaller, `"timeout":0`),
		{
			name: "log loses responses",
			begin: func(c *cluster) func() {
				c.platform.SetFault(emulator.Fault{Target: "log", LoseResponses: 2})
				return func() {}
			},
		},
		signalFault("entry-0", syscall.SIGKILL),
	} {
		ids := j.submitDuring(f, fmt.Sprintf("ledger-%d", i))
		assert.Equal(t, len(ids), 1, "%s: tasks %v", f.name, ids)
	}
	time.Sleep(settleTime)
	starts := 0
	for _, event := range c.platform.History().Events {
		if event.Kind == "start" {
			starts++
		}
	}
	assert.Equal(t, starts, 4, "one start for each key")
	c.assertNoViolation()
}

// submitDuring submits a task with a key before, during and after a fault. It
// returns the IDs that callers received.
func (j *journal) submitDuring(f fault, key string) map[string]bool {
	body := &client.TaskRequest{
		Team: "board",
		Kind: "ledger",
		Resources: client.Resources{
			Millicores:  100,
			MemoryBytes: 1 << 20,
		},
		Parameters: map[string]string{
			"run_ms": "20",
		},
	}
	ids := map[string]bool{}
	var mu sync.Mutex
	submit := func(entries ...string) {
		operator := &client.Client{
			Entries:  entries,
			Team:     "board",
			HTTP:     newHTTPClient(),
			Timeout:  4 * time.Second,
			MaxTries: 3,
		}
		task, err := operator.Submit(context.Background(), body, key)
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			ids[task.Task] = true
		}
	}
	var group sync.WaitGroup
	group.Go(func() { submit(j.callers[0]) })
	time.Sleep(2 * time.Millisecond)
	end := f.begin(j.cluster)
	group.Go(func() { submit(j.callers[0], j.callers[1]) })
	group.Go(func() { submit(j.callers[1]) })
	group.Wait()
	end()
	submit(j.callers[1], j.callers[0])
	return ids
}
