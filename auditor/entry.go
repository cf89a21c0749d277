package auditor

import (
	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Entry is one change in the audit trail.
type Entry struct {
	position *wire.Position
	unixMs   int64
	actor    string
	record   string
	kind     string
	subject  string
	action   string
	from     string
	to       string
	applied  bool
	reason   damaskspread.Reason
	detail   string
}

// Position returns the position of the change's record.
func (e Entry) Position() *wire.Position { return e.position }

// UnixMs returns when the record was written, in Unix milliseconds of the
// writer's clock.
func (e Entry) UnixMs() int64 { return e.unixMs }

// Actor returns who requested the change, or "" if the record names nobody.
func (e Entry) Actor() string { return e.actor }

// Kind returns section, host, entry or task.
func (e Entry) Kind() string { return e.kind }

// Subject returns the name or ID of the section, host, entry or task.
func (e Entry) Subject() string { return e.subject }

// Action returns the kind of the record, such as section_published.
func (e Entry) Action() string { return e.action }

// From returns the value before the change, or "" if it is unknown or empty.
func (e Entry) From() string { return e.from }

// To returns the value after the change, also if the change had no effect.
func (e Entry) To() string { return e.to }

// Applied reports whether the change took effect.
func (e Entry) Applied() bool { return e.applied }

// Reason returns why the change had no effect.
func (e Entry) Reason() damaskspread.Reason { return e.reason }

// Detail returns a text that explains the reason, or why a host leaves.
func (e Entry) Detail() string { return e.detail }

// ring is a ring buffer of the latest entries.
type ring struct {
	entries []Entry
	next    int
}

// add adds an entry. With size entries it replaces the oldest one and returns
// the record ID of that entry, else "".
func (r *ring) add(entry Entry, size int) string {
	if len(r.entries) < size {
		r.entries = append(r.entries, entry)
		return ""
	}
	replaced := r.entries[r.next].record
	r.entries[r.next] = entry
	r.next = (r.next + 1) % size
	return replaced
}

func (r *ring) len() int { return len(r.entries) }

// at returns an entry by index; 0 is the oldest.
func (r *ring) at(i int) Entry { return r.entries[(r.next+i)%len(r.entries)] }
