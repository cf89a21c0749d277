package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/emulator"
)

// keyAt returns a key whose primary is the host, as shown by where a request
// with a key of the same shard ran.
func (j *journal) keyAt(host string) (string, *process) {
	j.t.Helper()
	key := ""
	waitFor(j.t, readyWithin, "a key runs at "+host, func() bool {
		r := j.nextKeyed("")
		key = r.key
		return j.send(0, r).name() == client.OutcomeRan && j.executed()[r.path][0].host == host
	})
	return key, j.find(host)
}

// TestKeyRunsOnce guards promise 7 against retries of a key while, during and
// after failures of every part that knows the key.
func TestKeyRunsOnce(t *testing.T) {
	t.Parallel() // it mostly waits for members to expire
	c := startAlone(t, options{
		hosts:  2,
		limits: quickLimits,
		slots:  32,
	})
	j := newJournal(c, "once")
	for _, test := range []struct {
		name string
		// during happens while the first attempt runs at host-0, and undo after
		// the retries; both may be nil.
		during func() (undo func())
		// answered means that the retries must get the first answer in the end.
		answered bool
	}{
		{
			name:     "at once through the other entry",
			answered: true,
		},
		{
			name: "primary unreachable for entries while both agents talk",
			during: func() func() {
				c.proxies.refuse("agent/host-0")
				return func() { c.proxies.restore("agent/host-0") }
			},
			answered: true,
		},
		{
			name:     "answers of the primary lost",
			during:   func() func() { return c.toxic("agent/host-0", "timeout", back, `"timeout":0`) },
			answered: true,
		},
		{
			name: "primary and secondary can't talk",
			during: func() func() {
				c.proxies.refuse("agent/host-1")
				return func() { c.proxies.restore("agent/host-1") }
			},
			answered: true,
		},
		{
			name: "endpoint died",
			during: func() func() {
				c.proxies.refuse("endpoint/host-0")
				return func() { c.proxies.restore("endpoint/host-0") }
			},
		},
		{
			name:     "endpoint leaves",
			during:   func() func() { return c.signalWhile("host-0", syscall.SIGTERM) },
			answered: true,
		},
		{
			name:   "primary killed and restarted with empty memory",
			during: func() func() { return c.signalWhile("host-0", syscall.SIGKILL) },
		},
		{
			// The request's deadline passes during the pause, so the agent may
			// resume with the answer or with unknown.
			name:   "primary paused beyond its membership",
			during: func() func() { return c.signalWhile("host-0", syscall.SIGSTOP) },
		},
		{
			name:     "secondary killed",
			during:   func() func() { return c.signalWhile("host-1", syscall.SIGKILL) },
			answered: true,
		},
		{
			name: "primary killed, then the agent that replaced it",
			during: func() func() {
				c.signalWhile("host-0", syscall.SIGKILL)()
				c.waitEndpoints(2)
				return c.signalWhile("host-1", syscall.SIGKILL)
			},
		},
		{
			name: "zone removed, entry killed",
			during: func() func() {
				c.setZone("a", false)
				restart := c.signalWhile("entry-0", syscall.SIGKILL)
				return func() { restart(); c.setZone("a", true) }
			},
		},
		// The last case: the shards' history is lost from here on.
		{
			name: "primary and secondary killed",
			during: func() func() {
				first, second := c.signalWhile("host-0", syscall.SIGKILL), c.signalWhile("host-1", syscall.SIGKILL)
				return func() { first(); second() }
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c.waitEndpoints(2)
			like, _ := j.keyAt("host-0")
			r := j.nextKeyed(like)
			r.serviceMS, r.first, r.timeout = 600, true, 1500*time.Millisecond
			done := j.begin(0, r)
			undo := func() {}
			if test.during != nil {
				undo = test.during()
			}
			r.first = false
			j.retry(r)
			<-done
			time.Sleep(time.Second)
			j.retry(r)
			undo()
			last := j.retry(r)
			if test.answered {
				assert.Equal(t, last.name(), client.OutcomeRan, "%s: %v", last.reason, last.err)
			}
			assert.Equal(t, len(j.executed()[r.path]), 1)
		})
	}
	j.check(t)
}

// signalWhile sends a signal to a process and returns what undoes its effect.
func (c *cluster) signalWhile(name string, signal syscall.Signal) func() {
	end := signalFault(name, signal).begin(c)
	return func() {
		end()
		c.waitReady(c.find(name))
	}
}

// retry sends a key again through both entries and returns the last answer.
func (j *journal) retry(r request) attempt {
	var group sync.WaitGroup
	for entry := range 2 {
		group.Go(func() { j.send(entry, r) })
	}
	group.Wait()
	return j.send(1, r)
}

// TestRepeatedDelivery guards promise 7 against one request that arrives
// several times, another body under the same key, and repetitions of requests
// without a key by the system itself.
func TestRepeatedDelivery(t *testing.T) {
	c := startCluster(t, options{
		hosts:  3,
		limits: quickLimits,
		slots:  32,
	})
	j := newJournal(c, "repeated")
	for i := range 20 {
		r := j.nextKeyed("")
		r.first, r.serviceMS = true, i*10
		var group sync.WaitGroup
		for delivery := range 6 {
			group.Go(func() { j.send(delivery, r) })
		}
		group.Wait()
		r.first = false
		assert.Equal(t, j.send(0, r).name(), client.OutcomeRan)
		other := j.next()
		other.key = r.key
		a := j.send(i, other)
		assert.Equal(t, a.status, http.StatusConflict)
		assert.Equal(t, a.reason, string(damaskspread.ReasonKeyReused))
		assert.Equal(t, len(j.executed()[other.path]), 0)
	}
	for _, link := range []string{"caller/entry-0", "agent/host-0", "agent/host-1", "endpoint/host-0", "endpoint/host-2"} {
		for _, size := range []int{1, 250} {
			heal := c.toxic(link, "limit_data", back, fmt.Sprintf(`"bytes":%d`, size))
			var group sync.WaitGroup
			for i := range 40 {
				r := j.next()
				group.Go(func() { j.send(i, r) })
			}
			group.Wait()
			heal()
		}
	}
	j.check(t)
}

// TestClientRunsOnce guards promises 5 to 7 for a program that uses the Go
// client while entries and agents fail.
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
		linkFault("caller/entry-0", "limit_data", back, `"bytes":120`),
		linkFault("agent/host-0", "timeout", back, `"timeout":0`),
		linkFault("endpoint/host-1", "limit_data", back, `"bytes":80`),
		refusedLink("agent/host-1"),
		signalFault("host-2", syscall.SIGKILL),
		signalFault("entry-1", syscall.SIGSTOP),
	} {
		end := f.begin(c)
		var group sync.WaitGroup
		var mu sync.Mutex
		for n := range 24 {
			r := j.next()
			if n%3 > 0 {
				r.key, r.first = "key-"+r.path, n%3 == 1
			}
			group.Go(func() {
				response, err := program.Execute(context.Background(), &client.Request{
					Service:      "tags",
					Path:         r.path,
					Body:         []byte(r.payload()),
					Header:       http.Header{emulator.HeaderServiceMs: {"20"}},
					Key:          r.key,
					FirstAttempt: r.first,
				})
				mu.Lock()
				defer mu.Unlock()
				executions := j.executed()[r.path]
				var failure *client.Error
				switch {
				case err == nil:
					ran++
					if string(response.Body) != r.payload() || len(executions) != 1 {
						t.Errorf("%s: %d executions, answer %.60q", r.path, len(executions), response.Body)
					}
				case !errors.As(err, &failure):
					t.Errorf("%s: untyped error %v", r.path, err)
				case failure.Body.Outcome == client.OutcomeNotRun:
					j.refused(r)
				}
			})
		}
		group.Wait()
		end()
		t.Logf("fault %d %s: %d ran so far", i, f.name, ran)
	}
	j.check(t)
	assert.Assert(t, ran > 36, "only %d of 144 requests ran", ran)
}

// refused notes a not_run that was received outside the journal.
func (j *journal) refused(r request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts = append(j.attempts, attempt{
		request: r,
		answer: answer{
			outcome: client.OutcomeNotRun,
		},
		number: len(j.attempts),
	})
}

// TestSubmissionCreatesOneTask guards promise 7 for tasks: a submission with a
// key that is retried through another entry, after lost answers of the entry
// or of the log, and after the entry died, starts one task at the platform.
func TestSubmissionCreatesOneTask(t *testing.T) {
	t.Parallel()
	c := startAlone(t, options{
		hosts:  2,
		limits: quickLimits,
	})
	j := newJournal(c, "submission")
	for i, f := range []fault{
		linkFault("caller/entry-0", "limit_data", back, `"bytes":1`),
		linkFault("log/entry-0", "timeout", back, `"timeout":0`),
		{
			name: "log loses answers",
			begin: func(c *cluster) func() {
				c.platform.SetFault(emulator.Fault{Target: "log", LoseResponses: 2})
				return func() {}
			},
		},
		signalFault("entry-0", syscall.SIGKILL),
	} {
		key := fmt.Sprintf("ledger-%d", i)
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
			one := &client.Client{
				Entries:  entries,
				Team:     "board",
				HTTP:     newHTTPClient(),
				Timeout:  4 * time.Second,
				MaxTries: 3,
			}
			task, err := one.Submit(context.Background(), body, key)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				ids[task.Task] = true
			}
		}
		var group sync.WaitGroup
		group.Go(func() { submit(j.callers[0]) })
		time.Sleep(2 * time.Millisecond)
		end := f.begin(c)
		group.Go(func() { submit(j.callers[0], j.callers[1]) })
		group.Go(func() { submit(j.callers[1]) })
		group.Wait()
		end()
		submit(j.callers[1], j.callers[0])
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
