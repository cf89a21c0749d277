package auditor_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/auditor"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

func publishRecord(id, section, text string, base *wire.Position) *wire.Record {
	return &wire.Record{
		Id:    id,
		Actor: "ops/ana",
		Body: &wire.Record_SectionPublished{SectionPublished: &wire.SectionPublished{
			Section: section,
			Text:    text,
			Base:    base,
			Team:    "ops",
		}},
	}
}

func apply(state *replayer.State, records ...*wire.Record) []replayer.Change {
	return state.Apply(state.Offset()+1, &wire.RecordBatch{
		Records: records,
	})
}

// Guards against showing a conflicting publication as applied, or the values of
// another change.
func TestSectionChanges(t *testing.T) {
	state, audit := replayer.New(), &auditor.Auditor{}
	audit.Observe(apply(state, publishRecord("r1", "zone a", "owner = ops\nin_service = yes\n", nil)))
	base := &wire.Position{
		Offset: 0,
	}
	audit.Observe(apply(
		state,
		publishRecord("r2", "zone a", "owner = ops\nin_service = no\n", base),
		publishRecord("r3", "zone a", "owner = ops\ndrain = yes\n", base),
	))
	list := audit.List(auditor.Filter{Subject: "zone a", Limit: 10})
	assert.Equal(t, len(list), 3)
	assert.Assert(t, !list[0].Applied())
	assert.Equal(t, list[0].Reason(), damaskspread.ReasonConflict)
	assert.Assert(t, list[1].Applied())
	assert.Equal(t, list[1].From(), "in_service = yes")
	assert.Equal(t, list[1].To(), "in_service = no")
	entry, ok := audit.Await(context.Background(), "r3")
	assert.Assert(t, ok && !entry.Applied())
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok = audit.Await(canceled, "r9")
	assert.Assert(t, !ok)
}

// Guards against changes of tasks that replace changes by operators, and against
// an audit trail that grows without limit.
func TestEntryLimits(t *testing.T) {
	state, audit := replayer.New(), &auditor.Auditor{}
	audit.Observe(apply(state, publishRecord("r1", "zone a", "owner = ops\n", nil)))
	const tasks = 20_000
	for i := range tasks {
		audit.Observe(apply(state, &wire.Record{
			Id: fmt.Sprintf("s%d", i),
			Body: &wire.Record_TaskSubmitted{TaskSubmitted: &wire.TaskSubmitted{
				Spec: &wire.TaskSpec{
					Task: fmt.Sprintf("t%d", i),
				},
			}},
		}))
	}
	list := audit.List(auditor.Filter{Limit: 2 * tasks})
	assert.Equal(t, len(list), 16384+1)
	assert.Equal(t, list[0].Subject(), fmt.Sprintf("t%d", tasks-1))
	assert.Equal(t, list[len(list)-1].Subject(), "zone a")
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok := audit.Await(canceled, "s0")
	assert.Assert(t, !ok)
	_, ok = audit.Await(canceled, "r1")
	assert.Assert(t, ok)
}

type channelSource chan []replayer.Change

func (s channelSource) Next(ctx context.Context) ([]replayer.Change, bool, error) {
	select {
	case <-ctx.Done():
		return nil, false, ctx.Err()
	case changes := <-s:
		return changes, changes == nil, nil
	}
}

// Guards against dropped changes that are not counted as a gap, against values
// from before the dropped changes, and against losing the last change of each
// section at a restart.
func TestReload(t *testing.T) {
	var mu sync.Mutex
	state, reads := replayer.New(), make(chan struct{}, 2)
	applyLocked := func(records ...*wire.Record) []replayer.Change {
		mu.Lock()
		defer mu.Unlock()
		return apply(state, records...)
	}
	applyLocked(publishRecord("r0", "zone a", "owner = ops\ndrain = no\n", nil))
	changes := make(channelSource)
	audit := &auditor.Auditor{
		Source: changes,
		View: func(read func(*replayer.State)) {
			mu.Lock()
			defer mu.Unlock()
			read(state)
			reads <- struct{}{}
		},
	}
	var runTomb tomb.Tomb
	runTomb.Go(func() error { return audit.Run(&runTomb) })
	<-reads
	changes <- applyLocked(publishRecord("r1", "kind b", "owner = ops\n", nil))
	reflected := applyLocked(publishRecord("r2", "zone a", "owner = ops\ndrain = yes\n", &wire.Position{}))
	changes <- nil
	<-reads
	changes <- reflected
	changes <- applyLocked(publishRecord("r3", "zone a", "owner = ops\n", &wire.Position{Offset: 2}))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	entry, ok := audit.Await(ctx, "r3")
	assert.Assert(t, ok)
	assert.Equal(t, entry.From(), "drain = yes")
	entry, ok = audit.Await(ctx, "r2")
	assert.Assert(t, ok && entry.Applied())
	list := audit.List(auditor.Filter{Kind: "section", Limit: 10})
	assert.Equal(t, len(list), 4)
	assert.Equal(t, list[3].Actor(), "ops/ana")
	assert.Equal(t, list[3].To(), "owner = ops, drain = no")
	since, gaps := audit.Coverage()
	assert.Equal(t, since, int64(1))
	assert.Equal(t, gaps, 1)
	runTomb.Kill(nil)
	assert.NilError(t, runTomb.Wait())
}
