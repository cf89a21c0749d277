package replayer

import (
	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// ChangeKind says what a record changed.
type ChangeKind int

// Kinds of change.
const (
	// Void marks a record without effect; Reason says why.
	Void ChangeKind = iota
	SectionChanged
	HostChanged
	EntryChanged
	TaskChanged
	ShardChanged
)

// Change is one effect of a record, in the order of application.
type Change struct {
	kind     ChangeKind
	record   *wire.Record
	position *wire.Position
	subject  string
	reason   damaskspread.Reason
	detail   string
	previous wire.TaskPhase
	before   string
}

// Kind says what changed.
func (c Change) Kind() ChangeKind { return c.kind }

// Record is the record that caused the change.
func (c Change) Record() *wire.Record { return c.record }

// Position is the position of the record.
func (c Change) Position() *wire.Position { return c.position }

// Subject is the section, host, entry, task or service that changed.
func (c Change) Subject() string { return c.subject }

// Reason is set for a void record.
func (c Change) Reason() damaskspread.Reason { return c.reason }

// Detail explains the reason.
func (c Change) Detail() string { return c.detail }

// PreviousPhase is a task's phase before the change.
func (c Change) PreviousPhase() wire.TaskPhase { return c.previous }

// PreviousHost is the host of a task's claim before the change.
func (c Change) PreviousHost() string { return c.before }
