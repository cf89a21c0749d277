package e2e_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"damaskspread.example/damaskspread/emulator"
)

// taskFault is a fault that a test of tasks injects and ends.
type taskFault struct {
	name  string
	begin func()
	end   func()
	// stopsLog means that no entry can append records during the fault, so that
	// another fault whose end waits for a record cannot end before it.
	stopsLog bool
}

// endFaults ends the first fault before the second, unless the second stops the
// log.
func endFaults(first, second taskFault) {
	if second.stopsLog {
		first, second = second, first
	}
	first.end()
	second.end()
}

// TestTasksUnderPairsOfFaults guards against tasks that are lost, run on two
// hosts or resume twice when two faults overlap. The logged seed determines the
// pairs. Each pair is injected twice in a row, and every record is duplicated in
// the log up to 1.5 s later.
func TestTasksUnderPairsOfFaults(t *testing.T) {
	runParallel(t)
	random := newSeededRandom(t)
	limits := maps.Clone(taskLimits)
	limits["member_hold"] = "2s"
	c := prepareCluster(t, options{
		hosts:    3,
		zones:    []string{"a", "b", "c"},
		capacity: smallCapacity,
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
	c.duplicateRecords(func() time.Duration { return <-delays })
	c.startAll()
	faults := c.allTaskFaults()
	var tasks []string
	submit := func(count int) {
		for range count {
			tasks = append(tasks, c.submitTo(nil, taskRequest(fmt.Sprintf("ledger-%d", len(tasks)), 4*time.Second)))
		}
	}
	submit(8)
	for range 8 {
		first, second := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
		duration := time.Duration(100+random.IntN(1_200)) * time.Millisecond
		t.Logf("%s and %s for %s", first.name, second.name, duration)
		for range 2 {
			first.begin()
			second.begin()
			time.Sleep(duration)
			endFaults(first, second)
			time.Sleep(50 * time.Millisecond)
		}
	}
	submit(4)
	c.checkTasks(false, tasks...)
	c.checkCapacity()
}

// allTaskFaults returns the faults of every process, link and part of the
// platform. Ending a fault that has not begun has no effect.
func (c *cluster) allTaskFaults() []taskFault {
	var all []taskFault
	for _, p := range c.processes() {
		all = append(all, taskFault{
			name:  p.name + " killed",
			begin: p.kill,
			end: func() {
				if !p.running() {
					p.start()
				}
			},
		}, taskFault{
			name:  p.name + " paused",
			begin: p.pause,
			end:   p.resume,
		})
	}
	for _, h := range c.hosts {
		all = append(all, c.workerLinkFaults(h.id)...)
		for _, e := range c.entries {
			all = append(all, c.linkTaskFaults("sync/"+h.id+"/"+e.name)...)
		}
		all = append(all, c.platformFaults(emulator.Fault{
			Target: "worker",
			Host:   h.id,
		})...)
		all = append(all, taskFault{
			name:  "zone " + h.zone + " out",
			begin: func() { c.trySetZone(h.zone, false) },
			end:   func() { c.setZone(h.zone, true) },
		})
	}
	for _, e := range c.entries {
		all = append(all, c.linkTaskFaults("log/"+e.name)...)
	}
	return append(all, c.platformFaults(emulator.Fault{
		Target: "log",
	})...)
}

// workerLinkFaults returns the faults of the link to a worker. The platform cannot see
// that responses are dropped, so it is told.
func (c *cluster) workerLinkFaults(host string) []taskFault {
	faults := c.linkTaskFaults("worker/" + host)
	for i, fault := range faults {
		if !strings.HasSuffix(fault.name, string(toCaller)) {
			continue
		}
		faults[i].begin = func() {
			c.platform.SetResponsesDropped(host, true)
			fault.begin()
		}
		faults[i].end = func() {
			fault.end()
			c.platform.SetResponsesDropped(host, false)
		}
	}
	return faults
}

func (c *cluster) linkTaskFaults(link string) []taskFault {
	faults := []taskFault{{
		name:  link + " refused",
		begin: func() { c.proxies.refuse(link) },
		end: func() {
			if !c.proxies.get(link).Enabled {
				c.proxies.restore(link)
			}
		},
	}}
	for _, dir := range []direction{toServer, toCaller} {
		faults = append(faults, taskFault{
			name: link + " drops " + string(dir),
			begin: func() {
				c.proxies.heal(link, dir)
				c.proxies.drop(link, dir)
			},
			end: func() { c.proxies.heal(link, dir) },
		})
	}
	return faults
}

func (c *cluster) platformFaults(part emulator.Fault) []taskFault {
	var all []taskFault
	add := func(name string, change func(*emulator.Fault)) {
		fault := part
		change(&fault)
		all = append(all, taskFault{
			name:  part.Target + " " + part.Host + " " + name,
			begin: func() { c.setFault(fault) },
			end:   func() { c.setFault(part) },

			stopsLog: part.Target == "log" && (fault.Down || fault.Paused),
		})
	}
	add("down", func(f *emulator.Fault) { f.Down = true })
	add("slow", func(f *emulator.Fault) { f.DelayMs = 400 })
	add("paused", func(f *emulator.Fault) { f.Paused = true })
	add("loses responses", func(f *emulator.Fault) { f.LoseResponses = 3 })
	if part.Target == "worker" {
		add("restarted", func(f *emulator.Fault) { f.Restart = true })
	}
	return all
}
