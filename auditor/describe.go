package auditor

import (
	"fmt"
	"strings"

	"damaskspread.example/damaskspread/parser"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

var phaseNames = map[wire.TaskPhase]string{
	wire.TaskPhase_TASK_PHASE_PENDING:  "pending",
	wire.TaskPhase_TASK_PHASE_CLAIMED:  "claimed",
	wire.TaskPhase_TASK_PHASE_FINISHED: "finished",
}

// describeChange returns the entry of a change. It returns false for heartbeats,
// checkpoints and changes of a shard's epoch, which are frequent and not useful
// in an audit trail.
func (a *Auditor) describeChange(change replayer.Change) (Entry, bool) {
	record := change.Record()
	e := Entry{
		position: change.Position(),
		unixMs:   record.GetRecordedUnixMs(),
		actor:    record.GetActor(),
		record:   record.GetId(),
		subject:  change.Subject(),
		applied:  change.Kind() != replayer.RecordIgnored,
		reason:   change.Reason(),
		detail:   change.Detail(),
	}
	switch body := record.GetBody().(type) {
	case *wire.Record_SectionPublished:
		e.kind, e.action = "section", "section_published"
		a.describeSection(&e, body.SectionPublished)
	case *wire.Record_HostJoined:
		e.kind, e.action, e.to = "host", "host_joined", "member"
	case *wire.Record_HostLeaving:
		e.kind, e.action, e.to = "host", "host_leaving", "leaving"
		e.detail = strings.TrimSpace(e.detail + " " + body.HostLeaving.GetReason())
	case *wire.Record_HostExpired:
		e.kind, e.action, e.to = "host", "host_expired", "expired"
	case *wire.Record_HostForgotten:
		e.kind, e.action, e.to = "host", "host_forgotten", "forgotten"
	case *wire.Record_HostReleased:
		e.kind, e.action, e.to = "host", "host_released", releaseName(body.HostReleased.GetReason())
	case *wire.Record_EntryExpired:
		e.kind, e.action, e.to = "entry", "entry_expired", "expired"
	default:
		e.kind = "task"
		e.action, e.to = describeTask(record)
		if e.action == "" {
			return Entry{}, false
		}
	}
	if change.Kind() == replayer.ShardChanged {
		return Entry{}, false
	}
	if change.Kind() == replayer.TaskChanged {
		e.kind = "task"
		describePhase(&e, change)
	}
	return e, true
}

func releaseName(reason wire.ReleaseReason) string {
	return strings.ToLower(strings.TrimPrefix(reason.String(), "RELEASE_REASON_"))
}

func describeTask(record *wire.Record) (action, to string) {
	switch body := record.GetBody().(type) {
	case *wire.Record_TaskSubmitted:
		return "task_submitted", "pending"
	case *wire.Record_TaskClaimed:
		return "task_claimed", fmt.Sprintf("attempt %d on %s", body.TaskClaimed.GetAttempt(), body.TaskClaimed.GetHost())
	case *wire.Record_ClaimRejected:
		return "claim_rejected", "pending"
	case *wire.Record_EvictionRequested:
		return "eviction_requested", "evicting: " + body.EvictionRequested.GetReason()
	case *wire.Record_TaskEvicted:
		return "task_evicted", "pending from checkpoint " + body.TaskEvicted.GetCheckpoint()
	case *wire.Record_TaskFinished:
		result := strings.TrimPrefix(body.TaskFinished.GetResult().String(), "TASK_RESULT_")
		return "task_finished", strings.ToLower(result)
	case *wire.Record_CancelRequested:
		return "cancel_requested", "canceling"
	default:
		return "", ""
	}
}

func describePhase(e *Entry, change replayer.Change) {
	e.from = phaseNames[change.PreviousPhase()]
	if change.PreviousHost() != "" {
		e.from += " on " + change.PreviousHost()
	}
	if e.to == "" || e.action == "host_released" || e.action == "host_joined" {
		e.to = "pending"
	}
}

// describeSection fills from and to with the keys that differ and their values,
// and updates the known text of the section.
func (a *Auditor) describeSection(e *Entry, published *wire.SectionPublished) {
	// After a reload, the source may still return changes that the state
	// reflects already. The value before such a change is unknown.
	reflected := e.position.GetOffset() <= a.reloadOffset
	before := a.sections[e.subject]
	if reflected {
		before = ""
	}
	e.from, e.to = changedKeys(before, published.GetText())
	if published.GetRemoved() {
		e.to = "removed"
	}
	if !e.applied || reflected {
		return
	}
	if published.GetRemoved() {
		delete(a.sections, e.subject)
		return
	}
	a.sections[e.subject] = published.GetText()
}

// changedKeys compares the texts of a section and returns the keys that differ,
// with the values before and after.
func changedKeys(before, after string) (from, to string) {
	beforeSection, afterSection := parser.ParseBody("", "", before), parser.ParseBody("", "", after)
	return keysNotIn(beforeSection, afterSection), keysNotIn(afterSection, beforeSection)
}

// keysNotIn lists the keys of a section that other lacks or has another value for.
func keysNotIn(section, other *parser.Section) string {
	var parts []string
	for _, key := range section.Keys() {
		if otherKey, found := other.Key(key.Name()); !found || otherKey.Value() != key.Value() {
			parts = append(parts, key.Name()+" = "+key.Value())
		}
	}
	return strings.Join(parts, ", ")
}
