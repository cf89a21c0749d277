package replayer

import (
	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// ChangeKind is the kind of object that a record changed.
type ChangeKind int

// Kinds of change.
const (
	// RecordIgnored marks an ignored record, which had no effect; Reason says why.
	RecordIgnored ChangeKind = iota
	SectionChanged
	HostChanged
	EntryChanged
	TaskChanged
	ShardChanged
)

// Change is one effect of an applied record, or an ignored record.
type Change struct {
	kind          ChangeKind
	record        *wire.Record
	position      *wire.Position
	subject       string
	reason        damaskspread.Reason
	detail        string
	previousPhase wire.TaskPhase
	previousHost  string
}

// Kind returns the kind of object that changed.
func (c Change) Kind() ChangeKind { return c.kind }

// Record returns the record that caused the change.
func (c Change) Record() *wire.Record { return c.record }

// Position returns the log position of the record.
func (c Change) Position() *wire.Position { return c.position }

// Subject returns the id of the host, entry process or task, or the name of the
// section or service, that the change is about.
func (c Change) Subject() string { return c.subject }

// Reason returns why a record was ignored, empty if it took effect.
func (c Change) Reason() damaskspread.Reason { return c.reason }

// Detail returns an explanation of the reason, empty if the record took effect.
func (c Change) Detail() string { return c.detail }

// PreviousPhase returns a task's phase before the change.
func (c Change) PreviousPhase() wire.TaskPhase { return c.previousPhase }

// PreviousHost returns the host on which a task was claimed before the change,
// empty if none.
func (c Change) PreviousHost() string { return c.previousHost }
