package replayer_test

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// drawRecord draws a record about few subjects, so that records often concern
// the same one, in an order and with references that need not fit the state.
func drawRecord(t *rapid.T, state *replayer.State) *wire.Record {
	host := rapid.SampledFrom([]string{"h1", "h2", "h3", "h4"}).Draw(t, "host")
	incarnation := rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "incarnation")
	boot := rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "boot")
	task := rapid.SampledFrom([]string{"t1", "t2", "t3", "t4", "t5"}).Draw(t, "task")
	attempt := rapid.Int32Range(1, 3).Draw(t, "attempt")
	position := at(rapid.Int64Range(0, max(state.Offset(), 0)).Draw(t, "position"))
	if known, ok := state.Task(task); ok && rapid.Bool().Draw(t, "fits") {
		attempt = known.GetAttempt()
		if known.GetHost() != "" {
			host = known.GetHost()
		}
	}
	if known, ok := state.Host(host); ok && rapid.Bool().Draw(t, "current") {
		incarnation, boot, position = known.GetSpec().GetIncarnation(), known.GetSpec().GetWorkerBoot(), known.GetAlive()
	}
	return drawBody(t, host, incarnation, boot, task, attempt, position)
}

func drawBody(t *rapid.T, host, incarnation, boot, task string, attempt int32, position *wire.Position) *wire.Record {
	switch rapid.IntRange(0, 13).Draw(t, "kind") {
	case 0:
		return joined(host, incarnation, boot, "z"+host[1:])
	case 1:
		return submitted(task, "", rapid.Int64Range(-2, 6).Draw(t, "millicores"))
	case 2, 3, 4:
		return claimed(task, attempt, host, boot)
	case 5:
		return evicted(task, attempt, host)
	case 6:
		result := rapid.Int32Range(1, 4).Draw(t, "result")
		return finished(task, attempt, host, wire.TaskResult(result), rapid.Bool().Draw(t, "retry"))
	case 7:
		return canceled(task)
	case 8:
		return published("zone z1", rapid.SampledFrom([]string{"", "in_service = false"}).Draw(t, "text"), position)
	case 9:
		return expired(host, incarnation, position)
	case 10:
		reason := rapid.Int32Range(1, 3).Draw(t, "reason")
		return released(host, boot, position, wire.ReleaseReason(reason))
	case 11:
		return alive(host, incarnation)
	case 12:
		return forgotten(host, incarnation, position)
	default:
		return record(`host_leaving {host {host: %q incarnation: %q}}`, host, incarnation)
	}
}

// Guards the invariants of the state against records that are reordered,
// repeated and missing: no host over its capacity, one claim per task, each
// attempt follows its predecessor once, sections never go back, canceled
// tasks end, and a restored state behaves like the replayed one.
func TestRandomRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := replayer.New()
		twin := replayer.New()
		var history []*wire.Record
		for range rapid.IntRange(1, 80).Draw(t, "records") {
			var next *wire.Record
			if len(history) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
				next = history[rapid.IntRange(0, len(history)-1).Draw(t, "earlier")]
			} else {
				next = drawRecord(t, state)
				history = append(history, next)
			}
			before := state.Snapshot()
			replay(state, next)
			replay(twin, next)
			checkState(t, state)
			checkStep(t, before, state)
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				twin = replayer.Restore(twin.Snapshot())
			}
		}
		if !proto.Equal(state.Snapshot(), twin.Snapshot()) {
			t.Fatalf("restored state differs:\n%v\n%v", state.Snapshot(), twin.Snapshot())
		}
		since := rapid.Int64Range(-1, state.Offset()).Draw(t, "since")
		for _, s := range []*replayer.State{state, twin} {
			for section := range s.Sections() {
				found := slices.Contains(slices.Collect(s.SectionsSince(since)), section)
				if found != (section.GetPosition().GetOffset() > since) {
					t.Fatalf("section %v and offset %d: reported as changed: %v", section, since, found)
				}
			}
		}
		checkCanceled(t, state)
	})
}

type fataler interface {
	Fatalf(format string, args ...any)
}

func checkState(t fataler, state *replayer.State) {
	claims := map[string]int{}
	for host := range state.Hosts() {
		id := host.GetSpec().GetHost()
		if free := state.Free(id); free.GetMillicores() < 0 {
			t.Fatalf("host %s is committed beyond its capacity: %v", id, free)
		}
		for claim := range state.ClaimsOf(id) {
			claims[claim.GetSpec().GetTask()]++
			if claim.GetHost() != id {
				t.Fatalf("claim of %s is counted on %s", claim.GetHost(), id)
			}
		}
	}
	for task := range state.Tasks() {
		want := 0
		if task.GetPhase() == wire.TaskPhase_TASK_PHASE_CLAIMED {
			want = 1
		}
		if id := task.GetSpec().GetTask(); claims[id] != want {
			t.Fatalf("task %s in phase %v has %d claims", id, task.GetPhase(), claims[id])
		}
	}
}

// checkStep compares the states before and after one record.
func checkStep(t fataler, before *wire.Snapshot, state *replayer.State) {
	for _, old := range before.GetTasks() {
		task, ok := state.Task(old.GetSpec().GetTask())
		if !ok {
			t.Fatalf("task %v is forgotten", old)
		}
		steps := task.GetAttempt() - old.GetAttempt()
		returned := old.GetPhase() == wire.TaskPhase_TASK_PHASE_CLAIMED && task.GetPhase() == wire.TaskPhase_TASK_PHASE_PENDING
		if (returned && steps != 1) || (!returned && steps != 0) {
			t.Fatalf("attempt went from\n%v to\n%v", old, task)
		}
		if old.GetPhase() == wire.TaskPhase_TASK_PHASE_FINISHED && !proto.Equal(old, task) {
			t.Fatalf("finished task changed:\n%v\n%v", old, task)
		}
		if old.GetCancelRequested() && task.GetPhase() == wire.TaskPhase_TASK_PHASE_PENDING {
			t.Fatalf("canceled task is pending: %v", task)
		}
	}
	for _, old := range before.GetHosts() {
		id := old.GetSpec().GetHost()
		if _, ok := state.Host(id); ok {
			continue
		}
		for _, task := range before.GetTasks() {
			if !old.GetExpired() || (task.GetPhase() == wire.TaskPhase_TASK_PHASE_CLAIMED && task.GetHost() == id) {
				t.Fatalf("host %v with task %v is forgotten", old, task)
			}
		}
	}
	for _, old := range before.GetSections() {
		section, ok := state.Section(old.GetSection())
		if !ok || damaskspread.Token(section.GetPosition()) < damaskspread.Token(old.GetPosition()) {
			t.Fatalf("section went back from %v to %v", old, section)
		}
	}
}

// checkCanceled ends every claim and expects that no canceled task is left.
func checkCanceled(t fataler, state *replayer.State) {
	for _, host := range state.Snapshot().GetHosts() {
		replay(state, released(host.GetSpec().GetHost(), host.GetSpec().GetWorkerBoot(), host.GetAlive(), wire.ReleaseReason_RELEASE_REASON_FENCED))
	}
	for task := range state.Tasks() {
		if task.GetCancelRequested() && task.GetPhase() != wire.TaskPhase_TASK_PHASE_FINISHED {
			t.Fatalf("canceled task did not end: %v", task)
		}
	}
}

// Guards against a key being run twice because an agent without the whole
// history of a shard is taken for one that has it. The model tracks who holds
// the history: the first primary, and each secondary whose transfer from such
// a primary completed, for as long as it keeps a role.
func TestShardHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := replayer.New()
		whole := map[int32]map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			record, shard := drawMembership(t, state, whole)
			reason := replay(state, record)
			for _, current := range state.Shards("tags") {
				checkShard(t, state, current, whole, reason == "" && shard == current.GetShard(), record)
			}
		}
	})
}

func drawMembership(t *rapid.T, state *replayer.State, whole map[int32]map[string]bool) (*wire.Record, int32) {
	shards := state.Shards("tags")
	if len(shards) > 0 && rapid.Bool().Draw(t, "transfer") {
		shard := shards[rapid.IntRange(0, 3).Draw(t, "shard")]
		host, epoch := shard.GetSecondary(), shard.GetEpoch()
		if !whole[shard.GetShard()][shard.GetPrimary().String()] {
			epoch = at(epoch.GetOffset() - 1)
		}
		if rapid.IntRange(0, 3).Draw(t, "other") == 0 {
			host = shard.GetPrimary()
		}
		return ready(host, shard.GetShard(), epoch), shard.GetShard()
	}
	host := rapid.SampledFrom([]string{"h1", "h2", "h3", "h4", "h5"}).Draw(t, "host")
	incarnation := rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "incarnation")
	known, ok := state.Host(host)
	if ok && known.GetExpired() && rapid.Bool().Draw(t, "forget") {
		return forgotten(host, known.GetSpec().GetIncarnation(), known.GetAlive()), -1
	}
	if ok && replayer.IsMember(known) && rapid.Bool().Draw(t, "leave") {
		return expired(host, known.GetSpec().GetIncarnation(), known.GetAlive()), -1
	}
	zone := fmt.Sprintf("z%d", host[1]%2)
	record := joined(host, incarnation, "b1", zone)
	if rapid.IntRange(0, 5).Draw(t, "other_service") == 0 {
		record.GetHostJoined().GetSpec().Endpoint.Service = "counters"
	}
	return record, -1
}

func checkShard(t fataler, state *replayer.State, shard *wire.ShardState, whole map[int32]map[string]bool, transferred bool, record *wire.Record) {
	primary, secondary := shard.GetPrimary(), shard.GetSecondary()
	holders, known := whole[shard.GetShard()]
	kept := map[string]bool{}
	for _, holder := range []*wire.HostRef{primary, secondary} {
		kept[holder.String()] = holder != nil && (holders[holder.String()] || !known && holder == primary)
	}
	if transferred {
		kept[record.GetShardsReady().GetHost().String()] = true
	}
	whole[shard.GetShard()] = kept
	members := 0
	for host := range state.Hosts() {
		if replayer.IsMember(host) && host.GetSpec().GetEndpoint().GetService() == "tags" {
			members++
		}
	}
	for _, holder := range []*wire.HostRef{primary, secondary} {
		host, _ := state.Host(holder.GetHost())
		if holder != nil && (!replayer.IsMember(host) || host.GetSpec().GetIncarnation() != holder.GetIncarnation()) {
			t.Fatalf("shard %v names %v, which is no member", shard, holder)
		}
	}
	if (primary != nil) != (members > 0) || (secondary != nil) != (members > 1) {
		t.Fatalf("shard %v does not fill its roles from %d members", shard, members)
	}
	if secondary != nil && primary.GetHost() == secondary.GetHost() {
		t.Fatalf("shard %v has one agent in both roles", shard)
	}
	if (shard.GetReady() && !kept[secondary.String()]) || (shard.GetFounded() && !kept[primary.String()]) {
		t.Fatalf("shard %v claims a history that is not whole", shard)
	}
}

// Guards against input that crashes the replay, which would crash every
// process that reads the log.
func FuzzApply(f *testing.F) {
	for _, record := range []*wire.Record{
		joined("h1", "i1", "b1", "z1"), submitted("t1", "k", 3), claimed("t1", 1, "h1", "b1"),
		published("zone z1", "in_service = false", nil), ready(nil, 0, at(0)), canceled("t1"),
	} {
		data, _ := proto.Marshal(&wire.RecordBatch{
			Records: []*wire.Record{record, record},
		})
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		batch := &wire.RecordBatch{}
		if proto.Unmarshal(data, batch) != nil {
			return
		}
		state := replayer.New()
		replay(state, joined("h1", "i1", "b1", "z1"), submitted("t1", "k", 3), claimed("t1", 1, "h1", "b1"))
		for range 3 {
			state.Apply(state.Offset()+1, batch)
		}
		snapshot := state.Snapshot()
		if !proto.Equal(snapshot, replayer.Restore(snapshot).Snapshot()) {
			t.Fatal("restored state differs")
		}
	})
}
