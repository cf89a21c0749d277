package soak_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// turnedAwayStream is the stream of the random numbers of these faults, so that the
	// other faults of a seed stay the same.
	turnedAwayStream = 0x7a
	// firstTurnedAwaySeed is the first seed in which the log turns away the leader's
	// appends to one topic, for longer than lasting tasks may wait. These seeds lose no
	// leader otherwise.
	firstTurnedAwaySeed = 300
)

// topicGate serves the log to one process. It turns away appends to one topic, or delays all
// calls.
type topicGate struct {
	log   http.Handler
	fault atomic.Pointer[topicFault]
}

// topicFault is which appends are turned away: at once, or by no response.
type topicFault struct {
	topic string
	hangs bool
	// delay is the time before a call takes effect, of calls to all topics without a topic.
	delay time.Duration
}

func (g *topicGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := g.fault.Load()
	if fault != nil && fault.delay > 0 && (fault.topic == "" || topicParameter(r) == fault.topic) {
		time.Sleep(fault.delay)
	}
	if fault == nil || fault.delay > 0 || r.URL.Path != "/log-append" || topicParameter(r) != fault.topic {
		g.log.ServeHTTP(w, r)
		return
	}
	if !fault.hangs {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// The server notices that the client is gone once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	hang(r)
}

// gatedLog returns the address of the log for one process.
func (f *fleet) gatedLog(gate *topicGate) string {
	gate.log = f.logServer.Config.Handler
	server := httptest.NewServer(gate)
	f.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// injectTurnedAway turns away the leader, and half of the time a second entry, until ctx ends.
// Tasks have to run again meanwhile, so only the beginning counts as a fault.
func (f *fleet) injectTurnedAway(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, turnedAwayStream))
	for ctx.Err() == nil {
		wait, lasting := randomTime(random, 2000, 4000), randomTime(random, 14000, 18000)
		fault := &topicFault{
			topic: []string{"progress", "progress", "jobs"}[random.IntN(3)],
			hangs: random.IntN(2) == 0,
		}
		entries := 1 + random.IntN(2)
		pause(ctx, wait)
		f.turnAway(ctx, fault, entries, lasting)
	}
}

func (f *fleet) turnAway(ctx context.Context, fault *topicFault, entries int, lasting time.Duration) {
	leader := f.leader(ctx)
	if leader == nil {
		return
	}
	turned := []*process{leader}
	for _, entry := range f.entries {
		if len(turned) < entries && entry != leader {
			turned = append(turned, entry)
		}
	}
	f.checker.beginFault()
	for _, entry := range turned {
		f.t.Logf("the log turns away %s for %s: %+v", entry.name, lasting, *fault)
		entry.gate.fault.Store(fault)
	}
	f.checker.endFault()
	pause(ctx, lastingBound)
	if f.onlyLosses && ctx.Err() == nil && slices.Contains(turned, f.leader(ctx)) {
		// The entries have no other faults.
		f.t.Errorf("an entry that the log turns away still leads after %s", lastingBound)
	}
	pause(ctx, lasting-lastingBound)
	for _, entry := range turned {
		entry.gate.fault.Store(nil)
	}
}
