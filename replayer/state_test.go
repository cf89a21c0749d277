package replayer_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/encoding/prototext"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

func at(offset int64) *wire.Position {
	return &wire.Position{
		Offset: offset,
	}
}

// record parses a record in text format.
func record(format string, args ...any) *wire.Record {
	parsed := &wire.Record{}
	if err := prototext.Unmarshal(fmt.Appendf(nil, format, args...), parsed); err != nil {
		panic(err)
	}
	return parsed
}

func joined(host, incarnation, boot, zone string) *wire.Record {
	return record(`host_joined {entry: "e1" spec {host: %q incarnation: %q worker_boot: %q zone: %q
		capacity {millicores: 10} endpoint {service: "tags"}}}`, host, incarnation, boot, zone)
}

func replacing(record *wire.Record, position *wire.Position) *wire.Record {
	record.GetHostJoined().Replaces = position
	return record
}

func submitted(task, key string, millicores int64) *wire.Record {
	return record(`task_submitted {spec {task: %q idempotency_key: %q body_hash: %q resources {millicores: %d}}}`,
		task, key, task, millicores)
}

func claimed(task string, attempt int32, host, boot string) *wire.Record {
	return record(`task_claimed {task: %q attempt: %d host: %q worker_boot: %q}`, task, attempt, host, boot)
}

func evicted(task string, attempt int32, host string) *wire.Record {
	return record(`task_evicted {task: %q attempt: %d host: %q checkpoint: "c1"}`, task, attempt, host)
}

func finished(task string, attempt int32, host string, result wire.TaskResult, retry bool) *wire.Record {
	return record(`task_finished {task: %q attempt: %d host: %q result: %d retry: %t}`, task, attempt, host, result, retry)
}

func canceled(task string) *wire.Record { return record(`cancel_requested {task: %q}`, task) }

func published(section, text string, base *wire.Position) *wire.Record {
	parsed := record(`section_published {section: %q text: %q team: "ops"}`, section, text)
	parsed.GetSectionPublished().Base = base
	return parsed
}

func expired(host, incarnation string, alive *wire.Position) *wire.Record {
	parsed := record(`host_expired {host {host: %q incarnation: %q}}`, host, incarnation)
	parsed.GetHostExpired().Alive = alive
	return parsed
}

func forgotten(host, incarnation string, alive *wire.Position) *wire.Record {
	parsed := record(`host_forgotten {host {host: %q incarnation: %q}}`, host, incarnation)
	parsed.GetHostForgotten().Alive = alive
	return parsed
}

func released(host, boot string, alive *wire.Position, reason wire.ReleaseReason) *wire.Record {
	parsed := record(`host_released {host: %q worker_boot: %q reason: %d}`, host, boot, reason)
	parsed.GetHostReleased().Alive = alive
	return parsed
}

func alive(host, incarnation string) *wire.Record {
	return record(`hosts_alive {entry: "e1" hosts {host: %q incarnation: %q}}`, host, incarnation)
}

func ready(host *wire.HostRef, shard int32, epoch *wire.Position) *wire.Record {
	parsed := record(`shards_ready {service: "tags" shards {shard: %d epoch {offset: %d}}}`, shard, epoch.GetOffset())
	parsed.GetShardsReady().Host = host
	return parsed
}

// replay applies each record as a batch of its own and returns the reason for
// which the last one was void, empty if it took effect.
func replay(state *replayer.State, records ...*wire.Record) damaskspread.Reason {
	var reason damaskspread.Reason
	for _, record := range records {
		changes := state.Apply(state.Offset()+1, &wire.RecordBatch{
			Records: []*wire.Record{record},
		})
		reason = ""
		for _, change := range changes {
			if change.Kind() == replayer.Void {
				reason = change.Reason()
			}
		}
	}
	return reason
}

// Guards against records that take effect after the state they were based on
// has changed.
func TestVoidRecords(t *testing.T) {
	base := []*wire.Record{
		joined("h1", "i1", "b1", "z1"),
		submitted("t1", "k1", 6),
		submitted("t2", "", 6),
		claimed("t1", 1, "h1", "b1"),
	}
	none := damaskspread.Reason("")
	hold := wire.ReleaseReason_RELEASE_REASON_HOLD_PASSED
	fenced := wire.ReleaseReason_RELEASE_REASON_FENCED
	succeeded := wire.TaskResult_TASK_RESULT_SUCCEEDED
	for name, tc := range map[string]struct {
		records []*wire.Record
		want    damaskspread.Reason
	}{
		"second claim of an attempt":         {[]*wire.Record{claimed("t1", 1, "h1", "b1")}, damaskspread.ReasonConflict},
		"claim beyond the capacity":          {[]*wire.Record{claimed("t2", 1, "h1", "b1")}, damaskspread.ReasonOverloaded},
		"claim for another boot":             {[]*wire.Record{claimed("t2", 1, "h1", "b0")}, damaskspread.ReasonNotFound},
		"claim in a zone out of service":     {[]*wire.Record{published("zone z1", "in_service = false", nil), claimed("t2", 1, "h1", "b1")}, damaskspread.ReasonZoneOut},
		"claim on an expired host":           {[]*wire.Record{expired("h1", "i1", at(0)), claimed("t2", 1, "h1", "b1")}, damaskspread.ReasonNotFound},
		"expiry after a heartbeat":           {[]*wire.Record{alive("h1", "i1"), expired("h1", "i1", at(0))}, damaskspread.ReasonConflict},
		"release after a heartbeat":          {[]*wire.Record{alive("h1", "i1"), released("h1", "b1", at(0), hold)}, damaskspread.ReasonConflict},
		"fenced release after a heartbeat":   {[]*wire.Record{alive("h1", "i1"), released("h1", "b1", at(0), fenced)}, damaskspread.ReasonConflict},
		"fenced release":                     {[]*wire.Record{released("h1", "b1", at(0), fenced)}, none},
		"host declared lost":                 {[]*wire.Record{alive("h1", "i1"), released("h1", "b1", nil, wire.ReleaseReason_RELEASE_REASON_DECLARED_LOST)}, none},
		"heartbeat after expiry":             {[]*wire.Record{expired("h1", "i1", at(0)), alive("h1", "i1")}, damaskspread.ReasonConflict},
		"forgetting a member":                {[]*wire.Record{evicted("t1", 1, "h1"), forgotten("h1", "i1", at(0))}, damaskspread.ReasonConflict},
		"forgetting a host with claims":      {[]*wire.Record{expired("h1", "i1", at(0)), forgotten("h1", "i1", at(0))}, damaskspread.ReasonConflict},
		"forgetting after a join":            {[]*wire.Record{expired("h1", "i1", at(0)), joined("h1", "i2", "b2", "z1"), forgotten("h1", "i1", at(0))}, damaskspread.ReasonConflict},
		"forgetting after a heartbeat":       {[]*wire.Record{evicted("t1", 1, "h1"), alive("h1", "i1"), expired("h1", "i1", at(5)), forgotten("h1", "i1", at(0))}, damaskspread.ReasonConflict},
		"forgetting an expired host":         {[]*wire.Record{evicted("t1", 1, "h1"), expired("h1", "i1", at(0)), forgotten("h1", "i1", at(0))}, none},
		"forgetting twice":                   {[]*wire.Record{evicted("t1", 1, "h1"), expired("h1", "i1", at(0)), forgotten("h1", "i1", at(0)), forgotten("h1", "i1", at(0))}, damaskspread.ReasonConflict},
		"join of a forgotten host":           {[]*wire.Record{evicted("t1", 1, "h1"), expired("h1", "i1", at(0)), forgotten("h1", "i1", at(0)), replacing(joined("h1", "i2", "b1", "z1"), at(-1))}, none},
		"end on a forgotten host":            {[]*wire.Record{evicted("t1", 1, "h1"), expired("h1", "i1", at(0)), forgotten("h1", "i1", at(0)), finished("t1", 1, "h1", succeeded, false)}, damaskspread.ReasonConflict},
		"eviction repeated":                  {[]*wire.Record{evicted("t1", 1, "h1"), evicted("t1", 1, "h1")}, damaskspread.ReasonConflict},
		"end of an earlier attempt":          {[]*wire.Record{evicted("t1", 1, "h1"), finished("t1", 1, "h1", succeeded, false)}, damaskspread.ReasonConflict},
		"key submitted again":                {[]*wire.Record{submitted("t1", "k1", 6)}, damaskspread.ReasonConflict},
		"key with another body":              {[]*wire.Record{submitted("t9", "k1", 6)}, damaskspread.ReasonKeyReused},
		"negative resources":                 {[]*wire.Record{submitted("t9", "", -6)}, damaskspread.ReasonInvalid},
		"delayed join of an old incarnation": {[]*wire.Record{joined("h1", "i2", "b2", "z1"), replacing(joined("h1", "i0", "b0", "z1"), at(0))}, damaskspread.ReasonConflict},
		"join that replaces the latest":      {[]*wire.Record{replacing(joined("h1", "i2", "b2", "z1"), at(0))}, none},
		"host without id":                    {[]*wire.Record{joined("", "i1", "b1", "z1")}, damaskspread.ReasonInvalid},
		"publication from an old base":       {[]*wire.Record{published("s", "a = 1", nil), published("s", "a = 2", nil)}, damaskspread.ReasonConflict},
		"publication from the current base":  {[]*wire.Record{published("s", "a = 1", nil), published("s", "a = 2", at(4))}, none},
		"readiness without a secondary":      {[]*wire.Record{ready(nil, 0, at(0))}, damaskspread.ReasonStaleEpoch},
		"cancellation of a finished task":    {[]*wire.Record{finished("t1", 1, "h1", succeeded, false), canceled("t1")}, damaskspread.ReasonConflict},
		"claim of a task that was canceled":  {[]*wire.Record{canceled("t2"), claimed("t2", 1, "h1", "b1")}, damaskspread.ReasonConflict},
	} {
		t.Run(name, func(t *testing.T) {
			state := replayer.New()
			assert.Equal(t, replay(state, base...), none)
			assert.Equal(t, replay(state, tc.records...), tc.want)
		})
	}
}

// Guards against lost work: what ends a claim returns the task with its
// checkpoint, unless its cancellation was requested.
func TestEndOfClaim(t *testing.T) {
	failed := wire.TaskResult_TASK_RESULT_FAILED
	for name, tc := range map[string]struct {
		record     *wire.Record
		checkpoint string
	}{
		"eviction":        {evicted("t1", 1, "h1"), "c1"},
		"failure":         {finished("t1", 1, "h1", failed, true), ""},
		"new worker boot": {joined("h1", "i2", "b2", "z1"), ""},
		"declared lost":   {released("h1", "b1", nil, wire.ReleaseReason_RELEASE_REASON_DECLARED_LOST), ""},
		"hold passed":     {released("h1", "b1", at(0), wire.ReleaseReason_RELEASE_REASON_HOLD_PASSED), ""},
	} {
		t.Run(name, func(t *testing.T) {
			for _, cancel := range []bool{false, true} {
				state := replayer.New()
				replay(state, joined("h1", "i1", "b1", "z1"), submitted("t1", "", 6), claimed("t1", 1, "h1", "b1"))
				if cancel {
					replay(state, canceled("t1"))
				}
				assert.Equal(t, replay(state, tc.record), damaskspread.Reason(""))
				task, ok := state.Task("t1")
				assert.Assert(t, ok)
				assert.Equal(t, state.Free("h1").GetMillicores(), int64(10))
				if cancel {
					assert.Equal(t, task.GetResult(), wire.TaskResult_TASK_RESULT_CANCELED)
					continue
				}
				assert.Equal(t, task.GetPhase(), wire.TaskPhase_TASK_PHASE_PENDING)
				assert.Equal(t, task.GetAttempt(), int32(2))
				assert.Equal(t, task.GetCheckpoint(), tc.checkpoint)
			}
		})
	}
}

// Guards against entries that keep routing to hosts that left, and against
// listing all hosts again for each heartbeat.
func TestRoutesAt(t *testing.T) {
	state := replayer.New()
	for _, step := range []struct {
		record *wire.Record
		moves  bool
	}{
		{joined("h1", "i1", "b1", "z1"), true},
		{alive("h1", "i1"), false},
		{submitted("t1", "", 1), false},
		{claimed("t1", 1, "h1", "b1"), false},
		{published("zone z1", "in_service = false", nil), true},
		{published("service s", "timeout = 1s", nil), false},
		{expired("h1", "i1", at(1)), true},
	} {
		before := state.RoutesAt()
		replay(state, step.record)
		assert.Equal(t, state.RoutesAt() != before, step.moves, "%v", step.record)
	}
	assert.Assert(t, replayer.Restore(state.Snapshot()).RoutesAt() != state.RoutesAt())
}
