package soak_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// restartStream is the stream of the random numbers of the series of restarts, so
	// that the other faults of a seed stay the same.
	restartStream = 0x7e57
	// maxLateCalls bounds the late calls of one life of an executor.
	maxLateCalls = 4
)

// plannedCrash is one crash of a series.
type plannedCrash struct {
	// uptime is the time before the crash, downtime the time after it.
	uptime, downtime time.Duration
	// silent crashes leave calls without response; others refuse connections.
	silent bool
	// announced is set if the first announcement comes at once after the start.
	announced bool
	// lateCalls are drawn for the orders before the crash.
	lateCalls []lateCall
}

// plannedFault is a fault of a process beside a series of restarts.
type plannedFault struct {
	process       *process
	kind          int
	wait, lasting time.Duration
}

// randomTime returns a time from a range of milliseconds.
func randomTime(random *rand.Rand, from, to int) time.Duration {
	return time.Duration(from+random.IntN(to-from+1)) * time.Millisecond
}

func drawLateCalls(random *rand.Rand) []lateCall {
	calls := make([]lateCall, random.IntN(maxLateCalls+1))
	for i := range calls {
		calls[i] = lateCall{
			path:  []string{startPath, startPath, stopPath}[random.IntN(3)],
			delay: randomTime(random, 100, 4000),
			hangs: random.IntN(2) == 0,
		}
	}
	return calls
}

// drawSeries draws three to eight crashes, half of them silent.
func drawSeries(random *rand.Rand) []plannedCrash {
	crashes := make([]plannedCrash, 3+random.IntN(6))
	for i := range crashes {
		crashes[i] = plannedCrash{
			uptime:    randomTime(random, 50, 1500),
			downtime:  randomTime(random, 20, 1000),
			silent:    random.IntN(2) == 0,
			announced: random.IntN(2) == 0,
			lateCalls: drawLateCalls(random),
		}
	}
	return crashes
}

// drawProcessFaults draws up to four kills and pauses of the host's agent and of the
// entries, one of which leads.
func (f *fleet) drawProcessFaults(random *rand.Rand, host int) []plannedFault {
	faults := make([]plannedFault, random.IntN(5))
	for i := range faults {
		faults[i] = plannedFault{
			process: f.agents[host],
			kind:    []int{killed, paused}[random.IntN(2)],
			wait:    randomTime(random, 50, 1000),
			lasting: randomTime(random, 200, 2500),
		}
		if entry := random.IntN(2 * entryCount); entry < entryCount {
			faults[i].process = f.entries[entry]
		}
	}
	return faults
}

// injectRestarts starts a series of restarts, with faults of processes beside it, every
// 1 s to 3 s until ctx ends. Series of different hosts overlap.
func (f *fleet) injectRestarts(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, restartStream))
	var faults sync.WaitGroup
	for ctx.Err() == nil {
		host := random.IntN(hostCount)
		crashes, processFaults := drawSeries(random), f.drawProcessFaults(random, host)
		next := randomTime(random, 1000, 3000)
		faults.Go(func() { f.restartInSeries(ctx, host, crashes) })
		faults.Go(func() { f.disturbInSeries(ctx, processFaults) })
		pause(ctx, next)
	}
	faults.Wait()
}

// restartInSeries carries out a series of crashes unless another fault of the host's
// incarnation or capacity is in progress.
func (f *fleet) restartInSeries(ctx context.Context, host int, crashes []plannedCrash) {
	h := f.executors[host]
	if !h.faulty.TryLock() {
		return
	}
	defer h.faulty.Unlock()
	f.checker.beginFault()
	defer f.checker.endFault()
	f.t.Logf("%d restarts in series (host %d)", len(crashes), host)
	for _, crash := range crashes {
		h.addLateCalls(crash.lateCalls)
		pause(ctx, crash.uptime)
		if ctx.Err() != nil {
			return
		}
		if f.checker.mayCrash(h.executor.Info("s", "z", nil).GetId()) {
			f.restartUnderID(host, crash)
		}
	}
}

// restartUnderID ends the executor of a host with its runs and starts it under its id.
func (f *fleet) restartUnderID(host int, crash plannedCrash) {
	h := f.executors[host]
	id := h.executor.Info("s", "z", nil).GetId()
	f.executorLog.Printf("%s crashes for %s, silent: %t", id, crash.downtime, crash.silent)
	f.checker.setDown(id)
	h.down.Store(true)
	h.endLife(crash.silent)
	h.executor.Crash()
	if !crash.silent {
		h.close()
	}
	time.Sleep(crash.downtime)
	f.bootAs(host, id, defaultCapacity)
	if crash.silent {
		h.endSilence()
	} else {
		h.listen(f.t)
	}
	h.down.Store(false)
	if crash.announced {
		h.announceNow()
	}
}

func (h *executorHandler) announceNow() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// disturbInSeries carries out faults of processes, except of those that have one.
func (f *fleet) disturbInSeries(ctx context.Context, faults []plannedFault) {
	for _, fault := range faults {
		pause(ctx, fault.wait)
		if ctx.Err() != nil {
			return
		}
		if !fault.process.faulty.TryLock() {
			continue
		}
		f.inject(ctx, fault.process, fault.kind, 0, fault.lasting, 0)
		fault.process.faulty.Unlock()
	}
}
