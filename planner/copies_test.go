package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/wire"
)

// straggler is a run of 2 s that has gained 5% in one.
func straggler() planner.CopyCandidate {
	return planner.CopyCandidate{
		Group:    "g",
		Service:  "s",
		Request:  &wire.Resources{Millicores: 500, MemoryBytes: 1 << 30},
		Elapsed:  2 * time.Second,
		Percent:  8,
		Expected: 2 * time.Second,
		Eligible: true,

		Progressed: 5,
		Observed:   time.Second,
	}
}

// idleRoom is a service of which half is free.
func idleRoom() *planner.CopyRoom {
	return &planner.CopyRoom{
		Capacity: wire.Resources{Millicores: 40_000, MemoryBytes: 80 << 30},
		Free:     wire.Resources{Millicores: 20_000, MemoryBytes: 40 << 30},
	}
}

func copiesOf(room *planner.CopyRoom, candidates ...planner.CopyCandidate) int {
	return len(planner.ChooseCopies(candidates, map[string]*planner.CopyRoom{"s": room}))
}

// Guards against copies of runs that are in time, that can't be told yet or that must not
// be copied, and against stragglers without a copy.
func TestChooseCopies(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(c *planner.CopyCandidate)
		copies int
	}{
		{"straggler", func(*planner.CopyCandidate) {}, 1},
		{"not eligible", func(c *planner.CopyCandidate) { c.Eligible = false }, 0},
		{"tasks of the step wait", func(c *planner.CopyCandidate) { c.Waiting = 1 }, 0},
		{"other service", func(c *planner.CopyCandidate) { c.Service = "other" }, 0},
		{"no estimate", func(c *planner.CopyCandidate) { c.Expected = 0 }, 0},
		{"just begun", func(c *planner.CopyCandidate) { c.Observed, c.Progressed = 500*time.Millisecond, 2 }, 0},
		{"one report of old progress", func(c *planner.CopyCandidate) { c.Observed, c.Progressed, c.Percent = 0, 0, 1 }, 0},
		{"in time", func(c *planner.CopyCandidate) { c.Percent, c.Progressed = 90, 50 }, 0},
		{"half as long again", func(c *planner.CopyCandidate) { c.Percent, c.Progressed = 60, 33 }, 0},
		{"as good as done", func(c *planner.CopyCandidate) { c.Elapsed, c.Percent, c.Progressed = time.Hour, 100, 2 }, 0},
		{"no progress yet", func(c *planner.CopyCandidate) { c.Percent, c.Progressed = 0, 0 }, 0},
		{"hangs", func(c *planner.CopyCandidate) { c.Elapsed, c.Observed, c.Progressed = 6*time.Second, 5*time.Second, 0 }, 1},
		{"done since by its pace", func(c *planner.CopyCandidate) { c.Percent, c.ReportAge = 95, 2*time.Second }, 0},
		{"hangs half way", func(c *planner.CopyCandidate) { c.Percent, c.Elapsed, c.ReportAge = 50, 6*time.Second, 4*time.Second }, 1},
	} {
		c := straggler()
		test.change(&c)
		assert.Equal(t, copiesOf(idleRoom(), c), test.copies, test.name)
	}
}

// Guards against copies of a whole step whose declared run time is too short, and against
// several stragglers of a wide step that are taken for such a step.
func TestSlowSiblingsAreNoStragglers(t *testing.T) {
	slow := straggler()
	slow.Percent, slow.Progressed = 20, 12
	assert.Equal(t, copiesOf(idleRoom(), slow), 1)
	assert.Equal(t, copiesOf(idleRoom(), slow, slow, slow, slow), 0)
	slow.Done = 20
	assert.Equal(t, copiesOf(idleRoom(), slow, slow, slow, slow), 4)
	slow.Done = 0
	worse := straggler()
	worse.Progressed = 1
	assert.Equal(t, copiesOf(idleRoom(), slow, slow, slow, worse), 1)
}

// Guards against copies that take the room of first runs, or more than their share of the
// service, and against services that are so small that none fits in the share.
func TestRoomForCopies(t *testing.T) {
	waiting := idleRoom()
	waiting.Waiting = true
	assert.Equal(t, copiesOf(waiting, straggler()), 0)

	full := idleRoom()
	full.Free.MemoryBytes = 8 << 30
	assert.Equal(t, copiesOf(full, straggler()), 0)
	full.Free.MemoryBytes = 9 << 30
	assert.Equal(t, copiesOf(full, straggler(), straggler()), 1)

	var many []planner.CopyCandidate
	for range 10 {
		c := straggler()
		c.Group = string(rune('a' + len(many)))
		many = append(many, c)
	}
	assert.Equal(t, copiesOf(idleRoom(), many...), 4)

	small := &planner.CopyRoom{
		Capacity: wire.Resources{Millicores: 2000, MemoryBytes: 8 << 30},
		Free:     wire.Resources{Millicores: 1000, MemoryBytes: 4 << 30},
	}
	assert.Equal(t, copiesOf(small, many...), 1)
}

// Guards against room that goes to the straggler that gains least.
func TestLargestGainFirst(t *testing.T) {
	lesser, greater := straggler(), straggler()
	lesser.Group, lesser.Progressed = "other", 8
	room := idleRoom()
	room.Free.Millicores = 4500
	choices := planner.ChooseCopies([]planner.CopyCandidate{lesser, greater}, map[string]*planner.CopyRoom{"s": room})
	assert.Equal(t, len(choices), 1)
	assert.Equal(t, choices[0].Index, 1)
	assert.Assert(t, choices[0].Remaining > 15*time.Second, "%+v", choices[0])
	assert.Equal(t, choices[0].NewRun, 2*time.Second)
}
