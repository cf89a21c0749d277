// Package auditor keeps an audit trail of the latest changes of sections, hosts,
// entry processes and tasks: who changed what, from which value to which, at
// which position, and whether the change took effect. It is derived from the
// replayed records, whereas package tracer logs the decisions of this process.
//
// The audit trail is in memory only, up to a fixed number of entries. It covers
// the changes replayed since the process started, and the last change of each
// section, which snapshots of the state contain. Earlier changes are in the log
// as long as the log retains them. Each time that the source drops changes, a
// gap is counted.
//
// Run waits for the changes of the source and starts no goroutine. An Auditor is
// safe for concurrent use.
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
	// maxOperatorEntries covers two days of the 1,700 configuration changes a day
	// of a fleet of the target size, and its host changes.
	maxOperatorEntries = 8192
	// maxTaskEntries covers more than 10 s of the peak of 370 task starts/s
	// with four records each. It is a separate limit so that changes of tasks
	// do not replace changes by operators.
	maxTaskEntries = 16384
)

// Source provides changes. Next waits for changes and returns them in the order
// of the log. If reload is set, changes were dropped, and the Auditor reads the
// replayed state again.
type Source interface {
	Next(ctx context.Context) (changes []replayer.Change, reload bool, err error)
}

// Auditor keeps the audit trail. Source and View must be set before Run.
type Auditor struct {
	Source Source
	// View calls read with the replayed state, which does not change meanwhile.
	View func(read func(*replayer.State))

	mu sync.Mutex
	// sections holds the latest known text of each section, nil before the first
	// reload or change.
	sections map[string]string
	// operatorEntries holds the entries of sections, hosts and entry processes.
	operatorEntries ring
	taskEntries     ring
	// byRecord holds the entries by record ID.
	byRecord map[string]Entry
	// observed, if not nil, is closed when changes were added.
	observed chan struct{}
	// reloadOffset is the offset of the state that the last reload read.
	reloadOffset int64
	firstOffset  int64
	gaps         int
}

// Run adds the changes of the source until the tomb dies or the source fails.
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

// Reload reads the sections of the replayed state as the values before later
// changes. Every call but the first counts a gap.
func (a *Auditor) Reload(state *replayer.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := a.sections == nil
	if first {
		a.firstOffset = state.Offset() + 1
	} else {
		a.gaps++
	}
	a.reloadOffset = state.Offset()
	a.sections = map[string]string{}
	var published []*wire.SectionState
	for section := range state.Sections() {
		published = append(published, section)
		if !section.GetRemoved() {
			a.sections[section.GetSection()] = section.GetText()
		}
	}
	if first {
		a.addPublished(published)
	}
}

// addPublished adds the last change of each section.
func (a *Auditor) addPublished(sections []*wire.SectionState) {
	slices.SortFunc(sections, func(x, y *wire.SectionState) int {
		return cmp.Compare(damaskspread.Token(x.GetPosition()), damaskspread.Token(y.GetPosition()))
	})
	for _, section := range sections {
		_, to := changedKeys("", section.GetText())
		if section.GetRemoved() {
			to = "removed"
		}
		a.operatorEntries.add(Entry{
			position: section.GetPosition(),
			unixMs:   section.GetPublishedUnixMs(),
			actor:    section.GetActor(),
			kind:     "section",
			subject:  section.GetSection(),
			action:   "section_published",
			to:       to,
			applied:  true,
		}, maxOperatorEntries)
	}
}

// Observe adds changes, which must be in the order of the log.
func (a *Auditor) Observe(changes []replayer.Change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sections == nil {
		a.reloadOffset = -1
		a.sections = map[string]string{}
	}
	for _, change := range changes {
		a.addEntry(change)
	}
	if a.observed != nil {
		close(a.observed)
		a.observed = nil
	}
}

func (a *Auditor) addEntry(change replayer.Change) {
	entry, ok := a.describeChange(change)
	if !ok {
		return
	}
	entries, size := &a.operatorEntries, maxOperatorEntries
	if entry.kind == "task" {
		entries, size = &a.taskEntries, maxTaskEntries
	}
	if a.byRecord == nil {
		a.byRecord = map[string]Entry{}
	}
	if replaced := entries.add(entry, size); replaced != "" && replaced != entry.record {
		delete(a.byRecord, replaced)
	}
	if earlier, ok := a.byRecord[entry.record]; !ok || earlier.applied {
		a.byRecord[entry.record] = entry
	}
}

// Await waits for the change that a record caused and returns it. It returns
// false if the context ends first. If the record caused several changes and one
// had no effect, that one is returned.
func (a *Auditor) Await(ctx context.Context, record string) (Entry, bool) {
	for {
		a.mu.Lock()
		entry, ok := a.byRecord[record]
		if a.observed == nil {
			a.observed = make(chan struct{})
		}
		observed := a.observed
		a.mu.Unlock()
		if ok {
			return entry, true
		}
		select {
		case <-ctx.Done():
			return Entry{}, false
		case <-observed:
		}
	}
}

// Filter selects entries; an empty string selects all. Limit is the maximum
// number of entries to return.
type Filter struct {
	Kind    string
	Subject string
	Actor   string
	Limit   int
}

// List returns the entries that match a filter, the newest first.
func (a *Auditor) List(filter Filter) []Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []Entry
	operatorIndex, taskIndex := a.operatorEntries.len()-1, a.taskEntries.len()-1
	for (operatorIndex >= 0 || taskIndex >= 0) && len(list) < filter.Limit {
		var entry Entry
		if taskIndex < 0 || (operatorIndex >= 0 && damaskspread.Token(a.operatorEntries.at(operatorIndex).position) >=
			damaskspread.Token(a.taskEntries.at(taskIndex).position)) {
			entry = a.operatorEntries.at(operatorIndex)
			operatorIndex--
		} else {
			entry = a.taskEntries.at(taskIndex)
			taskIndex--
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

// Coverage returns the first offset from which the audit trail covers all kinds
// of changes, and the number of gaps since.
func (a *Auditor) Coverage() (firstOffset int64, gaps int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.firstOffset, a.gaps
}
