package e2e_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"damaskspread.example/damaskspread/emulator"
)

// disturbance is a fault and its end.
type disturbance struct {
	name  string
	begin func()
	end   func()
}

// TestTasksUnderPairsOfFaults guards against work that is lost, runs in two
// places or resumes twice when two faults coincide. Pairs are drawn from the
// logged seed, each is repeated at once, and every record reaches the log
// again up to 1.5 s later.
func TestTasksUnderPairsOfFaults(t *testing.T) {
	parallel(t)
	random := seeded(t)
	limits := maps.Clone(taskLimits)
	limits["member_hold"] = "2s"
	c := prepareCluster(t, options{
		hosts:    3,
		zones:    []string{"a", "b", "c"},
		capacity: smallHost,
		document: taskDocument,
		limits:   limits,
	})
	delays := make(chan time.Duration, 64)
	go func() {
		delay := rand.New(rand.NewPCG(random.Uint64(), 2))
		for {
			select {
			case delays <- time.Duration(delay.IntN(1_500)) * time.Millisecond:
			case <-t.Context().Done():
				return
			}
		}
	}()
	c.repeatRecords(func() time.Duration { return <-delays })
	c.startAll()
	all := c.disturbances()
	var tasks []string
	submit := func(count int) {
		for range count {
			tasks = append(tasks, c.submitTo(nil, taskRequest(fmt.Sprintf("ledger-%d", len(tasks)), 4*time.Second)))
		}
	}
	submit(8)
	for range 8 {
		first, second := all[random.IntN(len(all))], all[random.IntN(len(all))]
		hold := time.Duration(100+random.IntN(1_200)) * time.Millisecond
		t.Logf("%s and %s for %s", first.name, second.name, hold)
		for range 2 {
			first.begin()
			second.begin()
			time.Sleep(hold)
			first.end()
			second.end()
			time.Sleep(50 * time.Millisecond)
		}
	}
	submit(4)
	c.judgeAll(false, tasks...)
	c.judgeCapacity()
}

// disturbances are the faults of every process, link and part of the
// platform. Ending a fault that did not begin has no effect.
func (c *cluster) disturbances() []disturbance {
	var all []disturbance
	for _, p := range c.processes() {
		all = append(all, disturbance{
			name:  p.name + " killed",
			begin: p.kill,
			end: func() {
				if !p.running() {
					p.start()
				}
			},
		}, disturbance{
			name:  p.name + " paused",
			begin: p.pause,
			end:   p.resume,
		})
	}
	for _, h := range c.hosts {
		all = append(all, c.cuts("worker/"+h.id)...)
		for _, e := range c.entries {
			all = append(all, c.cuts("sync/"+h.id+"/"+e.name)...)
		}
		all = append(all, c.platformFaults(emulator.Fault{
			Target: "worker",
			Host:   h.id,
		})...)
		all = append(all, disturbance{
			name:  "zone " + h.zone + " out",
			begin: func() { c.trySetZone(h.zone, false) },
			end:   func() { c.setZone(h.zone, true) },
		})
	}
	for _, e := range c.entries {
		all = append(all, c.cuts("log/"+e.name)...)
	}
	return append(all, c.platformFaults(emulator.Fault{
		Target: "log",
	})...)
}

func (c *cluster) cuts(link string) []disturbance {
	cuts := []disturbance{{
		name:  link + " refused",
		begin: func() { c.proxies.refuse(link) },
		end: func() {
			if !c.proxies.get(link).Enabled {
				c.proxies.restore(link)
			}
		},
	}}
	for _, way := range []direction{towards, back} {
		cuts = append(cuts, disturbance{
			name: link + " drops " + string(way),
			begin: func() {
				c.proxies.heal(link, way)
				c.proxies.drop(link, way)
			},
			end: func() { c.proxies.heal(link, way) },
		})
	}
	return cuts
}

func (c *cluster) platformFaults(part emulator.Fault) []disturbance {
	var all []disturbance
	add := func(name string, change func(*emulator.Fault)) {
		fault := part
		change(&fault)
		all = append(all, disturbance{
			name:  part.Target + " " + part.Host + " " + name,
			begin: func() { c.fault(fault) },
			end:   func() { c.fault(part) },
		})
	}
	add("down", func(f *emulator.Fault) { f.Down = true })
	add("slow", func(f *emulator.Fault) { f.DelayMs = 400 })
	add("paused", func(f *emulator.Fault) { f.Paused = true })
	add("loses answers", func(f *emulator.Fault) { f.LoseResponses = 3 })
	if part.Target == "worker" {
		add("restarted", func(f *emulator.Fault) { f.Restart = true })
	}
	return all
}
