package replayer

import (
	"slices"

	"google.golang.org/protobuf/proto"
	"gopkg.in/ini.v1"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const zonePrefix = "zone "

// Apply applies one batch and returns its effects. A batch at an offset that
// was already applied has no effect, so a repeated read is harmless.
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

func (s *State) applyRecord(record *wire.Record, at *wire.Position) {
	c := Change{
		record:   record,
		position: at,
	}
	switch body := record.GetBody().(type) {
	case *wire.Record_SectionPublished:
		s.applySection(c, body.SectionPublished)
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
	case *wire.Record_EntryAlive:
		s.applyEntryAlive(c, body.EntryAlive)
	case *wire.Record_EntryExpired:
		s.applyEntryExpired(c, body.EntryExpired)
	case *wire.Record_TaskSubmitted:
		s.applySubmitted(c, body.TaskSubmitted)
	case *wire.Record_TaskClaimed:
		s.applyClaimed(c, body.TaskClaimed)
	case *wire.Record_ClaimRejected:
		s.applyClaimRejected(c, body.ClaimRejected)
	case *wire.Record_EvictionRequested:
		s.applyEvictionRequested(c, body.EvictionRequested)
	case *wire.Record_TaskEvicted:
		s.applyEvicted(c, body.TaskEvicted)
	case *wire.Record_TaskFinished:
		s.applyFinished(c, body.TaskFinished)
	case *wire.Record_CancelRequested:
		s.applyCancel(c, body.CancelRequested)
	case *wire.Record_CheckpointTaken:
		s.applyCheckpoint(c, body.CheckpointTaken)
	case *wire.Record_ShardsReady:
		s.applyShardsReady(c, body.ShardsReady)
	default:
		s.void(c, "", damaskspread.ReasonInvalid, "record has no known body")
	}
}

func (s *State) void(c Change, subject string, reason damaskspread.Reason, detail string) {
	c.kind = Void
	c.subject = subject
	c.reason = reason
	c.detail = detail
	s.changes = append(s.changes, c)
}

func (s *State) changed(c Change, kind ChangeKind, subject string) {
	c.kind = kind
	c.subject = subject
	s.changes = append(s.changes, c)
	if _, alive := c.record.GetBody().(*wire.Record_HostsAlive); kind == HostChanged && !alive {
		s.routesAt = damaskspread.Token(c.position)
	}
}

func (s *State) applySection(c Change, published *wire.SectionPublished) {
	name := published.GetSection()
	current := s.sections[name]
	if !damaskspread.SamePosition(published.GetBase(), current.GetPosition()) {
		s.void(c, name, damaskspread.ReasonConflict, "the section changed since the base of this publication")
		return
	}
	if current != nil && !current.GetRemoved() && current.GetTeam() != published.GetTeam() {
		s.void(c, name, damaskspread.ReasonNotOwner, "the section belongs to team "+current.GetTeam())
		return
	}
	s.sections[name] = &wire.SectionState{
		Section:         name,
		Text:            published.GetText(),
		Removed:         published.GetRemoved(),
		Team:            published.GetTeam(),
		Position:        c.position,
		Actor:           c.record.GetActor(),
		PublishedUnixMs: c.record.GetRecordedUnixMs(),
	}
	s.sectionsOffset = c.position.GetOffset()
	if s.noteZone(s.sections[name]) {
		s.routesAt = damaskspread.Token(c.position)
		for _, service := range sortedKeys(s.shards) {
			s.assignShards(c, service)
		}
	}
	s.changed(c, SectionChanged, name)
}

// noteZone keeps the one configuration value that decides whether a claim is
// valid, and reports whether it changed.
func (s *State) noteZone(section *wire.SectionState) bool {
	name := section.GetSection()
	if len(name) <= len(zonePrefix) || name[:len(zonePrefix)] != zonePrefix {
		return false
	}
	zone := name[len(zonePrefix):]
	out := !section.GetRemoved() && !inService(section.GetText())
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

func inService(text string) bool {
	file, err := ini.Load([]byte(text))
	if err != nil {
		return true
	}
	return file.Section("").Key("in_service").MustBool(true)
}

func (s *State) applyEntryAlive(c Change, alive *wire.EntryAlive) {
	s.entries[alive.GetEntry()] = &wire.EntryState{
		Entry: alive,
		Alive: c.position,
	}
	s.changed(c, EntryChanged, alive.GetEntry())
}

func (s *State) applyEntryExpired(c Change, expired *wire.EntryExpired) {
	entry := s.entries[expired.GetEntry()]
	if entry == nil || !damaskspread.SamePosition(entry.GetAlive(), expired.GetAlive()) {
		s.void(c, expired.GetEntry(), damaskspread.ReasonConflict, "the entry process was alive later")
		return
	}
	delete(s.entries, expired.GetEntry())
	s.changed(c, EntryChanged, expired.GetEntry())
}

// Snapshot returns a copy of the whole state, in a fixed order.
func (s *State) Snapshot() *wire.Snapshot {
	snapshot := &wire.Snapshot{
		Offset: s.offset,
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
	// Finished tasks keep the order in which they will be forgotten.
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

// Restore returns the state that a snapshot describes.
func Restore(snapshot *wire.Snapshot) *State {
	s := New()
	snapshot = proto.CloneOf(snapshot)
	s.offset = snapshot.GetOffset()
	// The snapshot doesn't say which record changed the routes last. The end of
	// its batch differs from every position known before.
	s.routesAt = damaskspread.Token(&wire.Position{
		Offset: snapshot.GetOffset(),
		Index:  damaskspread.MaxBatchRecords - 1,
	})
	for _, section := range snapshot.GetSections() {
		s.sections[section.GetSection()] = section
		s.sectionsOffset = max(s.sectionsOffset, section.GetPosition().GetOffset())
		s.noteZone(section)
	}
	for _, state := range snapshot.GetHosts() {
		h := newHost(state)
		s.hosts[state.GetSpec().GetHost()] = h
		s.index(h)
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
	s.remember(task)
	id := task.GetSpec().GetTask()
	switch task.GetPhase() {
	case wire.TaskPhase_TASK_PHASE_PENDING:
		s.pending[id] = task
	case wire.TaskPhase_TASK_PHASE_CLAIMED:
		s.commit(task)
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
