package replayer

import (
	"slices"

	"google.golang.org/protobuf/proto"
	"gopkg.in/ini.v1"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const zoneSectionPrefix = "zone "

// Apply applies one batch and returns its changes in the order of the records. A
// batch at an offset that was already applied is skipped, so the log may be read
// twice.
func (s *State) Apply(offset int64, batch *wire.RecordBatch) []Change {
	if offset <= s.offset {
		return nil
	}
	s.changes = nil
	for i, record := range batch.GetRecords() {
		s.applyRecord(record, &wire.Position{
			Offset: offset,
			Index:  int32(i),
		})
	}
	s.offset = offset
	changes := s.changes
	s.changes = nil
	return changes
}

func (s *State) applyRecord(record *wire.Record, recordPosition *wire.Position) {
	c := Change{
		record:   record,
		position: recordPosition,
	}
	switch body := record.GetBody().(type) {
	case *wire.Record_SectionPublished:
		s.applySectionPublished(c, body.SectionPublished)
	case *wire.Record_HostJoined:
		s.applyHostJoined(c, body.HostJoined)
	case *wire.Record_HostsAlive:
		s.applyHostsAlive(c, body.HostsAlive)
	case *wire.Record_HostLeaving:
		s.applyHostLeaving(c, body.HostLeaving)
	case *wire.Record_HostExpired:
		s.applyHostExpired(c, body.HostExpired)
	case *wire.Record_HostForgotten:
		s.applyHostForgotten(c, body.HostForgotten)
	case *wire.Record_HostReleased:
		s.applyHostReleased(c, body.HostReleased)
	case *wire.Record_HostsSilent:
		s.applyHostsSilent(c, body.HostsSilent)
	case *wire.Record_EntryAlive:
		s.applyEntryAlive(c, body.EntryAlive)
	case *wire.Record_EntryExpired:
		s.applyEntryExpired(c, body.EntryExpired)
	case *wire.Record_TaskSubmitted:
		s.applyTaskSubmitted(c, body.TaskSubmitted)
	case *wire.Record_TaskClaimed:
		s.applyTaskClaimed(c, body.TaskClaimed)
	case *wire.Record_ClaimRejected:
		s.applyClaimRejected(c, body.ClaimRejected)
	case *wire.Record_EvictionRequested:
		s.applyEvictionRequested(c, body.EvictionRequested)
	case *wire.Record_TaskEvicted:
		s.applyTaskEvicted(c, body.TaskEvicted)
	case *wire.Record_TaskFinished:
		s.applyTaskFinished(c, body.TaskFinished)
	case *wire.Record_CancelRequested:
		s.applyCancelRequested(c, body.CancelRequested)
	case *wire.Record_CheckpointTaken:
		s.applyCheckpointTaken(c, body.CheckpointTaken)
	case *wire.Record_ShardsReady:
		s.applyShardsReady(c, body.ShardsReady)
	default:
		s.ignore(c, "", damaskspread.ReasonInvalid, "the record has no known body")
	}
}

// ignore adds a change that marks the record of c as ignored.
func (s *State) ignore(c Change, subject string, reason damaskspread.Reason, detail string) {
	c.kind = RecordIgnored
	c.subject = subject
	c.reason = reason
	c.detail = detail
	s.changes = append(s.changes, c)
}

// addChange adds a change. Changes of hosts other than heartbeats and silences also
// change the routes version.
func (s *State) addChange(c Change, kind ChangeKind, subject string) {
	c.kind = kind
	c.subject = subject
	s.changes = append(s.changes, c)
	if kind != HostChanged {
		return
	}
	switch c.record.GetBody().(type) {
	case *wire.Record_HostsAlive, *wire.Record_HostsSilent:
	default:
		s.routesVersion = damaskspread.Token(c.position)
	}
}

func (s *State) applySectionPublished(c Change, published *wire.SectionPublished) {
	name := published.GetSection()
	current := s.sections[name]
	if !damaskspread.SamePosition(published.GetBase(), current.GetPosition()) {
		s.ignore(c, name, damaskspread.ReasonConflict, "the section changed after the base version of this publication")
		return
	}
	if current != nil && !current.GetRemoved() && current.GetTeam() != published.GetTeam() {
		s.ignore(c, name, damaskspread.ReasonNotOwner, "the section belongs to team "+current.GetTeam())
		return
	}
	s.sections[name] = &wire.SectionState{
		Section:            name,
		Text:               published.GetText(),
		Removed:            published.GetRemoved(),
		Team:               published.GetTeam(),
		Position:           c.position,
		Actor:              c.record.GetActor(),
		PublishedUnixMs:    c.record.GetRecordedUnixMs(),
		PublishedElapsedMs: s.elapsedMs,
	}
	s.sectionsOffset = c.position.GetOffset()
	if s.updateZone(s.sections[name]) {
		s.routesVersion = damaskspread.Token(c.position)
		for _, service := range sortedKeys(s.shards) {
			s.assignShards(c, service)
		}
	}
	s.addChange(c, SectionChanged, name)
}

// updateZone stores whether a zone is in service if section is that of a zone. No
// other setting decides whether a claim is valid. It reports whether it changed.
func (s *State) updateZone(section *wire.SectionState) bool {
	name := section.GetSection()
	if len(name) <= len(zoneSectionPrefix) || name[:len(zoneSectionPrefix)] != zoneSectionPrefix {
		return false
	}
	zone := name[len(zoneSectionPrefix):]
	out := !section.GetRemoved() && !parseInService(section.GetText())
	if out == s.zonesOut[zone] {
		return false
	}
	if out {
		s.zonesOut[zone] = true
	} else {
		delete(s.zonesOut, zone)
	}
	return true
}

// parseInService returns in_service of a zone's section, true if it is not set or
// the section is invalid.
func parseInService(text string) bool {
	file, err := ini.Load([]byte(text))
	if err != nil {
		return true
	}
	return file.Section("").Key("in_service").MustBool(true)
}

func (s *State) applyEntryAlive(c Change, alive *wire.EntryAlive) {
	entry := &wire.EntryState{
		Entry: alive,
		Alive: c.position,
	}
	s.advanceElapsed(s.entries[alive.GetEntry()], entry)
	s.entries[alive.GetEntry()] = entry
	s.addChange(c, EntryChanged, alive.GetEntry())
}

func (s *State) applyEntryExpired(c Change, expired *wire.EntryExpired) {
	entry := s.entries[expired.GetEntry()]
	if entry == nil || !damaskspread.SamePosition(entry.GetAlive(), expired.GetAlive()) {
		s.ignore(c, expired.GetEntry(), damaskspread.ReasonConflict, "the entry process is unknown or reported alive after the position in the record")
		return
	}
	delete(s.entries, expired.GetEntry())
	s.addChange(c, EntryChanged, expired.GetEntry())
}

// Snapshot returns a copy of the state with its objects in a fixed order.
func (s *State) Snapshot() *wire.Snapshot {
	snapshot := &wire.Snapshot{
		Offset:    s.offset,
		ElapsedMs: s.elapsedMs,
	}
	for _, name := range sortedKeys(s.sections) {
		snapshot.Sections = append(snapshot.Sections, proto.CloneOf(s.sections[name]))
	}
	for _, id := range sortedKeys(s.hosts) {
		snapshot.Hosts = append(snapshot.Hosts, proto.CloneOf(s.hosts[id].state))
	}
	for _, id := range sortedKeys(s.entries) {
		snapshot.Entries = append(snapshot.Entries, proto.CloneOf(s.entries[id]))
	}
	for _, id := range sortedKeys(s.pending) {
		snapshot.Tasks = append(snapshot.Tasks, proto.CloneOf(s.pending[id]))
	}
	for _, id := range sortedKeys(s.hosts) {
		for _, task := range sortedKeys(s.hosts[id].claims) {
			snapshot.Tasks = append(snapshot.Tasks, proto.CloneOf(s.tasks[task]))
		}
	}
	// Finished tasks keep the order in which they will be removed.
	for _, id := range s.finished[s.finishedHead:] {
		snapshot.Tasks = append(snapshot.Tasks, proto.CloneOf(s.tasks[id]))
	}
	for _, service := range sortedKeys(s.shards) {
		for _, shard := range s.shards[service] {
			snapshot.Shards = append(snapshot.Shards, proto.CloneOf(shard))
		}
	}
	return snapshot
}

// Restore returns the state that a snapshot describes. It copies the snapshot.
func Restore(snapshot *wire.Snapshot) *State {
	s := New()
	snapshot = proto.CloneOf(snapshot)
	s.offset = snapshot.GetOffset()
	s.elapsedMs = max(s.elapsedMs, snapshot.GetElapsedMs())
	// The snapshot has no routes version. The last index of its batch differs from
	// every version that readers may have seen before.
	s.routesVersion = damaskspread.Token(&wire.Position{
		Offset: snapshot.GetOffset(),
		Index:  damaskspread.MaxBatchRecords - 1,
	})
	for _, section := range snapshot.GetSections() {
		s.sections[section.GetSection()] = section
		s.sectionsOffset = max(s.sectionsOffset, section.GetPosition().GetOffset())
		s.updateZone(section)
	}
	for _, state := range snapshot.GetHosts() {
		h := newHost(state)
		s.hosts[state.GetSpec().GetHost()] = h
		s.addToService(h)
	}
	for _, entry := range snapshot.GetEntries() {
		s.entries[entry.GetEntry().GetEntry()] = entry
	}
	for _, task := range snapshot.GetTasks() {
		s.restoreTask(task)
	}
	for _, shard := range snapshot.GetShards() {
		s.shards[shard.GetService()] = append(s.shards[shard.GetService()], shard)
	}
	return s
}

func (s *State) restoreTask(task *wire.TaskState) {
	s.addTask(task)
	id := task.GetSpec().GetTask()
	switch task.GetPhase() {
	case wire.TaskPhase_TASK_PHASE_PENDING:
		s.pending[id] = task
	case wire.TaskPhase_TASK_PHASE_CLAIMED:
		s.addClaim(task)
	default:
		s.finished = append(s.finished, id)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
