package main

import "time"

func init() { cases["failed"] = flappingExecutor }

// flappingExecutor: the one executor with a label goes down and up some times, and is
// sound afterwards. A job that needs the label was accepted before. RULES.md, LOST: a
// job "is shown as `failed` or `cancelled` without cause (only ends `failed` count as
// attempts)".
func flappingExecutor(f *fleet, trouble bool) int {
	const (
		crashes = 7
		upFor   = 600 * time.Millisecond
		downFor = 500 * time.Millisecond
	)
	for _, zone := range []string{"a", "b", "c"} {
		f.addEntry(zone)
	}
	for _, zone := range []string{"a", "b", "c", "a", "b", "c"} {
		f.addHost(zone)
	}
	special := f.addHostWithLabels("a", []string{"b", "r1"})
	time.Sleep(2 * time.Second)
	const id = "00000000000000f1"
	if !f.submit(id, job("5s", step(1, 1000, 256, 5000, map[string]any{"requirements": "b", "checkpointing": true}))) {
		return couldNot
	}
	time.Sleep(3 * time.Second)
	for range crashes {
		if !trouble {
			break
		}
		special.crash()
		time.Sleep(downFor)
		special = special.next()
		if err := special.start(); err != nil {
			return couldNot
		}
		time.Sleep(upFor)
	}
	state := ""
	waitUntil(30*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		_, answer := f.call(f.entries[0], "GET", queuePrefix+id, nil, 3*time.Second)
		state, _ = answer["state"].(string)
		return state == "failed" || state == "succeeded"
	})
	failedEnds := 0
	for _, run := range f.rec.runsOf(id + ".0.0.0") {
		if run.how == "failed" {
			failedEnds++
		}
	}
	f.rec.write("the job is shown as %s; %d runs, %d of them ended failed", state, len(f.rec.runsOf(id+".0.0.0")), failedEnds)
	if state == "failed" && failedEnds < 4 {
		f.rec.write("BROKEN: LOST, the job is shown as failed without cause")
		return broken
	}
	return held
}
