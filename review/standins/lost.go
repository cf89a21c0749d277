package main

import "time"

func init() { cases["lost"] = lostExecutor }

// lostExecutor: a task that lasts runs on an executor that is lost for good, and the
// leader dies shortly after. The task has to run again: RULES.md, LOST, "for each
// task that lasts, from 6 s after its last run", for 3 s, calm for 4 s before.
func lostExecutor(f *fleet, trouble bool) int {
	const (
		afterRun   = 6 * time.Second
		without    = 3 * time.Second
		calmBefore = 4 * time.Second
		contact    = 3 * time.Second
	)
	for _, zone := range []string{"a", "b", "c"} {
		f.addEntry(zone)
	}
	for _, zone := range []string{"a", "b", "c", "a", "b", "c", "a"} {
		f.addHost(zone)
	}
	const id = "00000000000000a1"
	if !f.submit(id, job("lasts", step(1, 1000, 256, 400, map[string]any{"longRunning": true}))) {
		return couldNot
	}
	task := id + ".0.0.0"
	if !waitUntil(10*time.Second, func() bool { return f.running(task) == 1 }) {
		return couldNot
	}
	time.Sleep(6 * time.Second)
	if trouble {
		runs := f.rec.runsOf(task)
		for _, e := range f.executors {
			if e.id == runs[len(runs)-1].executor {
				e.crash() // for good
			}
		}
		time.Sleep(300 * time.Millisecond)
		leader := f.leader()
		f.kill(leader)
		time.Sleep(500 * time.Millisecond)
		f.run(leader)
	}
	calm := time.Now()
	if !trouble {
		time.Sleep(20 * time.Second)
	}
	again := waitUntil(30*time.Second, func() bool { return f.running(task) == 1 })
	runs := f.rec.runsOf(task)
	if !again || len(runs) < 2 {
		if !trouble && again {
			f.rec.write("the task runs, as it should")
			return held
		}
		f.rec.write("BROKEN: the task doesn't run at the end")
		return broken
	}
	gap := runs[1].from.Sub(runs[0].to)
	f.rec.write("the task had no run for %.2f s; it ran again %.2f s after the last disruption", gap.Seconds(), runs[1].from.Sub(calm).Seconds())
	// The 3 s without a run begin 6 s after the last run at the earliest, and 4 s
	// after the machines are in touch again.
	begin := max(afterRun, calm.Sub(runs[0].to)+contact+calmBefore)
	if gap > begin+without {
		f.rec.write("BROKEN: LOST, the limit is %.2f s", (begin + without).Seconds())
		return broken
	}
	return held
}
