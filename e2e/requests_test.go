package e2e_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/emulator"
)

// TestAnswersAreWhole guards promise 5: a caller never takes a response for
// complete that was truncated on a hop or by the endpoint, or that belongs to
// another request, also when responses arrive in another order than requests.
func TestAnswersAreWhole(t *testing.T) {
	c := startCluster(t, options{
		hosts: 3,
		slots: 32,
	})
	j := newJournal(c, "whole")
	random := rand.New(rand.NewPCG(5, 5))

	t.Run("large, slow and shuffled", func(t *testing.T) {
		for _, a := range j.sendBurst(random, 120, 1<<20, "") {
			assert.Equal(t, a.result(), client.OutcomeRan, "%s: %v", a.reason, a.err)
		}
	})
	for _, link := range []string{"endpoint/host-0", "agent/host-0", "caller/entry-0"} {
		t.Run("truncated on "+link, func(t *testing.T) {
			broken := 0
			for _, size := range []int{100, 20_000, 300_000} {
				heal := c.addToxic(link, "limit_data", toCaller, fmt.Sprintf(`"bytes":%d`, size))
				for _, a := range j.sendBurst(random, 36, 1<<20, "") {
					if a.result() != client.OutcomeRan {
						broken++
					}
				}
				heal()
			}
			assert.Assert(t, broken > 0, "no response was truncated")
		})
	}
	for _, ending := range []string{emulator.EndTruncated, emulator.EndChunked} {
		t.Run("endpoint ends with "+ending, func(t *testing.T) {
			for _, a := range j.sendBurst(random, 12, 100_000, ending) {
				assert.Equal(t, a.result(), client.OutcomeUnknown, "%d bytes with status %d", len(a.body), a.status)
			}
		})
	}
	t.Run("answers of other requests", func(t *testing.T) {
		restore := c.misdeliverResponses("host-0")
		wrong := 0
		for _, a := range j.sendBurst(random, 60, 1_000, "") {
			if a.result() == client.OutcomeUnknown {
				wrong++
			}
		}
		restore()
		assert.Assert(t, wrong > 0, "no response was misdelivered")
	})
	j.checkAll(t)
}

// sendBurst sends requests at once through both entries, half of them with a
// key, and returns their last attempts.
func (j *journal) sendBurst(random *rand.Rand, count, largest int, ending string) []attempt {
	attempts := make([]attempt, count)
	var group sync.WaitGroup
	for i := range count {
		serviceMS, size := random.IntN(300), 100+random.IntN(largest)
		group.Go(func() {
			// On a busy machine entries and agents refuse requests under overload;
			// the caller retries.
			for range 20 {
				r := j.newRequest()
				if i%2 == 0 {
					r.key = "key-" + r.path
				}
				r.timeout, r.serviceMS, r.bytes, r.ending = 8*time.Second, serviceMS, size, ending
				if attempts[i] = j.send(i, r); attempts[i].result() != client.OutcomeNotRun {
					return
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return attempts
}

// TestNotRunIsTrue guards promise 6: a request that is refused with not_run has
// not run and does not run later. Under load, the test injects each failure,
// every fourth together with a second one, then overload and a stale
// configuration.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	c := startSerially(t, options{
		hosts:  3,
		limits: quickLimits,
		slots:  4,
	})
	j := newJournal(c, "not-run")
	random := rand.New(rand.NewPCG(6, 6))
	faults := requestFaults()
	stop := j.startRandomLoad(random, 8)
	for i, f := range faults {
		began := time.Now()
		end := f.begin(c)
		time.Sleep(300 * time.Millisecond)
		second := faults[(i*7+5)%len(faults)]
		if i%4 == 3 && second.independent(f) {
			endSecond := second.begin(c)
			time.Sleep(300 * time.Millisecond)
			end()
			end = endSecond
		}
		end()
		t.Logf("%s: %s", f.name, time.Since(began).Round(time.Millisecond))
	}
	overload := j.startRandomLoad(random, 100)
	time.Sleep(2 * time.Second)
	overload()
	stale := pausedLogFault().begin(c)
	time.Sleep(2500 * time.Millisecond)
	stale()
	time.Sleep(time.Second)
	stop()
	seen := j.checkAll(t)
	assert.Assert(t, seen[client.OutcomeNotRun] > 50 && seen[client.OutcomeRan] > 50 && seen[client.OutcomeUnknown] > 20, "too few responses for a verdict: %v", seen)
}

// TestPausedPrimary guards promises 6 and 7: a paused primary has requests in its
// socket buffers and must not run them after it resumes, if the secondary has
// refused them with not_run or, once promoted, has run them.
func TestPausedPrimary(t *testing.T) {
	limits := maps.Clone(quickLimits)
	limits["member_hold"] = "4s" // longer than the first round's pause
	c := startCluster(t, options{
		hosts:  2,
		limits: limits,
		slots:  32,
	})
	j := newJournal(c, "blocked")
	refused := 0
	for round := range 2 {
		sameShardAs, primary := j.keyWithPrimary("host-0")
		primary.pause()
		requests := make([]request, 30)
		var group sync.WaitGroup
		for i := range requests {
			requests[i] = j.newKeyedRequest(sameShardAs)
			requests[i].timeout = 300 * time.Millisecond
			group.Go(func() { j.send(round, requests[i]) })
		}
		group.Wait()
		c.proxies.refuse("agent/host-0")
		if round == 1 {
			// Beyond member_hold, so that the keys run at the new primary.
			time.Sleep(6 * time.Second)
		}
		for _, r := range requests {
			// The secondary needs up to about 1 s to confirm its role.
			r.timeout = 2 * time.Second
			group.Go(func() {
				if j.send(round+1, r).result() == client.OutcomeNotRun {
					j.mu.Lock()
					refused++
					j.mu.Unlock()
				}
			})
		}
		group.Wait()
		primary.resume()
		time.Sleep(300 * time.Millisecond)
		c.proxies.restore("agent/host-0")
		c.waitEndpoints(2)
	}
	j.checkAll(t)
	assert.Assert(t, refused > 0, "the secondary refused no request with not_run")
}

// TestQueuedKeyIsBlocked guards promise 6: a request is queued at the primary,
// and another entry, which cannot connect to the primary, sends its key to the
// secondary. Once the secondary has refused the key with not_run, the primary
// must not run the queued request.
func TestQueuedKeyIsBlocked(t *testing.T) {
	c := startCluster(t, options{
		hosts:  2,
		limits: quickLimits,
		slots:  1,
	})
	j := newJournal(c, "queued")
	closeGate := c.insertGate("agent/host-0")
	sameShardAs, _ := j.keyWithPrimary("host-0")
	slow := j.newKeyedRequest(sameShardAs)
	// The secondary needs up to about 1 s to confirm its role.
	slow.serviceMS, slow.timeout = 3500, 8*time.Second
	running := j.startRequest(0, slow)
	var group sync.WaitGroup
	requests := make([]request, 6)
	for i := range requests {
		requests[i] = j.newKeyedRequest(sameShardAs)
		requests[i].firstAttempt, requests[i].timeout = true, 6*time.Second
		group.Go(func() { j.send(0, requests[i]) })
	}
	time.Sleep(200 * time.Millisecond)
	closeGate()
	refused := map[string]bool{}
	for _, r := range requests {
		r.firstAttempt, r.timeout = false, 2500*time.Millisecond
		group.Go(func() {
			if j.send(1, r).result() == client.OutcomeNotRun {
				j.mu.Lock()
				defer j.mu.Unlock()
				refused[r.path] = true
			}
		})
	}
	group.Wait()
	assert.Equal(t, (<-running).result(), client.OutcomeRan)
	j.checkAll(t)
	assert.Assert(t, len(refused) > 0, "the secondary refused no request with not_run")
	executed := j.executionsByPath()
	for path := range refused {
		assert.Equal(t, len(executed[path]), 0, "promise 6: %s ran after not_run", path)
	}
}
