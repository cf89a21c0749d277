package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = scheduledJobs }

// anonymousMB returns the memory of a process without what is mapped from files.
func anonymousMB(p *process) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(data), "\n") {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kilobytes); n == 1 {
			return kilobytes / 1024
		}
	}
	return 0
}

// memoryGuard does what the platform does: it kills an entry that is above its limit
// and starts it again after a short delay.
type memoryGuard struct {
	mu    sync.Mutex
	kills map[string]int
}

func (g *memoryGuard) watch(f *fleet, p *process, end chan struct{}) {
	const (
		limitMB      = 284
		restartAfter = 300 * time.Millisecond
	)
	for {
		select {
		case <-end:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := anonymousMB(p)
		if used <= limitMB {
			continue
		}
		f.rec.write("%s has %d MB, above its limit of %d MB", p.name, used, limitMB)
		f.kill(p)
		g.mu.Lock()
		g.kills[p.name]++
		g.mu.Unlock()
		time.Sleep(restartAfter)
		f.run(p)
	}
}

// scheduledJobs: large jobs that run once an hour are handed in within some seconds.
// Another job, handed in 20 s later, has to run. RULES.md, LOST: "for 3 s, a job has
// nothing running while a task's turn has come, there is capacity for it twice over, and
// under half of the service's capacity is in use". DEPLOY.md: "A process that exceeds
// `memoryMb` is killed."
func scheduledJobs(f *fleet, trouble bool) int {
	const (
		jobs        = 30
		occurrences = 1000
		count       = 40
		every       = time.Hour
		waitLimit   = 14 * time.Second
	)
	for _, zone := range []string{"a", "b", "c"} {
		f.addEntry(zone)
	}
	for _, zone := range []string{"a", "b", "c"} {
		f.addHost(zone)
	}
	guard := &memoryGuard{kills: map[string]int{}}
	end := make(chan struct{})
	var watchers sync.WaitGroup
	for _, p := range f.entries {
		watchers.Go(func() { guard.watch(f, p, end) })
	}
	defer watchers.Wait()
	defer close(end)
	time.Sleep(2 * time.Second)
	for i := range jobs {
		scheduled := job("100ms", step(count, 100, 16, 100, nil))
		scheduled["repeatCount"] = occurrences
		if !trouble {
			scheduled["repeatCount"] = 1
		}
		scheduled["startMs"] = time.Now().Add(time.Second).UnixMilli()
		scheduled["intervalMs"] = every.Milliseconds()
		if !f.submit(fmt.Sprintf("%016x", 0xc000+i), scheduled) {
			return couldNot
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	const id = "00000000000000d1"
	accepted := f.submit(id, job("1s", step(1, 100, 16, 1000, nil)))
	ran := accepted && waitUntil(waitLimit, func() bool { return len(f.rec.runsOf(id+".0.0.0")) > 0 })
	guard.mu.Lock()
	f.rec.write("entries killed for their memory: %v", guard.kills)
	guard.mu.Unlock()
	f.rec.write("another job handed in after them: accepted %t, ran within %s %t", accepted, waitLimit, ran)
	if !accepted {
		return couldNot
	}
	if !ran {
		f.rec.write("BROKEN: LOST, an accepted job has nothing running for %s, with the executors idle", waitLimit)
		return broken
	}
	return held
}
