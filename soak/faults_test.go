package soak_test

import (
	"context"
	"sync"
	"syscall"
	"time"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// The faults of a process that also occur beside series of restarts.
const (
	killed = 0
	paused = 2
)

const (
	// terminated is the fault of a process that gets a SIGTERM.
	terminated = 1
	// droppingLog to delayingLog are the faults of a process's links.
	droppingLog, delayingLog = 3, 6
)

// setMillicores changes the capacity of a host's executor while it runs.
func (f *fleet) setMillicores(i int, millicores int64) {
	capacity := &wire.Resources{Millicores: millicores, MemoryBytes: defaultCapacity.GetMemoryBytes()}
	executor := f.executors[i].executor
	id := executor.Info("s", "z", nil).GetId()
	f.checker.capacities.CapacityChanged(id, capacity)
	f.checker.setCapacity(id, millicores)
	executor.SetCapacity(capacity)
}

// shrink takes most of the capacity of a host's executor away until the duration is
// over or ctx ends.
func (f *fleet) shrink(ctx context.Context, i int, millicores int64, duration time.Duration) {
	f.setMillicores(i, millicores)
	pause(ctx, duration)
	f.setMillicores(i, defaultCapacity.GetMillicores())
}

// crash ends the executor of a host with its runs. Connections to it are refused
// until it starts again, under its id or a new one, with the given capacity.
func (f *fleet) crash(i int, sameID bool, millicores int64, downtime time.Duration) {
	id := f.end(i)
	time.Sleep(downtime)
	if !sameID {
		id = f.nextID(i)
	}
	f.startAgain(i, id, millicores)
}

// end ends the executor of a host with its runs and returns its id.
func (f *fleet) end(i int) string {
	h := f.executors[i]
	id := h.executor.Info("s", "z", nil).GetId()
	f.executorLog.Printf("%s ends", id)
	f.checker.setDown(id)
	h.down.Store(true)
	h.close()
	h.executor.Boot(id + "-down")
	return id
}

// startAgain starts an executor on a host whose executor has ended.
func (f *fleet) startAgain(i int, id string, millicores int64) {
	h := f.executors[i]
	f.bootAs(i, id, &wire.Resources{Millicores: millicores, MemoryBytes: defaultCapacity.GetMemoryBytes()})
	h.listen(f.t)
	h.down.Store(false)
}

// pause waits for a duration or until ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// injectFaults starts a random fault every 0.2 s to 1.1 s until ctx ends. Faults
// of different processes overlap; one process has one fault at a time.
func (f *fleet) injectFaults(ctx context.Context) {
	var faults sync.WaitGroup
	busy := map[*process]chan struct{}{}
	for ctx.Err() == nil {
		all := append(append([]*process{}, f.entries...), f.agents...)
		p := all[f.random.IntN(len(all))]
		duration := time.Duration(300+f.random.IntN(2500)) * time.Millisecond
		kind, host := f.random.IntN(12), f.random.IntN(hostCount)
		millicores := submittedMillicores * int64(1+f.random.IntN(5))
		pause := time.Duration(200+f.random.IntN(900)) * time.Millisecond
		if ended := busy[p]; ended != nil {
			select {
			case <-ended:
			default:
				time.Sleep(pause)
				continue
			}
		}
		ended := make(chan struct{})
		busy[p] = ended
		faults.Go(func() {
			defer close(ended)
			if !p.faulty.TryLock() {
				return
			}
			defer p.faulty.Unlock()
			f.inject(ctx, p, kind, host, duration, millicores)
		})
		time.Sleep(pause)
	}
	faults.Wait()
}

func (f *fleet) inject(ctx context.Context, p *process, kind, host int, duration time.Duration, millicores int64) {
	f.t.Logf("fault %d on %s for %s (host %d)", kind, p.name, duration, host)
	f.checker.beginFault()
	defer f.checker.endFault()
	if kind <= delayingLog {
		f.checker.disturb(p.name, kind <= paused)
		defer f.checker.settle(p.name, kind <= paused)
	}
	if kind >= 9 {
		f.injectExecutorFault(ctx, kind, host, duration, millicores)
		return
	}
	switch kind {
	case killed:
		f.restart(p, syscall.SIGKILL, duration/4)
	case terminated:
		f.restart(p, syscall.SIGTERM, duration/4)
	case paused:
		p.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		p.signal(syscall.SIGCONT)
	case 3, 4, 5, 6:
		p.proxy.setMode([]proxyMode{dropping, resetting, droppingResponses, delaying}[kind-3])
		time.Sleep(duration)
		p.proxy.setMode(resetting)
		p.proxy.setMode(forwarding)
	case 7:
		f.executors[host].mu.Lock()
		f.executors[host].lostResponses += 3
		f.executors[host].mu.Unlock()
	case 8:
		f.executors[host].executor.SetUnresponsive(true)
		time.Sleep(duration)
		f.executors[host].executor.SetUnresponsive(false)
	}
}

// injectExecutorFault shrinks or crashes the executor of a host, unless another such
// fault of it is in progress.
func (f *fleet) injectExecutorFault(ctx context.Context, kind, host int, duration time.Duration, millicores int64) {
	h := f.executors[host]
	if !h.faulty.TryLock() {
		return
	}
	defer h.faulty.Unlock()
	if kind > 9 && f.restarts && !f.checker.mayCrash(h.executor.Info("s", "z", nil).GetId()) {
		return
	}
	switch kind {
	case 9:
		// Starts are judged by the shrunk capacity only once the grace is over.
		f.shrink(ctx, host, millicores, emulator.CapacityGrace+duration)
	case 10:
		f.crash(host, false, defaultCapacity.GetMillicores(), duration)
	case 11:
		f.crash(host, true, millicores, duration)
		f.shrink(ctx, host, millicores, duration)
	}
}

// heal ends all faults of connections and calls and resumes paused processes.
func (f *fleet) heal() {
	f.checker.beginFault()
	defer f.checker.endFault()
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		p.proxy.setMode(forwarding)
		p.signal(syscall.SIGCONT)
	}
	for _, h := range f.executors {
		h.dropLateCalls()
	}
}
