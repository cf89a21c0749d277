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

// drawRecord draws a record about one of a few hosts and tasks, so that records
// often concern the same one. Their references need not match the state.
func drawRecord(t *rapid.T, state *replayer.State) *wire.Record {
	host := rapid.SampledFrom([]string{"h1", "h2", "h3", "h4"}).Draw(t, "host")
	incarnation := rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "incarnation")
	boot := rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "boot")
	task := rapid.SampledFrom([]string{"t1", "t2", "t3", "t4", "t5"}).Draw(t, "task")
	attempt := rapid.Int32Range(1, 3).Draw(t, "attempt")
	position := atOffset(rapid.Int64Range(0, max(state.Offset(), 0)).Draw(t, "position"))
	if known, ok := state.Task(task); ok && rapid.Bool().Draw(t, "match_task") {
		attempt = known.GetAttempt()
		if known.GetHost() != "" {
			host = known.GetHost()
		}
	}
	if known, ok := state.Host(host); ok && rapid.Bool().Draw(t, "match_host") {
		incarnation, boot, position = known.GetSpec().GetIncarnation(), known.GetSpec().GetWorkerBoot(), known.GetAlive()
	}
	return drawBody(t, host, incarnation, boot, task, attempt, position)
}

func drawBody(t *rapid.T, host, incarnation, boot, task string, attempt int32, position *wire.Position) *wire.Record {
	switch rapid.IntRange(0, 14).Draw(t, "kind") {
	case 0:
		return hostJoined(host, incarnation, boot, "z"+host[1:])
	case 1:
		return taskSubmitted(task, "", rapid.Int64Range(-2, 6).Draw(t, "millicores"))
	case 2, 3, 4:
		return taskClaimed(task, attempt, host, boot)
	case 5:
		return taskEvicted(task, attempt, host)
	case 6:
		result := rapid.Int32Range(1, 4).Draw(t, "result")
		return taskFinished(task, attempt, host, wire.TaskResult(result), rapid.Bool().Draw(t, "retry"))
	case 7:
		return cancelRequested(task)
	case 8:
		return sectionPublished("zone z1", rapid.SampledFrom([]string{"", "in_service = false"}).Draw(t, "text"), position)
	case 9:
		return hostExpired(host, incarnation, position)
	case 10:
		reason := rapid.Int32Range(1, 3).Draw(t, "reason")
		return hostReleased(host, boot, position, wire.ReleaseReason(reason))
	case 11:
		return hostsAlive(host, incarnation)
	case 12:
		return hostForgotten(host, incarnation, position)
	case 13:
		return hostsSilent(host, position, rapid.Int64Range(1, 100).Draw(t, "silent_ms"))
	default:
		return parseRecord(`host_leaving {host {host: %q incarnation: %q}}`, host, incarnation)
	}
}

// Guards the invariants of the state against reordered, repeated and missing
// records: no host is over its capacity, a claimed task has one claim, attempts
// increase by one, a section never returns to an older version, canceled tasks
// end, and a restored state behaves like the replayed one.
func TestRandomRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := replayer.New()
		restored := replayer.New()
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
			replay(restored, next)
			checkState(t, state)
			checkTransition(t, before, state)
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				restored = replayer.Restore(restored.Snapshot())
			}
		}
		if !proto.Equal(state.Snapshot(), restored.Snapshot()) {
			t.Fatalf("restored state differs:\n%v\n%v", state.Snapshot(), restored.Snapshot())
		}
		since := rapid.Int64Range(-1, state.Offset()).Draw(t, "since")
		for _, s := range []*replayer.State{state, restored} {
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

type failer interface {
	Fatalf(format string, args ...any)
}

func checkState(t failer, state *replayer.State) {
	claims := map[string]int{}
	for host := range state.Hosts() {
		id := host.GetSpec().GetHost()
		if free := state.Free(id); free.GetMillicores() < 0 {
			t.Fatalf("claims and reservation of host %s exceed its capacity: free %v", id, free)
		}
		for claim := range state.ClaimsOf(id) {
			claims[claim.GetSpec().GetTask()]++
			if claim.GetHost() != id {
				t.Fatalf("task claimed on %s is listed in the claims of %s", claim.GetHost(), id)
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

// checkTransition checks the states before and after one record.
func checkTransition(t failer, before *wire.Snapshot, state *replayer.State) {
	for _, old := range before.GetTasks() {
		task, ok := state.Task(old.GetSpec().GetTask())
		if !ok {
			t.Fatalf("task %v was removed", old)
		}
		increase := task.GetAttempt() - old.GetAttempt()
		requeued := old.GetPhase() == wire.TaskPhase_TASK_PHASE_CLAIMED && task.GetPhase() == wire.TaskPhase_TASK_PHASE_PENDING
		if (requeued && increase != 1) || (!requeued && increase != 0) {
			t.Fatalf("attempt changed from\n%v to\n%v", old, task)
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
				t.Fatalf("host %v with task %v was removed", old, task)
			}
		}
	}
	for _, old := range before.GetSections() {
		section, ok := state.Section(old.GetSection())
		if !ok || damaskspread.Token(section.GetPosition()) < damaskspread.Token(old.GetPosition()) {
			t.Fatalf("section returned to an older version: from %v to %v", old, section)
		}
	}
}

// checkCanceled releases all claims and checks that every canceled task ended.
func checkCanceled(t failer, state *replayer.State) {
	for _, host := range state.Snapshot().GetHosts() {
		replay(state, hostReleased(host.GetSpec().GetHost(), host.GetSpec().GetWorkerBoot(), host.GetAlive(), wire.ReleaseReason_RELEASE_REASON_FENCED))
	}
	for task := range state.Tasks() {
		if task.GetCancelRequested() && task.GetPhase() != wire.TaskPhase_TASK_PHASE_FINISHED {
			t.Fatalf("canceled task did not end: %v", task)
		}
	}
}

// Guards against a key that runs twice because the state says that an agent has
// the complete history of a shard when it does not. The test tracks which agents
// have it: the first primary, and each secondary that received it from such a
// primary, for as long as they keep a role.
func TestShardHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := replayer.New()
		complete := map[int32]map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			record, shard := drawMembershipRecord(t, state, complete)
			reason := replay(state, record)
			for _, current := range state.Shards("tags") {
				checkShard(t, state, current, complete, reason == "" && shard == current.GetShard(), record)
			}
		}
	})
}

// drawMembershipRecord draws a record that may change the primary or secondary of a
// shard. complete is the set of agents that have the complete history, by shard.
// It also returns the shard of a ShardsReady record, or -1 for other records.
func drawMembershipRecord(t *rapid.T, state *replayer.State, complete map[int32]map[string]bool) (*wire.Record, int32) {
	shards := state.Shards("tags")
	if len(shards) > 0 && rapid.Bool().Draw(t, "transfer") {
		shard := shards[rapid.IntRange(0, 3).Draw(t, "shard")]
		host, epoch := shard.GetSecondary(), shard.GetEpoch()
		if !complete[shard.GetShard()][shard.GetPrimary().String()] {
			// A primary without the complete history cannot make the secondary ready in
			// this epoch.
			epoch = atOffset(epoch.GetOffset() - 1)
		}
		if rapid.IntRange(0, 3).Draw(t, "from_primary") == 0 {
			host = shard.GetPrimary()
		}
		return shardsReady(host, shard.GetShard(), epoch), shard.GetShard()
	}
	host := rapid.SampledFrom([]string{"h1", "h2", "h3", "h4", "h5"}).Draw(t, "host")
	incarnation := rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "incarnation")
	known, ok := state.Host(host)
	if ok && known.GetExpired() && rapid.Bool().Draw(t, "forget") {
		return hostForgotten(host, known.GetSpec().GetIncarnation(), known.GetAlive()), -1
	}
	if ok && replayer.IsMember(known) && rapid.Bool().Draw(t, "leave") {
		return hostExpired(host, known.GetSpec().GetIncarnation(), known.GetAlive()), -1
	}
	zone := fmt.Sprintf("z%d", host[1]%2)
	record := hostJoined(host, incarnation, "b1", zone)
	if rapid.IntRange(0, 5).Draw(t, "other_service") == 0 {
		record.GetHostJoined().GetSpec().Endpoint.Service = "counters"
	}
	return record, -1
}

// checkShard checks one shard after a record and updates complete.
func checkShard(t failer, state *replayer.State, shard *wire.ShardState, complete map[int32]map[string]bool, transferred bool, record *wire.Record) {
	primary, secondary := shard.GetPrimary(), shard.GetSecondary()
	previous, known := complete[shard.GetShard()]
	updated := map[string]bool{}
	for _, agent := range []*wire.HostRef{primary, secondary} {
		updated[agent.String()] = agent != nil && (previous[agent.String()] || !known && agent == primary)
	}
	if transferred {
		updated[record.GetShardsReady().GetHost().String()] = true
	}
	complete[shard.GetShard()] = updated
	members := 0
	for host := range state.Hosts() {
		if replayer.IsMember(host) && host.GetSpec().GetEndpoint().GetService() == "tags" {
			members++
		}
	}
	for _, agent := range []*wire.HostRef{primary, secondary} {
		host, _ := state.Host(agent.GetHost())
		if agent != nil && (!replayer.IsMember(host) || host.GetSpec().GetIncarnation() != agent.GetIncarnation()) {
			t.Fatalf("shard %v has a role for %v, which is not a member", shard, agent)
		}
	}
	if (primary != nil) != (members > 0) || (secondary != nil) != (members > 1) {
		t.Fatalf("shard %v does not fill the roles that its %d members allow", shard, members)
	}
	if secondary != nil && primary.GetHost() == secondary.GetHost() {
		t.Fatalf("shard %v has the same agent in both roles", shard)
	}
	if (shard.GetReady() && !updated[secondary.String()]) || (shard.GetFounded() && !updated[primary.String()]) {
		t.Fatalf("shard %v is marked ready or founded, but the agent's history is incomplete", shard)
	}
}

// Guards against log data that makes Apply panic, which would crash every process
// that reads the log.
func FuzzApply(f *testing.F) {
	for _, record := range []*wire.Record{
		hostJoined("h1", "i1", "b1", "z1"), taskSubmitted("t1", "k", 3), taskClaimed("t1", 1, "h1", "b1"),
		sectionPublished("zone z1", "in_service = false", nil), shardsReady(nil, 0, atOffset(0)), cancelRequested("t1"),
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
		replay(state, hostJoined("h1", "i1", "b1", "z1"), taskSubmitted("t1", "k", 3), taskClaimed("t1", 1, "h1", "b1"))
		for range 3 {
			state.Apply(state.Offset()+1, batch)
		}
		snapshot := state.Snapshot()
		if !proto.Equal(snapshot, replayer.Restore(snapshot).Snapshot()) {
			t.Fatal("restored state differs")
		}
	})
}
