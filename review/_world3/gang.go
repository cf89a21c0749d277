package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangWait is the bound gangMs: a member that has waited so long for the others ends alone.
const gangWait = 3 * time.Second

// gangs are the runs of gangs on all executors. The members of one run work from the moment at
// which all of them are present, and end together.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gangRun
}

type gangRun struct {
	members map[runKey]*member
	// began is set once all were present, over once one of them has ended.
	began, over bool
}

// member is one run of a gang on one life of an executor.
type member struct {
	executor *executor
	born     int64
}

func newGangs() *gangs { return &gangs{runs: map[string]*gangRun{}} }

// sizeOf reads the size of a gang from the specification "work 500ms gang 4"; 0 without one.
func sizeOf(spec string) (size int) {
	if _, text, found := strings.Cut(spec, "gang "); found {
		_, _ = fmt.Sscan(text, &size)
	}
	return size
}

func gangName(key runKey) string {
	return fmt.Sprintf("%s run %d", key.task[:strings.LastIndexByte(key.task, '.')], key.run)
}

// join adds a run to its gang.
func (g *gangs) join(key runKey, m *member, size int, work time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gang := g.runs[gangName(key)]
	if gang == nil {
		gang = &gangRun{members: map[runKey]*member{}}
		g.runs[gangName(key)] = gang
	}
	gang.members[key] = m
	if len(gang.members) == size && !gang.over {
		gang.began = true
		time.AfterFunc(work, func() { g.endAll(gang, "done") })
		return
	}
	time.AfterFunc(gangWait, func() {
		g.mu.Lock()
		waits := !gang.began && gang.members[key] == m
		if waits {
			delete(gang.members, key)
		}
		g.mu.Unlock()
		if waits {
			m.end(key, "alone")
		}
	})
}

// leave removes a run that has ended by itself; the others of its gang are broken.
func (g *gangs) leave(key runKey) {
	g.mu.Lock()
	gang := g.runs[gangName(key)]
	if gang == nil || gang.members[key] == nil {
		g.mu.Unlock()
		return
	}
	delete(gang.members, key)
	breaks := gang.began && !gang.over
	g.mu.Unlock()
	if breaks {
		g.endAll(gang, "broken")
	}
}

func (g *gangs) endAll(gang *gangRun, how string) {
	g.mu.Lock()
	members := gang.members
	ends := !gang.over
	gang.over = true
	gang.members = map[runKey]*member{}
	g.mu.Unlock()
	if !ends {
		return
	}
	for key, m := range members {
		go m.end(key, how)
	}
}

func (m *member) end(key runKey, how string) {
	m.executor.mu.Lock()
	defer m.executor.mu.Unlock()
	if m.executor.born == m.born {
		m.executor.finish(key, how)
	}
}
