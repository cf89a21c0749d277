package soak_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	waveStream, drainStream = 0x3a5e, 0xd2a1
	// wavesInSeries is the number of waves before a rest of waveRest, in which canceled jobs
	// have to be gone, if there are no other faults.
	wavesInSeries = 4
	waveRest      = ackBound + cancelBound + stopBound + time.Second
	// minLogDelay and maxLogDelay bound the delays of the log, in milliseconds. Some calls of
	// the leader time out and take effect later.
	minLogDelay, maxLogDelay = 300, 1800
)

// The faults beside a wave of cancellations.
const (
	logOutage = iota
	leaderKill
	logOutageAndLeaderKill
	slowLog
)

// waveFaults has the faults from which one is drawn.
var waveFaults = []int{logOutage, leaderKill, logOutageAndLeaderKill, slowLog, slowLog, slowLog}

// injectWaves cancels jobs in waves, beside outages of the log and kills of leaders, until
// ctx ends.
func (f *fleet) injectWaves(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, waveStream))
	var faults sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		kind, mode, lasting := waveFaults[random.IntN(len(waveFaults))], droppingLog+random.IntN(delayingLog-droppingLog+1), randomTime(random, 500, 3500)
		before, entries := randomTime(random, 0, 600), 1+random.IntN(entryCount)
		slow := drawSlowLog(random)
		pause(ctx, randomTime(random, 500, 2000))
		switch kind {
		case slowLog:
			faults.Go(func() { f.slowDown(ctx, slow, lasting) })
		case logOutage, logOutageAndLeaderKill:
			f.t.Logf("wave %d: log outage of kind %d at %d entries for %s", n, mode, entries, lasting)
			for _, entry := range f.entries[:entries] {
				faults.Go(func() {
					f.disturbInSeries(ctx, []plannedFault{{process: entry, kind: mode, lasting: lasting}})
				})
			}
		}
		if kind == leaderKill || kind == logOutageAndLeaderKill {
			f.loseLeader(ctx, plannedFault{kind: killed, lasting: lasting}, &faults)
		}
		pause(ctx, before)
		cancels := drawCancels(random)
		for i, id := range f.abandoned.takeLive(len(cancels)) {
			faults.Go(func() { f.sendCancel(id, cancels[i]) })
		}
		if f.onlyWaves && n%wavesInSeries == wavesInSeries-1 {
			pause(ctx, lasting+waveRest)
		}
	}
	faults.Wait()
}

// drawSlowLog draws how the log delays calls, to one topic or to all.
func drawSlowLog(random *rand.Rand) *topicFault {
	return &topicFault{
		topic: []string{"", "jobs", "jobs", "progress"}[random.IntN(4)],
		delay: randomTime(random, minLogDelay, maxLogDelay),
	}
}

// slowDown lets the log delay the calls of the leader.
func (f *fleet) slowDown(ctx context.Context, fault *topicFault, lasting time.Duration) {
	leader := f.leader(ctx)
	if leader == nil || !leader.faulty.TryLock() {
		return
	}
	defer leader.faulty.Unlock()
	f.t.Logf("the log delays calls of %s to %q by %s for %s", leader.name, fault.topic, fault.delay, lasting)
	f.checker.beginFault()
	defer f.checker.endFault()
	f.checker.disturb(leader.name, false)
	defer f.checker.settle(leader.name, false)
	leader.gate.fault.Store(fault)
	pause(ctx, lasting)
	leader.gate.fault.Store(nil)
}

func drawCancels(random *rand.Rand) []plannedCancel {
	cancels := make([]plannedCancel, 1+random.IntN(maxAbandoned))
	for i := range cancels {
		cancels[i] = drawCancel(random)
	}
	return cancels
}

// injectDrains lets one executor after another drain and end, and another one start on its
// host, while its agent gets a SIGTERM, until ctx ends.
func (f *fleet) injectDrains(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, drainStream))
	for ctx.Err() == nil {
		host := random.IntN(hostCount)
		remaining, terminatedAfter := randomTime(random, 1500, 3500), randomTime(random, 0, 2500)
		absence, downtime := randomTime(random, 100, 800), randomTime(random, 200, 2500)
		pause(ctx, randomTime(random, 1500, 4000))
		h := f.executors[host]
		if ctx.Err() != nil || !h.faulty.TryLock() {
			continue
		}
		f.drain(ctx, host, remaining, absence, plannedFault{process: f.agents[host], kind: terminated, wait: terminatedAfter, lasting: downtime})
		h.faulty.Unlock()
	}
}

func (f *fleet) drain(ctx context.Context, host int, remaining, absence time.Duration, fault plannedFault) {
	h := f.executors[host]
	id := h.executor.Info("s", "z", nil).GetId()
	if !f.checker.mayCrash(id) {
		return
	}
	f.t.Logf("the executor of host %d drains for %s, its agent is terminated after %s", host, remaining, fault.wait)
	f.executorLog.Printf("%s drains for %s", id, remaining)
	h.drainsUntil.Store(time.Now().Add(remaining).UnixMilli())
	h.announceNow()
	var terminating sync.WaitGroup
	terminating.Go(func() { f.disturbInSeries(ctx, []plannedFault{fault}) })
	time.Sleep(remaining)
	client := &http.Client{Timeout: time.Second}
	if left, err := client.Post("http://"+f.agents[host].executorsAddress+"/Instances.Deregister/"+id, "application/json", nil); err == nil {
		_ = left.Body.Close()
	}
	f.end(host)
	h.drainsUntil.Store(0)
	time.Sleep(absence)
	f.startAgain(host, f.nextID(host), defaultCapacity.GetMillicores())
	terminating.Wait()
}
