package runner

import (
	"cmp"
	"maps"
	"slices"

	"damaskspread.example/damaskspread/wire"
)

// endList has the ends of runs that no leader is known to have stored. An executor lists a
// limited number of ends at a time, and the next ones only once these are stored and dropped.
type endList struct {
	byNumber map[int64]*wire.RunEnd
	byRun    map[runKey]*wire.RunEnd
	// more is set if the latest list may have left out ends. Such a list says nothing about
	// a run that it doesn't show.
	more bool
}

func newEndList() endList {
	return endList{
		byNumber: map[int64]*wire.RunEnd{},
		byRun:    map[runKey]*wire.RunEnd{},
	}
}

// add adds the listed ends with a number above recorded, and reports whether any is new.
func (l *endList) add(ends []*wire.RunEnd, recorded int64) bool {
	updated := false
	for _, end := range ends {
		if end.GetNumber() <= recorded || l.byNumber[end.GetNumber()] != nil {
			continue
		}
		l.byNumber[end.GetNumber()] = end
		l.byRun[runKey{end.GetTask(), end.GetRun()}] = end
		updated = true
	}
	return updated
}

// dropUpTo drops the ends up to a number.
func (l *endList) dropUpTo(recorded int64) {
	for number, end := range l.byNumber {
		if number > recorded {
			continue
		}
		delete(l.byNumber, number)
		if key := (runKey{end.GetTask(), end.GetRun()}); l.byRun[key] == end {
			delete(l.byRun, key)
		}
	}
}

func (l *endList) len() int { return len(l.byNumber) }

// has reports whether the run is known to have ended.
func (l *endList) has(key runKey) bool { return l.byRun[key] != nil }

// rulesOut reports whether the run is known not to have ended: the latest list shows no end
// of it and has left out none.
func (l *endList) rulesOut(key runKey) bool { return !l.more && !l.has(key) }

// cause returns the cause of a run's end, UNSPECIFIED if none is known.
func (l *endList) cause(key runKey) wire.EndCause { return l.byRun[key].GetCause() }

// earlierDone reports whether an earlier run of the same task is done. The leader has then
// decided the start of the run without that end.
func (l *endList) earlierDone(key runKey) bool {
	if key.run <= 1 {
		return false
	}
	for other, end := range l.byRun {
		if other.task == key.task && other.run < key.run && end.GetCause() == wire.EndCause_END_CAUSE_DONE {
			return true
		}
	}
	return false
}

// sorted returns the ends by their numbers.
func (l *endList) sorted() []*wire.RunEnd {
	return slices.SortedFunc(maps.Values(l.byNumber), func(a, b *wire.RunEnd) int {
		return cmp.Compare(a.GetNumber(), b.GetNumber())
	})
}
