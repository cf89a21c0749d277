package replayer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

func ref(host, incarnation string) *wire.HostRef {
	return &wire.HostRef{
		Host:        host,
		Incarnation: incarnation,
	}
}

func at(offset int64) *wire.Position {
	return &wire.Position{
		Offset: offset,
	}
}

func joined(host, incarnation, boot, zone string) *wire.Record {
	return &wire.Record{
		Body: &wire.Record_HostJoined{
			HostJoined: &wire.HostJoined{
				Entry: "e1",
				Spec: &wire.HostSpec{
					Host:        host,
					Incarnation: incarnation,
					WorkerBoot:  boot,
					Zone:        zone,
					Capacity: &wire.Resources{
						Millicores: 10,
					},
					Endpoint: &wire.EndpointSpec{
						Service: "tags",
					},
				},
			},
		},
	}
}

func replacing(record *wire.Record, position *wire.Position) *wire.Record {
	record.GetHostJoined().Replaces = position
	return record
}

func submitted(task, key string, millicores int64) *wire.Record {
	return &wire.Record{
		Body: &wire.Record_TaskSubmitted{
			TaskSubmitted: &wire.TaskSubmitted{
				Spec: &wire.TaskSpec{
					Task:           task,
					IdempotencyKey: key,
					BodyHash:       []byte(task),
					Resources: &wire.Resources{
						Millicores: millicores,
					},
				},
			},
		},
	}
}

func claimed(task string, attempt int32, host, boot string) *wire.Record {
	return &wire.Record{
		Body: &wire.Record_TaskClaimed{
			TaskClaimed: &wire.TaskClaimed{
				Task:       task,
				Attempt:    attempt,
				Host:       host,
				WorkerBoot: boot,
			},
		},
	}
}

func evicted(task string, attempt int32, host string) *wire.Record {
	return &wire.Record{
		Body: &wire.Record_TaskEvicted{
			TaskEvicted: &wire.TaskEvicted{
				Task:       task,
				Attempt:    attempt,
				Host:       host,
				Checkpoint: "c1",
			},
		},
	}
}

func finished(task string, attempt int32, host string, result wire.TaskResult, retry bool) *wire.Record {
	return &wire.Record{
		Body: &wire.Record_TaskFinished{
			TaskFinished: &wire.TaskFinished{
				Task:    task,
				Attempt: attempt,
				Host:    host,
				Result:  result,
				Retry:   retry,
			},
		},
	}
}

func canceled(task string) *wire.Record {
	return &wire.Record{
		Body: &wire.Record_CancelRequested{
			CancelRequested: &wire.CancelRequested{
				Task: task,
			},
		},
	}
}

func published(section, text string, base *wire.Position) *wire.Record {
	return &wire.Record{
		Body: &wire.Record_SectionPublished{
			SectionPublished: &wire.SectionPublished{
				Section: section,
				Text:    text,
				Base:    base,
				Team:    "ops",
			},
		},
	}
}

func expired(host, incarnation string, alive *wire.Position) *wire.Record {
	return &wire.Record{
		Body: &wire.Record_HostExpired{
			HostExpired: &wire.HostExpired{
				Host:  ref(host, incarnation),
				Alive: alive,
			},
		},
	}
}

func released(host, boot string, alive *wire.Position, reason wire.ReleaseReason) *wire.Record {
	return &wire.Record{
		Body: &wire.Record_HostReleased{
			HostReleased: &wire.HostReleased{
				Host:       host,
				WorkerBoot: boot,
				Alive:      alive,
				Reason:     reason,
			},
		},
	}
}

func alive(host, incarnation string) *wire.Record {
	return &wire.Record{
		Body: &wire.Record_HostsAlive{
			HostsAlive: &wire.HostsAlive{
				Entry: "e1",
				Hosts: []*wire.HostRef{ref(host, incarnation)},
			},
		},
	}
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
		"fenced release ignores heartbeats":  {[]*wire.Record{alive("h1", "i1"), released("h1", "b1", nil, fenced)}, none},
		"heartbeat after expiry":             {[]*wire.Record{expired("h1", "i1", at(0)), alive("h1", "i1")}, damaskspread.ReasonConflict},
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

func ready(host *wire.HostRef, shard int32, epoch *wire.Position) *wire.Record {
	return &wire.Record{
		Body: &wire.Record_ShardsReady{
			ShardsReady: &wire.ShardsReady{
				Host:    host,
				Service: "tags",
				Shards: []*wire.ShardEpoch{{
					Shard: shard,
					Epoch: epoch,
				}},
			},
		},
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
