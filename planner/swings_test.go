package planner_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	swingCycle  = 100 * time.Millisecond
	swingReport = 500 * time.Millisecond
)

// swings is a load of 11 hosts. Each has a serving task whose latency swings around
// 0.85 of its target, and best-effort tasks of an image whose interference is
// unknown: a third one is predicted to get 0.4 of its processors, a fifth one 0.24.
type swings struct {
	planner *planner.Planner
	hosts   []string
	tasks   map[string][]*tracker.Task
	waiting []*tracker.Job
	// single has the latest ratio of each host.
	single    map[string]float64
	latencies map[string]*planner.LatencyHistory
}

func newSwings(p *planner.Planner, running int32, counts ...int32) *swings {
	p.Weight = func(string, string) float64 { return 2 }
	s := &swings{
		planner:   p,
		tasks:     map[string][]*tracker.Task{},
		single:    map[string]float64{},
		latencies: map[string]*planner.LatencyHistory{},
	}
	for i := range 11 {
		name := fmt.Sprint("host-", i)
		s.hosts = append(s.hosts, name)
		s.latencies[name] = &planner.LatencyHistory{}
		busy := newJob("busy-"+name, 0, serving("serving"), bestEffort(running, "batch"))
		for _, group := range busy.Ready(0) {
			for _, task := range waitingTasks(group) {
				task.Assign(tracker.ExecutorKey{ID: name}, name, 1, time.Second)
				s.tasks[name] = append(s.tasks[name], task)
			}
		}
	}
	for _, count := range counts {
		s.waiting = append(s.waiting, newJob(fmt.Sprint("step-of-", count), 2, bestEffort(count, "new")))
	}
	return s
}

// latencyRatio is the latency of a host's serving task in a report, in relation to
// its target.
func latencyRatio(host, report int) float64 {
	return 0.85 + 0.06*math.Sin(1.7*float64(host)+2.3*float64(report))
}

// play runs scheduling cycles and returns the time of the first start of each
// waiting job. Each report shows 2 to 8 hosts near their target.
func (s *swings) play(t *testing.T, duration time.Duration) map[string]time.Duration {
	first := map[string]time.Duration{}
	forcedAt := map[string]time.Duration{}
	for now := time.Duration(0); now < duration; now += swingCycle {
		if now%swingReport == 0 {
			s.report(t, int(now/swingReport))
		}
		groups := readyGroups(s.waiting...)
		for _, group := range groups {
			group.CountWait(now.Milliseconds()+1, now, time.Hour)
		}
		for _, a := range s.planner.Plan(groups, s.candidates()) {
			a.Task.Assign(a.Host.Key, a.Host.Name, a.Run, now)
			s.tasks[a.Host.Name] = append(s.tasks[a.Host.Name], a.Task)
			if _, started := first[a.Task.Job().Spec().GetId()]; !started {
				first[a.Task.Job().Spec().GetId()] = now
			}
			if !a.Forced {
				continue
			}
			before, forced := forcedAt[a.Host.Name]
			assert.Assert(t, !forced || now-before > 2*swingReport, "%s: forced starts at %s and %s", a.Host.Name, before, now)
			forcedAt[a.Host.Name] = now
			s.latencies[a.Host.Name].Force(a.Task)
		}
	}
	return first
}

// report adds a report of each host to its history.
func (s *swings) report(t *testing.T, number int) {
	near := 0
	for i, name := range s.hosts {
		ratio := latencyRatio(i, number)
		s.single[name] = ratio
		if ratio > 0.85 {
			near++
		}
		var running []*wire.TaskRun
		for _, task := range s.tasks[name] {
			running = append(running, &wire.TaskRun{Task: task.ID().String(), Run: task.Run()})
		}
		s.latencies[name].Observe(ratio, running)
	}
	assert.Assert(t, near >= 2 && near <= 8, "%d hosts near their target", near)
}

func (s *swings) candidates() []*planner.Host {
	var hosts []*planner.Host
	for _, name := range s.hosts {
		host := newHost(name, 16)
		host.NearTarget = s.single[name] > 0.85
		if s.planner.BestEffortWait > 0 {
			host.NearTarget = s.latencies[name].Ratio() > 0.85
			host.Margin = 1 - s.latencies[name].Ratio()
			host.ForcedUnmeasured = !s.latencies[name].Measured()
		}
		for _, task := range s.tasks[name] {
			host.AddAssigned(task)
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// Guards against best-effort steps that never start beside serving tasks whose
// latency swings around the threshold, while most of the capacity is free, and
// against a second forced start on a host before its reports show the first.
func TestBestEffortStepsStartBesideSwingingServices(t *testing.T) {
	const wait = 10 * time.Second
	for name, test := range map[string]struct {
		running int32
		counts  []int32
		// bound is beyond the wait only if more jobs wait than there are hosts.
		bound time.Duration
	}{
		"slow":              {running: 2, counts: []int32{3, 8, 20}, bound: wait},
		"too slow":          {running: 4, counts: []int32{3, 8, 20}, bound: wait},
		"more than 11 jobs": {running: 4, counts: []int32{3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 20}, bound: wait + 2*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			first := newSwings(&planner.Planner{BestEffortWait: wait}, test.running, test.counts...).play(t, 31*time.Second)
			t.Log(first)
			assert.Equal(t, len(first), len(test.counts), "started: %v", first)
			for job, at := range first {
				assert.Assert(t, at <= test.bound, "%s started after %s", job, at)
			}
		})
	}
}

// Guards against a change of the behavior without a bound.
func TestBestEffortStepsWaitWithoutBound(t *testing.T) {
	assert.Equal(t, len(newSwings(&planner.Planner{}, 2, 3, 8, 20).play(t, 31*time.Second)), 0)
}
