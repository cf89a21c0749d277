// Package auditor keeps the latest changes of sections, hosts and tasks: who
// changed what, from which value to which, at which position, and whether the
// change took effect.
//
// The list lives in memory only. It starts empty when the process starts and
// holds what the process replayed since, up to a bound; the first reload brings
// back the last change of each section, and the log holds the rest while it
// retains it. A change that the subscription dropped is counted as a gap.
//
// Run starts no further goroutine. An Auditor is safe for concurrent use.
//
// Open questions: none.
package auditor

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// operatorChanges holds two days of the 1,700 configuration changes a day
	// of the target size, and its host changes.
	operatorChanges = 8192
	// taskChanges holds over ten seconds of the peak of 370 starts/s with
	// four records each. It is kept apart so that tasks don't push out what
	// operators did.
	taskChanges = 16384
)

// Source gives the changes in the order of the log; reload means that some
// were dropped.
type Source interface {
	Next(ctx context.Context) (changes []replayer.Change, reload bool, err error)
}

// Entry is one change.
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

// Position is the position of the change's record.
func (e Entry) Position() *wire.Position { return e.position }

// UnixMs is when the record was written, by the writer's clock.
func (e Entry) UnixMs() int64 { return e.unixMs }

// Actor is who asked for the change.
func (e Entry) Actor() string { return e.actor }

// Kind is section, host, entry or task.
func (e Entry) Kind() string { return e.kind }

// Subject is the section, host, entry or task.
func (e Entry) Subject() string { return e.subject }

// Action names the record, e.g. section_published.
func (e Entry) Action() string { return e.action }

// From is the value before the change.
func (e Entry) From() string { return e.from }

// To is the value after the change.
func (e Entry) To() string { return e.to }

// Applied reports whether the change took effect.
func (e Entry) Applied() bool { return e.applied }

// Reason says why the change had no effect.
func (e Entry) Reason() damaskspread.Reason { return e.reason }

// Detail explains the reason.
func (e Entry) Detail() string { return e.detail }

// Auditor keeps the latest changes.
type Auditor struct {
	Source Source
	// View reads the replayed state.
	View func(read func(*replayer.State))

	mu       sync.Mutex
	sections map[string]string
	operator ring
	task     ring
	byRecord map[string]Entry
	changed  chan struct{}
	// reloaded is the offset that sections reflect since the last reload.
	reloaded int64
	since    int64
	gaps     int
}

// Run observes the source until the tomb dies.
func (a *Auditor) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	a.View(a.Reload)
	for {
		changes, reload, err := a.Source.Next(ctx)
		if !t.Alive() {
			return nil
		}
		if err != nil {
			return err
		}
		if reload {
			a.View(a.Reload)
			continue
		}
		a.Observe(changes)
	}
}

// Reload takes the current sections as the values that later changes start
// from.
func (a *Auditor) Reload(state *replayer.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := a.sections == nil
	if first {
		a.since = state.Offset() + 1
	} else {
		a.gaps++
	}
	a.reloaded = state.Offset()
	a.sections = map[string]string{}
	var published []*wire.SectionState
	for section := range state.Sections() {
		published = append(published, section)
		if !section.GetRemoved() {
			a.sections[section.GetSection()] = section.GetText()
		}
	}
	if first {
		a.restore(published)
	}
}

// restore lists the last change of each section, which snapshots keep.
func (a *Auditor) restore(published []*wire.SectionState) {
	slices.SortFunc(published, func(x, y *wire.SectionState) int {
		return cmp.Compare(damaskspread.Token(x.GetPosition()), damaskspread.Token(y.GetPosition()))
	})
	for _, section := range published {
		_, to := differences("", section.GetText())
		if section.GetRemoved() {
			to = "removed"
		}
		a.operator.add(Entry{
			position: section.GetPosition(),
			unixMs:   section.GetPublishedUnixMs(),
			actor:    section.GetActor(),
			kind:     "section",
			subject:  section.GetSection(),
			action:   "section_published",
			to:       to,
			applied:  true,
		}, operatorChanges)
	}
}

// Observe adds changes in the order of the log.
func (a *Auditor) Observe(changes []replayer.Change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sections == nil {
		a.reloaded = -1
		a.sections = map[string]string{}
	}
	for _, change := range changes {
		a.observe(change)
	}
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

func (a *Auditor) observe(change replayer.Change) {
	entry, ok := a.describe(change)
	if !ok {
		return
	}
	kept, size := &a.operator, operatorChanges
	if entry.kind == "task" {
		kept, size = &a.task, taskChanges
	}
	if a.byRecord == nil {
		a.byRecord = map[string]Entry{}
	}
	if forgotten := kept.add(entry, size); forgotten != "" && forgotten != entry.record {
		delete(a.byRecord, forgotten)
	}
	if first, ok := a.byRecord[entry.record]; !ok || first.applied {
		a.byRecord[entry.record] = entry
	}
}

// Await returns the change that a record caused. It waits until the record is
// observed or the context ends.
func (a *Auditor) Await(ctx context.Context, record string) (Entry, bool) {
	for {
		a.mu.Lock()
		entry, ok := a.byRecord[record]
		if a.changed == nil {
			a.changed = make(chan struct{})
		}
		changed := a.changed
		a.mu.Unlock()
		if ok {
			return entry, true
		}
		select {
		case <-ctx.Done():
			return Entry{}, false
		case <-changed:
		}
	}
}

// Filter selects entries; an empty field selects all.
type Filter struct {
	Kind    string
	Subject string
	Actor   string
	Limit   int
}

// List returns the newest entries first.
func (a *Auditor) List(filter Filter) []Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []Entry
	operator, task := a.operator.len()-1, a.task.len()-1
	for (operator >= 0 || task >= 0) && len(list) < filter.Limit {
		var entry Entry
		if task < 0 || (operator >= 0 && damaskspread.Token(a.operator.at(operator).position) >=
			damaskspread.Token(a.task.at(task).position)) {
			entry = a.operator.at(operator)
			operator--
		} else {
			entry = a.task.at(task)
			task--
		}
		if filter.matches(entry) {
			list = append(list, entry)
		}
	}
	return list
}

func (f Filter) matches(e Entry) bool {
	return (f.Kind == "" || f.Kind == e.kind) && (f.Subject == "" || f.Subject == e.subject) &&
		(f.Actor == "" || f.Actor == e.actor)
}

// Coverage returns the first offset that the list covers and the number of
// times that changes were dropped since.
func (a *Auditor) Coverage() (since int64, gaps int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.since, a.gaps
}

// ring holds the latest entries; a new one replaces the oldest when full.
type ring struct {
	entries []Entry
	next    int
}

// add returns the record of the entry that it replaced.
func (r *ring) add(entry Entry, size int) string {
	if len(r.entries) < size {
		r.entries = append(r.entries, entry)
		return ""
	}
	forgotten := r.entries[r.next].record
	r.entries[r.next] = entry
	r.next = (r.next + 1) % size
	return forgotten
}

func (r *ring) len() int { return len(r.entries) }

// at returns an entry by age, the oldest at 0.
func (r *ring) at(i int) Entry { return r.entries[(r.next+i)%len(r.entries)] }
