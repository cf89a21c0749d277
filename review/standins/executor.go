package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	leaseMax          = 10 * time.Second
	stopTime          = 100 * time.Millisecond
	checkpointTime    = 2 * time.Second
)

// executor is a stand-in for an executor of the platform: one life of it.
type executor struct {
	id, zone, address, agent string
	rec                      *recorder
	cpu                      int
	labels                   []string

	mu       sync.Mutex
	started  time.Time
	born     int64
	token    int64
	leaseEnd time.Duration
	runs     map[string]*run // by task and run
	highest  map[string]int  // highest run of a task that was stopped or has ended
	ended    [][]any
	lastEnd  int
	sequence int
	draining bool
	changed  chan struct{}
	server   *http.Server
	dead     chan struct{}
	// silent makes the executor answer nothing.
	silent bool
}

type run struct {
	task    string
	number  int
	startAt time.Time
	length  time.Duration // negative: lasts
	saved   string
	stopAt  time.Time
}

func newExecutor(id, zone, address, agent string, rec *recorder) *executor {
	return &executor{
		id: id, zone: zone, address: address, agent: agent, rec: rec, cpu: 16000, labels: []string{"a", "r1"},
		started: time.Now(), born: time.Now().UnixMilli(),
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}), dead: make(chan struct{}),
	}
}

// next returns the next life of the executor, under another id.
func (e *executor) next() *executor {
	life := newExecutor(e.id+"x", e.zone, e.address, e.agent, e.rec)
	life.labels = e.labels
	return life
}

func (e *executor) clock() time.Duration { return time.Since(e.started) + time.Second }

// start serves and sends heartbeats until crash.
func (e *executor) start() error {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	go e.beat()
	go e.advance()
	e.rec.write("executor %s up", e.id)
	return nil
}

// crash ends the executor with all that runs on it.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.dead)
	_ = e.server.Close()
	for _, r := range e.runs {
		e.rec.end(e.id, r.task, r.number, "crash")
	}
	e.runs = map[string]*run{}
	e.rec.write("executor %s crashed", e.id)
}

func (e *executor) alive() bool {
	select {
	case <-e.dead:
		return false
	default:
		return true
	}
}

func (e *executor) beat() {
	for e.alive() {
		e.mu.Lock()
		e.sequence++
		state := "ready"
		if e.draining {
			state = "draining"
		}
		body := map[string]any{
			"service": serviceName, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": state,
			"coldRemainingMs": 0, "capacity": map[string]int{"cpu": e.cpu, "memMb": 64000, "gpu": 0}, "labels": e.labels,
			"clockMs": e.clock().Milliseconds(), "sequence": e.sequence, "born": e.born,
		}
		quiet := e.silent
		e.mu.Unlock()
		acknowledged := quiet || e.post("/Instances.Heartbeat/"+e.id, body)
		wait := heartbeatInterval
		if !acknowledged {
			wait = 200 * time.Millisecond
		}
		select {
		case <-e.dead:
		case <-time.After(wait):
		}
	}
}

func (e *executor) post(path string, body any) bool {
	data, _ := json.Marshal(body)
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+e.agent+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// advance ends runs that are done, stopped or without a lease.
func (e *executor) advance() {
	for e.alive() {
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		now := time.Now()
		lapsed := e.clock() > e.leaseEnd
		for key, r := range e.runs {
			worked := now.Sub(r.startAt)
			if saves := int(worked / checkpointTime); saves > 0 {
				r.saved = fmt.Sprintf("%016x", saves)
			}
			switch {
			case lapsed:
				e.finish(key, r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				e.finish(key, r, "stopped")
			case r.length >= 0 && worked >= r.length:
				e.finish(key, r, "done")
			}
		}
		e.mu.Unlock()
	}
}

// finish ends a run. The caller holds the mutex.
func (e *executor) finish(key string, r *run, how string) {
	delete(e.runs, key)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.lastEnd++
	e.ended = append(e.ended, []any{e.lastEnd, r.task, r.number, how, r.saved})
	e.rec.end(e.id, r.task, r.number, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     int    `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	silent := e.silent
	e.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/hold" {
		e.hold(w, r, &o)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch reason := e.apply(r.URL.Path, &o); reason {
	case "":
		respond(w, http.StatusOK, map[string]any{"clockMs": e.clock().Milliseconds(), "born": e.born})
	default:
		respond(w, http.StatusConflict, map[string]any{"clockMs": e.clock().Milliseconds(), "born": e.born, "reason": reason})
	}
}

// extend sets the lease, which never shortens. The caller holds the mutex.
func (e *executor) extend(deadlineMs int64) {
	deadline := min(time.Duration(deadlineMs)*time.Millisecond, e.clock()+leaseMax)
	e.leaseEnd = max(e.leaseEnd, deadline)
}

// apply carries out an order and returns the reason of a refusal.
func (e *executor) apply(path string, o *order) string {
	if o.FencingToken < e.token {
		return "fence"
	}
	e.token = o.FencingToken
	key := fmt.Sprintf("%s/%d", o.Task, o.Run)
	switch path {
	case "/run-start":
		if time.Duration(o.DeadlineMs)*time.Millisecond < e.clock() {
			return "late"
		}
		e.extend(o.DeadlineMs)
		if e.runs[key] != nil {
			return ""
		}
		if o.Run <= e.highest[o.Task] {
			return "old"
		}
		length := time.Second
		for _, word := range strings.Fields(o.Spec) {
			if word == "lasts" {
				length = -1
			} else if d, err := time.ParseDuration(word); err == nil {
				length = d
			}
		}
		e.runs[key] = &run{task: o.Task, number: o.Run, startAt: time.Now(), length: length, saved: o.Checkpoint}
		e.rec.start(e.id, e.zone, o.Task, o.Run)
	case "/run-stop":
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		if r := e.runs[key]; r != nil && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
	}
	return ""
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, o *order) {
	timeout := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	e.mu.Lock()
	if o.FencingToken < e.token {
		respond(w, http.StatusConflict, map[string]any{"clockMs": e.clock().Milliseconds(), "born": e.born, "reason": "fence"})
		e.mu.Unlock()
		return
	}
	e.token = o.FencingToken
	if o.DeadlineMs > 0 {
		e.extend(o.DeadlineMs)
	}
	for len(e.ended) > 0 && e.ended[0][0].(int) <= o.LastSeen {
		e.rec.noted(e.id, e.ended[0])
		e.ended = e.ended[1:]
	}
	for waiting := o.WaitMs > 0; waiting && len(e.ended) == 0; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		case <-e.dead:
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
	}
	running := [][]any{}
	for _, r := range e.runs {
		running = append(running, []any{r.task, r.number, r.saved, 100, 10})
	}
	ended := e.ended[:min(len(e.ended), 500)]
	respond(w, http.StatusOK, map[string]any{"clockMs": e.clock().Milliseconds(), "born": e.born, "running": running, "ended": append([][]any{}, ended...)})
	e.mu.Unlock()
}
