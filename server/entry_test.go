package server_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/server"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

// observer is a placement policy that records what reaches it.
type observer struct {
	mu        sync.Mutex
	objective damaskspread.Objective
	asked     map[string]bool
}

func (o *observer) Name() string { return "observer" }

func (o *observer) SetObjective(objective damaskspread.Objective) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objective = objective
}

func (o *observer) Place(task *damaskspread.PlacementTask, _ time.Time) (damaskspread.Placement, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked[task.Spec.GetTask()] = true
	return damaskspread.Placement{}, &damaskspread.PlacementRefusedError{Binding: damaskspread.BindingNoHost}
}

func (o *observer) wait(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		o.mu.Lock()
		defer o.mu.Unlock()
		if condition() {
			return poll.Success()
		}
		return poll.Continue("objective %+v, asked %v", o.objective, o.asked)
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(30*time.Second))
}

// Guards against published weights and quotas that a running entry does not
// follow.
func TestPublishedSectionsReachTheScheduler(t *testing.T) {
	var group tomb.Tomb
	clock := clockwork.NewRealClock()
	platform := &emulator.Platform{
		Clock:      clock,
		LogAddress: "127.0.0.1:0",
	}
	assert.NilError(t, platform.Listen())
	group.Go(func() error { return platform.Run(&group) })
	settings, diagnostics := validator.LoadSettings("entry", fmt.Sprintf(
		"[process]\nid = e\nrole = entry\nregion = r\nzone = a\nmonitor_listen = 127.0.0.1:1\n[log]\naddress = %s\n[entry]\nlisten = 127.0.0.1:2\npeer_listen = 127.0.0.1:3\n",
		strings.TrimPrefix(platform.LogURL(), "http://")))
	assert.Equal(t, len(diagnostics), 0, "%v", diagnostics)
	o := &observer{asked: map[string]bool{}}
	recorder := server.StartScheduling(&group, settings, clock, o)
	defer func() {
		group.Kill(nil)
		_ = group.Wait()
	}()
	appendRecord := func(id string, record *wire.Record) int64 {
		record.Id = id
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		offset, err := recorder.AppendRecords(ctx, []*wire.Record{record})
		assert.NilError(t, err)
		return offset
	}
	publish := func(id, section, text string, base *wire.Position) int64 {
		return appendRecord(id, &wire.Record{Body: &wire.Record_SectionPublished{SectionPublished: &wire.SectionPublished{
			Section: section,
			Text:    text,
			Base:    base,
			Team:    "board",
		}}})
	}
	quota := publish("1", "team binders", "owner = board\nprocessors = 1\n", nil)
	publish("2", "objective", "owner = board\ntail_latency = 5\n", nil)
	want := damaskspread.Objective{TailLatency: 5, BatchThroughput: 1, Evictions: 1}
	o.wait(t, func() bool { return o.objective == want })
	for id, millicores := range map[string]int64{"small": 500, "large": 2_000} {
		appendRecord(id, &wire.Record{Body: &wire.Record_TaskSubmitted{TaskSubmitted: &wire.TaskSubmitted{Spec: &wire.TaskSpec{
			Task:      id,
			Team:      "binders",
			Class:     wire.TaskClass_TASK_CLASS_BATCH,
			Resources: &wire.Resources{Millicores: millicores},
		}}}})
	}
	o.wait(t, func() bool { return o.asked["small"] })
	o.mu.Lock()
	large := o.asked["large"]
	o.mu.Unlock()
	assert.Assert(t, !large, "the quota does not allow it")
	publish("3", "team binders", "owner = board\nprocessors = 4\n", &wire.Position{Offset: quota})
	o.wait(t, func() bool { return o.asked["large"] })
}
