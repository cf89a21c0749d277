package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// hostWithMargin returns a host near its target.
func hostWithMargin(name string, margin float64) *planner.Host {
	host := newHost(name, 16)
	host.NearTarget = true
	host.Margin = margin
	return host
}

// waited returns the groups of a best-effort job that has waited.
func waited(id string, wait time.Duration) []*tracker.Group {
	groups := readyGroups(newJob(id, 2, bestEffort(3, "batch")))
	groups[0].CountWait(1, 0, 0)
	groups[0].CountWait(1, wait, 0)
	return groups
}

// Guards against a forced start on a host whose service is over its target, or on
// one whose last forced start isn't measured, while another host fits better; and
// against a job that never starts because all services are over their target.
func TestForcedStart(t *testing.T) {
	p := &planner.Planner{BestEffortWait: 10 * time.Second}
	unmeasured := func(host *planner.Host) *planner.Host {
		host.ForcedUnmeasured = true
		return host
	}
	full := hostWithMargin("full", 0.9)
	full.Capacity = &wire.Resources{Millicores: 16000}
	for name, test := range map[string]struct {
		hosts []*planner.Host
		want  map[string]int
	}{
		"largest margin":           {[]*planner.Host{hostWithMargin("a", 0.1), hostWithMargin("b", 0.14), hostWithMargin("c", -0.2)}, map[string]int{"b": 1}},
		"unmeasured host":          {[]*planner.Host{unmeasured(hostWithMargin("a", 0.14)), hostWithMargin("b", 0.1)}, map[string]int{"b": 1}},
		"over target, other later": {[]*planner.Host{unmeasured(hostWithMargin("a", 0.1)), hostWithMargin("b", -0.1)}, map[string]int{}},
		"all over target":          {[]*planner.Host{hostWithMargin("a", -0.3), hostWithMargin("b", -0.1)}, map[string]int{"b": 1}},
		"no memory":                {[]*planner.Host{full}, map[string]int{}},
	} {
		plan := p.Plan(waited("1", 10*time.Second), test.hosts)
		assert.DeepEqual(t, countByHost(plan), test.want)
		for _, a := range plan {
			assert.Assert(t, a.Forced && a.Percent == planner.LowestPercent && a.Waited == 10*time.Second, "%s: %+v", name, a)
		}
	}
}

// Guards against a start that is forced before the bound or only after it, and against
// the long bound where less than half of the service's processors are requested.
func TestForcedStartAtTheBound(t *testing.T) {
	p := &planner.Planner{BestEffortWait: 10 * time.Second}
	for _, test := range []struct {
		requested int64
		bound     time.Duration
	}{{requested: 7900, bound: 2500 * time.Millisecond}, {requested: 8000, bound: 10 * time.Second}} {
		for _, wait := range []time.Duration{test.bound - time.Millisecond, test.bound} {
			host := hostWithMargin("a", 0.1)
			host.AddPlanned("other", ordinary(1, test.requested))
			plan := p.Plan(waited("1", wait), []*planner.Host{host})
			assert.Equal(t, len(plan) == 1, wait == test.bound, "%d requested, waited %s", test.requested, wait)
		}
	}
}

// Guards against two forced starts on a host in one cycle, and against one for a job
// that has a run in progress.
func TestForcedStartsAreLimited(t *testing.T) {
	p := &planner.Planner{BestEffortWait: 10 * time.Second}
	groups := append(waited("1", 10*time.Second), waited("2", 20*time.Second)...)
	plan := p.Plan(groups, []*planner.Host{hostWithMargin("a", 0.1), hostWithMargin("b", -0.1)})
	assert.DeepEqual(t, countByHost(plan), map[string]int{"a": 1})
	plan[0].Task.Assign(plan[0].Host.Key, "a", 1, time.Second)
	assert.Equal(t, len(p.Plan(groups[:1], []*planner.Host{hostWithMargin("a", 0.1)})), 0)
}

// Guards against a required speed that stays the same, and against a task that
// begins at full pace on a host where it is predicted to be slow.
func TestRequiredSpeedDecreases(t *testing.T) {
	p := &planner.Planner{BestEffortWait: 10 * time.Second}
	for _, test := range []struct {
		wait time.Duration
		busy int64
		want []int32
	}{
		// The first task is predicted to get 0.4 of its processors.
		{wait: 9900 * time.Millisecond, busy: 15_200, want: nil},
		// At the bound one start is forced.
		{wait: 10 * time.Second, busy: 15_200, want: []int32{10}},
		{wait: 23 * time.Second, busy: 15_200, want: []int32{40}},
		// The first gets 0.52, the second 0.26 and the third 0.17.
		{wait: 23 * time.Second, busy: 14_960, want: []int32{0}},
		{wait: 39900 * time.Millisecond, busy: 14_960, want: []int32{0, 20}},
	} {
		host := newHost("a", 16)
		busy := newJob("0", 0, ordinary(1, test.busy))
		task := readyGroups(busy)[0].First()
		task.Assign(host.Key, "a", 1, time.Second)
		host.AddAssigned(task)
		var percents []int32
		for _, a := range p.Plan(waited("1", test.wait), []*planner.Host{host}) {
			percents = append(percents, a.Percent)
		}
		assert.DeepEqual(t, percents, test.want)
	}
}

// Guards against reports that count as a measurement of a forced start although they
// are older than its run, and against a single report that decides.
func TestLatencyHistory(t *testing.T) {
	var l planner.LatencyHistory
	l.Observe(0.9, nil)
	assert.Equal(t, l.Ratio(), 0.9)
	l.Observe(0.7, nil)
	assert.Assert(t, !l.Measured(), "a new leader knows no earlier forced starts")
	l.Observe(0.8, nil)
	assert.Equal(t, l.Ratio(), 0.8)
	assert.Assert(t, l.Measured())

	task := readyGroups(newJob("1", 2, bestEffort(1, "batch")))[0].First()
	task.Assign(tracker.ExecutorKey{ID: "a"}, "a", 1, time.Second)
	l.Force(task)
	listed := []*wire.TaskRun{{Task: task.ID().String(), Run: 1}}
	for _, running := range [][]*wire.TaskRun{nil, nil, nil, listed, listed} {
		l.Observe(0.8, running)
		assert.Assert(t, !l.Measured())
	}
	l.Observe(0.8, listed)
	assert.Assert(t, l.Measured())
}

// Guards against best-effort tasks that share a host although each of them would be
// slower than the configured least speed, and against a configured speed that keeps
// tasks waiting although the host has room for them.
func TestBestEffortSpeed(t *testing.T) {
	for _, test := range []struct {
		speed   float64
		planned int
	}{{speed: 0, planned: 16}, {speed: 0.5, planned: 16}, {speed: 0.8, planned: 10}, {speed: 1, planned: 8}} {
		p := &planner.Planner{BestEffortSpeed: test.speed}
		plan := p.Plan(readyGroups(newJob("1", 2, bestEffort(40, "render"))), []*planner.Host{newHost("a", 16)})
		assert.Equal(t, len(plan), test.planned, "speed %v", test.speed)
	}
}
