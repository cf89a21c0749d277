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

func atOffset(offset int64) *wire.Position {
	return &wire.Position{
		Offset: offset,
	}
}

// parseRecord parses a record in protobuf text format.
func parseRecord(format string, args ...any) *wire.Record {
	parsed := &wire.Record{}
	if err := prototext.Unmarshal(fmt.Appendf(nil, format, args...), parsed); err != nil {
		panic(err)
	}
	return parsed
}

func hostJoined(host, incarnation, boot, zone string) *wire.Record {
	return parseRecord(`host_joined {entry: "e1" spec {host: %q incarnation: %q worker_boot: %q zone: %q
		capacity {millicores: 10} endpoint {service: "tags"}}}`, host, incarnation, boot, zone)
}

func withReplaces(record *wire.Record, position *wire.Position) *wire.Record {
	record.GetHostJoined().Replaces = position
	return record
}

func taskSubmitted(task, key string, millicores int64) *wire.Record {
	return parseRecord(`task_submitted {spec {task: %q idempotency_key: %q body_hash: %q resources {millicores: %d}}}`,
		task, key, task, millicores)
}

func taskClaimed(task string, attempt int32, host, boot string) *wire.Record {
	return parseRecord(`task_claimed {task: %q attempt: %d host: %q worker_boot: %q}`, task, attempt, host, boot)
}

func taskEvicted(task string, attempt int32, host string) *wire.Record {
	return parseRecord(`task_evicted {task: %q attempt: %d host: %q checkpoint: "c1"}`, task, attempt, host)
}

func taskFinished(task string, attempt int32, host string, result wire.TaskResult, retry bool) *wire.Record {
	return parseRecord(`task_finished {task: %q attempt: %d host: %q result: %d retry: %t}`, task, attempt, host, result, retry)
}

func cancelRequested(task string) *wire.Record {
	return parseRecord(`cancel_requested {task: %q}`, task)
}

func sectionPublished(section, text string, base *wire.Position) *wire.Record {
	parsed := parseRecord(`section_published {section: %q text: %q team: "ops"}`, section, text)
	parsed.GetSectionPublished().Base = base
	return parsed
}

func hostExpired(host, incarnation string, alive *wire.Position) *wire.Record {
	parsed := parseRecord(`host_expired {host {host: %q incarnation: %q}}`, host, incarnation)
	parsed.GetHostExpired().Alive = alive
	return parsed
}

func hostForgotten(host, incarnation string, alive *wire.Position) *wire.Record {
	parsed := parseRecord(`host_forgotten {host {host: %q incarnation: %q}}`, host, incarnation)
	parsed.GetHostForgotten().Alive = alive
	return parsed
}

func hostReleased(host, boot string, alive *wire.Position, reason wire.ReleaseReason) *wire.Record {
	parsed := parseRecord(`host_released {host: %q worker_boot: %q reason: %d}`, host, boot, reason)
	parsed.GetHostReleased().Alive = alive
	return parsed
}

func hostsSilent(host string, alive *wire.Position, silentMs int64) *wire.Record {
	return parseRecord(`hosts_silent {hosts {host: %q alive {offset: %d} silent_ms: %d}}`, host, alive.GetOffset(), silentMs)
}

func hostsAlive(host, incarnation string) *wire.Record {
	return parseRecord(`hosts_alive {entry: "e1" hosts {host: %q incarnation: %q}}`, host, incarnation)
}

func shardsReady(host *wire.HostRef, shard int32, epoch *wire.Position) *wire.Record {
	parsed := parseRecord(`shards_ready {service: "tags" shards {shard: %d epoch {offset: %d}}}`, shard, epoch.GetOffset())
	parsed.GetShardsReady().Host = host
	return parsed
}

// replay applies each record as a batch of its own. It returns the reason why the
// last one was ignored, empty if it took effect.
func replay(state *replayer.State, records ...*wire.Record) damaskspread.Reason {
	var reason damaskspread.Reason
	for _, record := range records {
		changes := state.Apply(state.Offset()+1, &wire.RecordBatch{
			Records: []*wire.Record{record},
		})
		reason = ""
		for _, change := range changes {
			if change.Kind() == replayer.RecordIgnored {
				reason = change.Reason()
			}
		}
	}
	return reason
}

// Guards against records that take effect although the state that they are based
// on has changed.
func TestIgnoredRecords(t *testing.T) {
	base := []*wire.Record{
		hostJoined("h1", "i1", "b1", "z1"),
		taskSubmitted("t1", "k1", 6),
		taskSubmitted("t2", "", 6),
		taskClaimed("t1", 1, "h1", "b1"),
	}
	none := damaskspread.Reason("")
	hold := wire.ReleaseReason_RELEASE_REASON_HOLD_PASSED
	fenced := wire.ReleaseReason_RELEASE_REASON_FENCED
	succeeded := wire.TaskResult_TASK_RESULT_SUCCEEDED
	for name, tc := range map[string]struct {
		records []*wire.Record
		want    damaskspread.Reason
	}{
		"second claim of an attempt":         {[]*wire.Record{taskClaimed("t1", 1, "h1", "b1")}, damaskspread.ReasonConflict},
		"claim beyond the capacity":          {[]*wire.Record{taskClaimed("t2", 1, "h1", "b1")}, damaskspread.ReasonOverloaded},
		"claim for another boot":             {[]*wire.Record{taskClaimed("t2", 1, "h1", "b0")}, damaskspread.ReasonNotFound},
		"claim in a zone out of service":     {[]*wire.Record{sectionPublished("zone z1", "in_service = false", nil), taskClaimed("t2", 1, "h1", "b1")}, damaskspread.ReasonZoneOut},
		"claim on an expired host":           {[]*wire.Record{hostExpired("h1", "i1", atOffset(0)), taskClaimed("t2", 1, "h1", "b1")}, damaskspread.ReasonNotFound},
		"expiry after a heartbeat":           {[]*wire.Record{hostsAlive("h1", "i1"), hostExpired("h1", "i1", atOffset(0))}, damaskspread.ReasonConflict},
		"release after a heartbeat":          {[]*wire.Record{hostsAlive("h1", "i1"), hostReleased("h1", "b1", atOffset(0), hold)}, damaskspread.ReasonConflict},
		"fenced release after a heartbeat":   {[]*wire.Record{hostsAlive("h1", "i1"), hostReleased("h1", "b1", atOffset(0), fenced)}, damaskspread.ReasonConflict},
		"fenced release":                     {[]*wire.Record{hostReleased("h1", "b1", atOffset(0), fenced)}, none},
		"host declared lost":                 {[]*wire.Record{hostsAlive("h1", "i1"), hostReleased("h1", "b1", nil, wire.ReleaseReason_RELEASE_REASON_DECLARED_LOST)}, none},
		"heartbeat after expiry":             {[]*wire.Record{hostExpired("h1", "i1", atOffset(0)), hostsAlive("h1", "i1")}, damaskspread.ReasonConflict},
		"silence after a heartbeat":          {[]*wire.Record{hostsAlive("h1", "i1"), hostsSilent("h1", atOffset(0), 5)}, damaskspread.ReasonConflict},
		"silence since the last heartbeat":   {[]*wire.Record{hostsSilent("h1", atOffset(0), 5)}, none},
		"silence of an unknown host":         {[]*wire.Record{hostsSilent("h9", atOffset(0), 5)}, damaskspread.ReasonConflict},
		"forgetting a member":                {[]*wire.Record{taskEvicted("t1", 1, "h1"), hostForgotten("h1", "i1", atOffset(0))}, damaskspread.ReasonConflict},
		"forgetting a host with claims":      {[]*wire.Record{hostExpired("h1", "i1", atOffset(0)), hostForgotten("h1", "i1", atOffset(0))}, damaskspread.ReasonConflict},
		"forgetting after a join":            {[]*wire.Record{hostExpired("h1", "i1", atOffset(0)), hostJoined("h1", "i2", "b2", "z1"), hostForgotten("h1", "i1", atOffset(0))}, damaskspread.ReasonConflict},
		"forgetting after a heartbeat":       {[]*wire.Record{taskEvicted("t1", 1, "h1"), hostsAlive("h1", "i1"), hostExpired("h1", "i1", atOffset(5)), hostForgotten("h1", "i1", atOffset(0))}, damaskspread.ReasonConflict},
		"forgetting an expired host":         {[]*wire.Record{taskEvicted("t1", 1, "h1"), hostExpired("h1", "i1", atOffset(0)), hostForgotten("h1", "i1", atOffset(0))}, none},
		"forgetting twice":                   {[]*wire.Record{taskEvicted("t1", 1, "h1"), hostExpired("h1", "i1", atOffset(0)), hostForgotten("h1", "i1", atOffset(0)), hostForgotten("h1", "i1", atOffset(0))}, damaskspread.ReasonConflict},
		"join of a forgotten host":           {[]*wire.Record{taskEvicted("t1", 1, "h1"), hostExpired("h1", "i1", atOffset(0)), hostForgotten("h1", "i1", atOffset(0)), withReplaces(hostJoined("h1", "i2", "b1", "z1"), atOffset(-1))}, none},
		"end on a forgotten host":            {[]*wire.Record{taskEvicted("t1", 1, "h1"), hostExpired("h1", "i1", atOffset(0)), hostForgotten("h1", "i1", atOffset(0)), taskFinished("t1", 1, "h1", succeeded, false)}, damaskspread.ReasonConflict},
		"eviction repeated":                  {[]*wire.Record{taskEvicted("t1", 1, "h1"), taskEvicted("t1", 1, "h1")}, damaskspread.ReasonConflict},
		"end of an earlier attempt":          {[]*wire.Record{taskEvicted("t1", 1, "h1"), taskFinished("t1", 1, "h1", succeeded, false)}, damaskspread.ReasonConflict},
		"key submitted again":                {[]*wire.Record{taskSubmitted("t1", "k1", 6)}, damaskspread.ReasonConflict},
		"key with another body":              {[]*wire.Record{taskSubmitted("t9", "k1", 6)}, damaskspread.ReasonKeyReused},
		"negative resources":                 {[]*wire.Record{taskSubmitted("t9", "", -6)}, damaskspread.ReasonInvalid},
		"delayed join of an old incarnation": {[]*wire.Record{hostJoined("h1", "i2", "b2", "z1"), withReplaces(hostJoined("h1", "i0", "b0", "z1"), atOffset(0))}, damaskspread.ReasonConflict},
		"join that replaces the latest":      {[]*wire.Record{withReplaces(hostJoined("h1", "i2", "b2", "z1"), atOffset(0))}, none},
		"host without id":                    {[]*wire.Record{hostJoined("", "i1", "b1", "z1")}, damaskspread.ReasonInvalid},
		"publication from an old base":       {[]*wire.Record{sectionPublished("s", "a = 1", nil), sectionPublished("s", "a = 2", nil)}, damaskspread.ReasonConflict},
		"publication from the current base":  {[]*wire.Record{sectionPublished("s", "a = 1", nil), sectionPublished("s", "a = 2", atOffset(4))}, none},
		"readiness without a secondary":      {[]*wire.Record{shardsReady(nil, 0, atOffset(0))}, damaskspread.ReasonStaleEpoch},
		"cancellation of a finished task":    {[]*wire.Record{taskFinished("t1", 1, "h1", succeeded, false), cancelRequested("t1")}, damaskspread.ReasonConflict},
		"claim of a task that was canceled":  {[]*wire.Record{cancelRequested("t2"), taskClaimed("t2", 1, "h1", "b1")}, damaskspread.ReasonConflict},
	} {
		t.Run(name, func(t *testing.T) {
			state := replayer.New()
			assert.Equal(t, replay(state, base...), none)
			assert.Equal(t, replay(state, tc.records...), tc.want)
		})
	}
}

// Guards against lost tasks: a task whose claim ends becomes pending again with
// its latest checkpoint, or finishes as canceled if cancellation was requested.
func TestEndOfClaim(t *testing.T) {
	failed := wire.TaskResult_TASK_RESULT_FAILED
	for name, tc := range map[string]struct {
		record     *wire.Record
		checkpoint string
	}{
		"eviction":        {taskEvicted("t1", 1, "h1"), "c1"},
		"failure":         {taskFinished("t1", 1, "h1", failed, true), ""},
		"new worker boot": {hostJoined("h1", "i2", "b2", "z1"), ""},
		"declared lost":   {hostReleased("h1", "b1", nil, wire.ReleaseReason_RELEASE_REASON_DECLARED_LOST), ""},
		"hold passed":     {hostReleased("h1", "b1", atOffset(0), wire.ReleaseReason_RELEASE_REASON_HOLD_PASSED), ""},
	} {
		t.Run(name, func(t *testing.T) {
			for _, cancel := range []bool{false, true} {
				state := replayer.New()
				replay(state, hostJoined("h1", "i1", "b1", "z1"), taskSubmitted("t1", "", 6), taskClaimed("t1", 1, "h1", "b1"))
				if cancel {
					replay(state, cancelRequested("t1"))
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

// Guards against entry processes that keep routing to hosts that left, and
// against listing all hosts again after each heartbeat.
func TestRoutesVersion(t *testing.T) {
	state := replayer.New()
	for _, step := range []struct {
		record  *wire.Record
		changes bool
	}{
		{hostJoined("h1", "i1", "b1", "z1"), true},
		{hostsAlive("h1", "i1"), false},
		{taskSubmitted("t1", "", 1), false},
		{taskClaimed("t1", 1, "h1", "b1"), false},
		{sectionPublished("zone z1", "in_service = false", nil), true},
		{sectionPublished("service s", "timeout = 1s", nil), false},
		{hostExpired("h1", "i1", atOffset(1)), true},
	} {
		before := state.RoutesVersion()
		replay(state, step.record)
		assert.Equal(t, state.RoutesVersion() != before, step.changes, "%v", step.record)
	}
	assert.Assert(t, replayer.Restore(state.Snapshot()).RoutesVersion() != state.RoutesVersion())
}
