package placer_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/placer"
	"damaskspread.example/damaskspread/wire"
)

// refusalCase is a task that no host of z1 and z2 takes.
type refusalCase struct {
	spec    *wire.TaskSpec
	prepare func(*placer.Index)
	binding damaskspread.Binding
	never   bool
}

var refusalCases = map[string]refusalCase{
	"too many processors": {
		spec:    batch("t", resources(32_000, 1, 0)),
		binding: damaskspread.BindingMillicores,
		never:   true,
	},
	"too much memory": {
		spec:    batch("t", resources(1_000, 100, 0)),
		binding: damaskspread.BindingMemory,
		never:   true,
	},
	"processors in use": {
		spec: batch("t", resources(9_000, 1, 0)),
		prepare: func(x *placer.Index) {
			x.Commit(batch("1", resources(8_000, 1, 0)), "a")
			x.Commit(batch("2", resources(8_000, 1, 0)), "b")
		},
		binding: damaskspread.BindingMillicores,
	},
	"no accelerators": {
		spec:    batch("t", resources(1_000, 1, 1)),
		binding: damaskspread.BindingAccelerators,
		never:   true,
	},
	"unknown zone": {
		spec: &wire.TaskSpec{
			Resources: resources(1, 1, 0),
			Zones:     []string{"elsewhere"},
		},
		binding: damaskspread.BindingZone,
		never:   true,
	},
	"zones out": {
		spec: batch("t", resources(1, 1, 0)),
		prepare: func(x *placer.Index) {
			x.SetZone("z1", false, start)
			x.SetZone("z2", false, start)
		},
		binding: damaskspread.BindingZone,
	},
	"quarantined": {
		spec: batch("t", resources(1, 1, 0)),
		prepare: func(x *placer.Index) {
			x.SetAdmission("a", placer.Quarantined)
			x.SetAdmission("b", placer.Quarantined)
		},
		binding: damaskspread.BindingQuarantine,
	},
	"headroom": {
		spec: &wire.TaskSpec{
			Task:      "t",
			Class:     wire.TaskClass_TASK_CLASS_BATCH,
			Resources: resources(10_000, 1, 0),
		},
		prepare: func(x *placer.Index) {
			for _, id := range []string{"a", "b"} {
				urgent := batch("u"+id, resources(6_000, 1, 0))
				urgent.Class = wire.TaskClass_TASK_CLASS_LATENCY_CRITICAL
				x.Commit(urgent, id)
			}
		},
		binding: damaskspread.BindingHeadroom,
	},
}

// Guards against a refusal with the wrong binding constraint, or with Never set
// for a task that only has to wait.
func TestRefusalNamesTheBindingConstraint(t *testing.T) {
	for name, c := range refusalCases {
		t.Run(name, func(t *testing.T) {
			x := placer.NewIndex()
			x.SetHost(hostIn("a", "z1", 16_000, 60, 0))
			x.SetHost(hostIn("b", "z2", 16_000, 60, 0))
			if c.prepare != nil {
				c.prepare(x)
			}
			_, err := place(spread(x, 1), c.spec)
			var refused *damaskspread.PlacementRefusedError
			assert.Assert(t, errors.As(err, &refused))
			assert.Equal(t, refused.Binding, c.binding, refused.Detail)
			assert.Equal(t, refused.Never, c.never, refused.Detail)
		})
	}
}

// Guards against two faults of refusals in large clusters, where hosts are
// sampled: reporting a quarantine although a host outside the sample is available,
// and losing hosts whose capacity changed.
func TestRefusalInLargeCluster(t *testing.T) {
	x := placer.NewIndex()
	for i := range 1_000 {
		id := fmt.Sprint("h", i)
		x.SetHost(hostIn(id, fmt.Sprint("z", i%10), 8_000, 30, 0))
		x.SetHost(hostIn(id, fmt.Sprint("z", i%10), 16_000, 60, 0))
		if i != 11 {
			x.SetAdmission(id, placer.Quarantined)
		}
	}
	x.Commit(batch("full", resources(16_000, 1, 0)), "h11")
	for cores, want := range map[int64]damaskspread.Binding{
		1_000:  damaskspread.BindingMillicores,
		16_001: damaskspread.BindingMillicores,
	} {
		_, err := place(spread(x, 1), batch("new", resources(cores, 1, 0)))
		var refused *damaskspread.PlacementRefusedError
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Binding, want, "%v", err)
		assert.Equal(t, refused.Never, cores > 16_000, "%v", err)
	}
	x.SetAdmission("h11", placer.Quarantined)
	_, err := place(spread(x, 1), batch("new", resources(1_000, 1, 0)))
	assert.ErrorContains(t, err, "the 1000 hosts that could hold the task are quarantined")
}
