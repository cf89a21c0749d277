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

// recordingPolicy is a placement policy that refuses every task and records the
// objective and the tasks that it is called with.
type recordingPolicy struct {
	mu         sync.Mutex
	objective  damaskspread.Objective
	placeCalls map[string]bool
}

func (p *recordingPolicy) Name() string { return "observer" }

func (p *recordingPolicy) SetObjective(objective damaskspread.Objective) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objective = objective
}

func (p *recordingPolicy) Place(task *damaskspread.PlacementTask, _ time.Time) (damaskspread.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placeCalls[task.Spec.GetTask()] = true
	return damaskspread.Placement{}, &damaskspread.PlacementRefusedError{Binding: damaskspread.BindingNoHost}
}

func (p *recordingPolicy) wait(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p.mu.Lock()
		defer p.mu.Unlock()
		if condition() {
			return poll.Success()
		}
		return poll.Continue("objective %+v, tasks passed to Place %v", p.objective, p.placeCalls)
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(30*time.Second))
}

// Guards against a running entry that ignores published changes of the objective
// or of a team's quota.
func TestPublishedSectionsReachTheScheduler(t *testing.T) {
	var processes tomb.Tomb
	clock := clockwork.NewRealClock()
	platform := &emulator.Platform{
		Clock:      clock,
		LogAddress: "127.0.0.1:0",
	}
	assert.NilError(t, platform.Listen())
	processes.Go(func() error { return platform.Run(&processes) })
	settings, diagnostics := validator.LoadSettings("entry", fmt.Sprintf(
		"[process]\nid = e\nrole = entry\nregion = r\nzone = a\nmonitor_listen = 127.0.0.1:1\n[log]\naddress = %s\n[entry]\nlisten = 127.0.0.1:2\npeer_listen = 127.0.0.1:3\n",
		strings.TrimPrefix(platform.LogURL(), "http://")))
	assert.Equal(t, len(diagnostics), 0, "%v", diagnostics)
	policy := &recordingPolicy{placeCalls: map[string]bool{}}
	recorder := server.StartScheduling(&processes, settings, clock, policy)
	defer func() {
		processes.Kill(nil)
		_ = processes.Wait()
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
	policy.wait(t, func() bool { return policy.objective == want })
	for id, millicores := range map[string]int64{"small": 500, "large": 2_000} {
		appendRecord(id, &wire.Record{Body: &wire.Record_TaskSubmitted{TaskSubmitted: &wire.TaskSubmitted{Spec: &wire.TaskSpec{
			Task:      id,
			Team:      "binders",
			Class:     wire.TaskClass_TASK_CLASS_BATCH,
			Resources: &wire.Resources{Millicores: millicores},
		}}}})
	}
	policy.wait(t, func() bool { return policy.placeCalls["small"] })
	policy.mu.Lock()
	large := policy.placeCalls["large"]
	policy.mu.Unlock()
	assert.Assert(t, !large, "task exceeds the quota of its team but was passed to Place")
	publish("3", "team binders", "owner = board\nprocessors = 4\n", &wire.Position{Offset: quota})
	policy.wait(t, func() bool { return policy.placeCalls["large"] })
}
