package main

import (
	"fmt"
	"time"
)

func init() { cases["pending"] = pendingCount }

// pendingCount: an executor falls silent for good, and small jobs are handed in during
// the next second and a half. RULES.md, MIXED: "a machine in touch gives as `pending` under half of
// the jobs without times that were accepted over `visible_ms` + 2 s before and haven't
// begun".
func pendingCount(f *fleet, trouble bool) int {
	const (
		jobs     = 21
		countAge = 5 * time.Second // visible_ms + 2 s
	)
	for _, zone := range []string{"a", "b", "c"} {
		f.addEntry(zone)
	}
	for _, zone := range []string{"a", "b", "c", "a", "b", "c", "a"} {
		f.addHost(zone)
	}
	if !f.submit("00000000000000e0", job("100ms", step(3, 1000, 256, 1000, nil))) {
		return couldNot
	}
	time.Sleep(5 * time.Second)
	if trouble {
		e := f.executors[0]
		e.mu.Lock()
		e.silent = true
		e.mu.Unlock()
		f.rec.write("executor %s is silent from now on", e.id)
	}
	accepted := map[string]time.Time{}
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xe100+i)
		if !f.submit(id, job("1s", step(1, 1000, 256, 1000, nil))) {
			return couldNot
		}
		accepted[id] = time.Now()
		time.Sleep(70 * time.Millisecond)
	}
	status := held
	for range 16 {
		time.Sleep(500 * time.Millisecond)
		for _, p := range f.entries {
			before := time.Now()
			code, answer := f.call(p, "GET", queuePrefix, nil, 3*time.Second)
			pending, _ := answer["pending"].(float64)
			if code != 200 {
				continue
			}
			waiting := 0
			for id, at := range accepted {
				if before.Sub(at) > countAge && len(f.rec.runsOf(id+".0.0.0")) == 0 {
					waiting++
				}
			}
			if pending < float64(waiting)/2 {
				f.rec.write("BROKEN: MIXED, %s gives %g pending; %d jobs accepted over %s before haven't begun", p.name, pending, waiting, countAge)
				status = broken
			}
		}
	}
	return status
}
