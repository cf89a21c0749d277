package main

import "time"

func init() { cases["big"] = repeatedJob }

// repeatedJob: a repeated job with many small tasks runs, and all entries are without
// power for 9.5 s. The leases of the tasks lapse meanwhile, with a checkpoint of each.
// Another job is handed in afterwards; it has to run. RULES.md, LOST: "for 3 s, a job
// has nothing running while a task's turn has come, there is capacity for it twice
// over, and under half of the service's capacity is in use".
func repeatedJob(f *fleet, trouble bool) int {
	const (
		occurrences = 4
		count       = 4000
		darkFor     = 9500 * time.Millisecond
		// contact is the time without disruption after which machines are in touch;
		// waitLimit is finish_s of the bounds, and more than the 3 s of the rule.
		contact   = 3 * time.Second
		waitLimit = 14 * time.Second
	)
	for _, zone := range []string{"a", "b", "c"} {
		f.addEntry(zone)
	}
	for _, zone := range []string{"a", "b", "c"} {
		f.addHost(zone)
	}
	large := job("300s", step(count, 1, 1, 300000, map[string]any{"checkpointing": true}))
	large["repeatCount"] = occurrences
	large["startMs"] = time.Now().Add(2 * time.Second).UnixMilli()
	large["intervalMs"] = 2000
	if !f.submit("00000000000000b1", large) {
		return couldNot
	}
	if !waitUntil(50*time.Second, func() bool { return f.tasksRunning() == occurrences*count }) {
		f.rec.write("only %d tasks of the large job run", f.tasksRunning())
		return couldNot
	}
	f.rec.write("%d tasks of the large job run", f.tasksRunning())
	time.Sleep(4 * time.Second)
	if trouble {
		for _, p := range f.entries {
			f.kill(p)
		}
		time.Sleep(darkFor)
		for _, p := range f.entries {
			f.run(p)
		}
	}
	time.Sleep(contact)
	const id = "00000000000000b2"
	if !f.submit(id, job("1s", step(2, 100, 16, 1000, nil))) {
		return couldNot
	}
	ran := waitUntil(waitLimit, func() bool { return len(f.rec.runsOf(id+".0.0.0")) > 0 })
	f.call(f.entries[0], "GET", queuePrefix+id, nil, 3*time.Second)
	f.store.mu.Lock()
	refused, largest := f.store.refusedAppends, f.store.largestRecord
	f.store.mu.Unlock()
	f.rec.write("%d tasks run in all; the store has refused %d appends for a record above %d bytes, the largest of %d bytes",
		f.tasksRunning(), refused, maxRecordBytes, largest)
	if !ran {
		f.rec.write("BROKEN: LOST, an accepted job has nothing running for %s, with the executors nearly idle", waitLimit)
		return broken
	}
	f.rec.write("the other job ran")
	return held
}
