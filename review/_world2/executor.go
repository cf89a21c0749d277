package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	tickInterval      = 5 * time.Millisecond
	// maxListedEnds is how many ends one response lists.
	maxListedEnds = 500
	// stopTime is how long a stop takes; the bound is stopMs.
	stopTime = 100 * time.Millisecond
)

// Capacity is the room of an executor or the need of a task.
type Capacity struct {
	CPU   int64 `json:"cpu"`
	MemMb int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// Executor is a stand-in for one executor. Its machine keeps address, zone and
// labels; a life has an id and a time of birth. World.mu guards the fields below
// server.
type Executor struct {
	World    *World
	Name     string
	Service  string
	Zone     string
	Labels   []string
	Capacity Capacity
	// Address is where the executor serves calls, Control that of its agent.
	Address, Control string

	server *http.Server
	up     bool
	// dark is set if the executor is lost without a sign: calls get no response.
	dark     bool
	id       string
	lives    int
	bornAt   time.Time
	sequence int64
	token    int64
	lease    time.Time
	lapsedAt time.Time
	runs     map[runID]*run
	// endedRun is the highest run of a task that was stopped or has ended here.
	endedRun map[string]int
	ended    []endedRun
	lastEnd  int64
	changed  chan struct{}
}

type runID struct {
	task string
	run  int
}

type run struct {
	runID
	startedAt time.Time
	endsAt    time.Time // zero if the run lasts
	how       string
	stopsAt   time.Time // zero unless the run was stopped
}

type endedRun struct {
	number int64
	runID
	how   string
	at    time.Time
	event int // index of the end in World.Ends
}

// Boot begins a life of the executor. With a new id it is another executor on the
// same machine.
func (e *Executor) Boot(newID bool) error {
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	e.World.mu.Lock()
	e.lives++
	if newID || e.id == "" {
		e.id = fmt.Sprintf("i-%s-%d", e.Name, e.lives)
	}
	e.up = true
	e.bornAt = time.Now()
	e.sequence, e.token, e.lastEnd = 0, 0, 0
	e.lease, e.lapsedAt = time.Time{}, time.Time{}
	e.runs, e.endedRun, e.ended = map[runID]*run{}, map[string]int{}, nil
	e.changed = make(chan struct{})
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	server := e.server
	e.World.notef("executor %s begins a life as %s", e.Name, e.id)
	e.World.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go e.sendHeartbeats(server)
	return nil
}

// Crash ends the life of the executor at once: its runs are over, and its
// connections break off.
func (e *Executor) Crash() {
	e.World.mu.Lock()
	if !e.up {
		e.World.mu.Unlock()
		return
	}
	e.up = false
	for _, r := range e.runs {
		e.World.recordEnd(e, r, "crashed", 0)
	}
	e.runs = map[runID]*run{}
	server := e.server
	e.World.notef("executor %s crashes", e.id)
	e.World.mu.Unlock()
	_ = server.Close()
}

// GoDark ends the life of the executor without a sign: its runs are over, and calls
// get no response from then on.
func (e *Executor) GoDark() {
	e.World.mu.Lock()
	defer e.World.mu.Unlock()
	e.up, e.dark = false, true
	for _, r := range e.runs {
		e.World.recordEnd(e, r, "lost", 0)
	}
	e.runs = map[runID]*run{}
	e.World.notef("executor %s goes dark", e.id)
}

// waitInTheDark keeps a call without a response until its caller gives up. The caller
// holds the mutex.
func (e *Executor) waitInTheDark(r *http.Request) {
	e.World.mu.Unlock()
	<-r.Context().Done()
	e.World.mu.Lock()
	panic(http.ErrAbortHandler)
}

// sendHeartbeats announces the executor until its life ends.
func (e *Executor) sendHeartbeats(server *http.Server) {
	client := &http.Client{Timeout: time.Second}
	for {
		e.World.mu.Lock()
		if !e.up || e.server != server {
			e.World.mu.Unlock()
			return
		}
		e.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": e.Service, "address": e.Address, "zone": e.Zone, "version": "v1", "slots": 8,
			"state": "ready", "coldRemainingMs": 0, "capacity": e.Capacity, "labels": e.Labels,
			"clockMs": e.clockMs(), "sequence": e.sequence, "born": e.bornAt.UnixMilli(),
		})
		target := "http://" + e.Control + "/Instances.Heartbeat/" + e.id
		e.World.mu.Unlock()
		pause := heartbeatInterval
		response, err := client.Post(target, "application/json", bytes.NewReader(body))
		if err != nil {
			pause = 300 * time.Millisecond
		} else {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		time.Sleep(pause)
	}
}

func (e *Executor) clockMs() int64 { return time.Since(e.bornAt).Milliseconds() + 1 }

type call struct {
	Task         string  `json:"task"`
	Run          int     `json:"run"`
	Spec         string  `json:"spec"`
	DeadlineMs   float64 `json:"deadlineMs"`
	FencingToken int64   `json:"fencingToken"`
	LastSeen     int64   `json:"lastSeen"`
	WaitMs       int     `json:"waitMs"`
}

func (e *Executor) serve(w http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	mu := &e.World.mu
	mu.Lock()
	defer mu.Unlock()
	if e.dark {
		e.waitInTheDark(r)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.advance(time.Now())
	if c.FencingToken < e.token {
		e.refuse(w, "fence")
		return
	}
	e.token = c.FencingToken
	switch r.URL.Path {
	case "/run-start":
		e.start(w, &c)
	case "/run-stop":
		e.stop(&c)
		writeJSON(w, http.StatusOK, map[string]int64{"clockMs": e.clockMs()})
	case "/hold":
		e.hold(w, r, &c)
	case "/pace":
		writeJSON(w, http.StatusOK, map[string]int64{"clockMs": e.clockMs()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *Executor) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clockMs": e.clockMs(), "reason": reason, "born": e.bornAt.UnixMilli()})
}

// extendLease takes a deadline, which never shortens the lease.
func (e *Executor) extendLease(deadlineMs float64) {
	if deadlineMs <= 0 {
		return
	}
	now := time.Now()
	deadline := e.bornAt.Add(time.Duration(deadlineMs) * time.Millisecond)
	if limit := now.Add(e.World.HoldMax); deadline.After(limit) {
		deadline = limit
	}
	if deadline.After(e.lease) {
		e.lease = deadline
	}
}

func (e *Executor) start(w http.ResponseWriter, c *call) {
	id := runID{c.Task, c.Run}
	if e.runs[id] != nil {
		writeJSON(w, http.StatusOK, map[string]int64{"clockMs": e.clockMs()})
		return
	}
	if c.Run <= e.endedRun[c.Task] {
		e.extendLease(c.DeadlineMs)
		e.refuse(w, "old")
		return
	}
	now := time.Now()
	if deadline := e.bornAt.Add(time.Duration(c.DeadlineMs) * time.Millisecond); !deadline.After(now) {
		e.refuse(w, "late")
		return
	}
	e.extendLease(c.DeadlineMs)
	started := &run{runID: id, startedAt: now}
	e.runs[id] = started
	e.World.recordStart(e, started)
	duration, how := e.World.Outcome(c.Task, c.Run)
	started.how = how
	if duration > 0 {
		started.endsAt = now.Add(duration)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"clockMs": e.clockMs()})
}

func (e *Executor) stop(c *call) {
	if r := e.runs[runID{c.Task, c.Run}]; r != nil {
		if r.stopsAt.IsZero() {
			r.stopsAt = time.Now().Add(stopTime)
		}
		return
	}
	e.endedRun[c.Task] = max(e.endedRun[c.Task], c.Run)
}

// hold extends the lease, forgets ends, and answers once there is another end or
// the wait is over. The caller holds the mutex.
func (e *Executor) hold(w http.ResponseWriter, r *http.Request, c *call) {
	life := e.server
	e.extendLease(c.DeadlineMs)
	e.forgetEnds(c.LastSeen)
	timeout := time.NewTimer(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	defer timeout.Stop()
	for len(e.ended) == 0 && c.WaitMs > 0 {
		changed := e.changed
		e.World.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		e.World.mu.Lock()
		if over || e.server != life || !e.up {
			break
		}
	}
	if e.dark {
		e.waitInTheDark(r)
	}
	if e.server != life || !e.up {
		panic(http.ErrAbortHandler)
	}
	e.advance(time.Now())
	running := [][]any{}
	for id, r := range e.runs {
		running = append(running, []any{id.task, id.run, "", e.percent(r), 10})
	}
	sort.Slice(running, func(i, k int) bool { return running[i][0].(string) < running[k][0].(string) })
	ended := [][]any{}
	for _, end := range e.ended[:min(len(e.ended), maxListedEnds)] {
		ended = append(ended, []any{end.number, end.task, end.run, end.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"clockMs": e.clockMs(), "born": e.bornAt.UnixMilli(), "running": running, "ended": ended,
	})
}

func (e *Executor) percent(r *run) int {
	if r.endsAt.IsZero() {
		return 100
	}
	return int(100 * time.Since(r.startedAt) / max(1, r.endsAt.Sub(r.startedAt)))
}

// forgetEnds drops the ends up to a number: the system has taken note of them.
func (e *Executor) forgetEnds(lastSeen int64) {
	for len(e.ended) > 0 && e.ended[0].number <= lastSeen {
		end := e.ended[0]
		e.ended = e.ended[1:]
		lapsed := !e.lapsedAt.IsZero() && !e.lapsedAt.Before(end.at)
		e.World.recordNote(end.event, lapsed)
	}
}

// advance ends the runs whose time or lease is over. The caller holds the mutex.
func (e *Executor) advance(now time.Time) {
	if !e.up {
		return
	}
	if !e.lease.IsZero() && now.After(e.lease) {
		e.lapsedAt = now
		e.lease = time.Time{}
		for _, r := range e.runs {
			e.end(r, "lapsed")
		}
		return
	}
	for _, r := range e.runs {
		switch {
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			e.end(r, "stopped")
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			e.end(r, r.how)
		}
	}
}

// end lists the end of a run.
func (e *Executor) end(r *run, how string) {
	if e.runs[r.runID] != r {
		return
	}
	delete(e.runs, r.runID)
	e.lastEnd++
	e.endedRun[r.task] = max(e.endedRun[r.task], r.run)
	e.ended = append(e.ended, endedRun{number: e.lastEnd, runID: r.runID, how: how, at: time.Now(), event: e.World.recordEnd(e, r, how, e.lastEnd)})
	close(e.changed)
	e.changed = make(chan struct{})
}

// watch advances the executors until the world ends.
func watch(mu *sync.Mutex, executors []*Executor) {
	for range time.Tick(tickInterval) {
		mu.Lock()
		now := time.Now()
		for _, e := range executors {
			e.advance(now)
		}
		mu.Unlock()
	}
}
