package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxListedEnds is the number of ends that one answer lists.
const maxListedEnds = 500

// executor is an executor of a service whose capacity it does not guard, as PROTOCOL.md
// describes it. A task works for as long as its specification says, see workOf.
type executor struct {
	record  *record
	id      string
	service string
	zone    string
	labels  []string
	// cpu and memMb are its capacity.
	cpu, memMb int64
	stopTime   time.Duration
	holdMax    time.Duration
	gangs      *gangs
	// control is the address of the agent on its machine.
	control string
	// before, if set, is called before an order or a look is carried out. It may delay the call,
	// or answer it itself.
	before func(w http.ResponseWriter, r *http.Request) (answered bool)

	mu       sync.Mutex
	server   *http.Server
	address  string
	born     int64
	startAt  time.Time
	sequence int64
	fence    int64
	leaseEnd time.Time
	lease    *time.Timer
	runs     map[runKey]*run
	// highest is the highest run of each task that was stopped or has ended.
	highest  map[string]int32
	ended    []end
	lastEnd  int64
	changed  chan struct{}
	draining bool
	left     chan struct{}
}

type runKey struct {
	task string
	run  int32
}

type run struct {
	timer     *time.Timer
	startedAt time.Time
	// work is how long it works, 0 if it lasts.
	work time.Duration
}

// end is one row of the list of ends.
type end struct {
	number int64
	key    runKey
	how    string
}

// workOf reads how long a task works from its specification "work 1500ms"; 0 stands for a
// task that lasts.
func workOf(spec string) time.Duration {
	text, found := strings.CutPrefix(spec, "work ")
	if !found {
		return 0
	}
	work, _ := time.ParseDuration(strings.Fields(text)[0])
	return work
}

// boot starts a life of the executor at a free loopback port, or at its earlier one.
func (e *executor) boot(id string) error {
	listener, err := net.Listen("tcp", orDefault(e.address, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id = id
	e.address = listener.Addr().String()
	e.startAt = time.Now()
	e.born = e.startAt.UnixMilli()
	e.sequence, e.fence, e.lastEnd = 0, 0, 0
	e.leaseEnd = e.startAt
	e.runs = map[runKey]*run{}
	e.highest = map[string]int32{}
	e.ended = nil
	e.draining = false
	e.changed = make(chan struct{})
	e.left = make(chan struct{})
	e.server = &http.Server{Handler: e}
	server, left := e.server, e.left
	go func() { _ = server.Serve(listener) }()
	go e.beat(left)
	e.record.write("%s boots at %s, born %d", e.id, e.address, e.born)
	return nil
}

// crash ends the executor and all that it runs without a word.
func (e *executor) crash() {
	e.mu.Lock()
	for key, r := range e.runs {
		r.timer.Stop()
		e.record.over(e.id, key, "lost")
		go e.gangs.leave(key)
	}
	e.runs = map[runKey]*run{}
	close(e.left)
	server := e.server
	e.record.write("%s crashes", e.id)
	e.mu.Unlock()
	_ = server.Close()
}

func (e *executor) clock() int64 { return time.Since(e.startAt).Milliseconds() + 1000 }

// beat announces the executor to the agent of its machine about each heartbeatMs.
func (e *executor) beat(left chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		e.mu.Lock()
		e.sequence++
		state := "ready"
		if e.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": state,
			"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": e.cpu, "memMb": e.memMb, "gpu": 0},
			"labels": e.labels, "clockMs": e.clock(), "sequence": e.sequence, "born": e.born,
		})
		id := e.id
		e.mu.Unlock()
		resp, err := client.Post("http://"+e.control+"/Instances.Heartbeat/"+id, "application/json", strings.NewReader(string(body)))
		if err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-left:
			return
		}
	}
}

type callBody struct {
	Task         string `json:"task"`
	Run          int32  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var body callBody
	if err != nil || json.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.before != nil && e.before(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if wanted := r.Header.Get("X-Expected-Instance"); wanted != "" && wanted != e.id {
		e.answer(w, http.StatusMisdirectedRequest, nil)
		return
	}
	if body.FencingToken < e.fence {
		e.record.write("%s refuses %s of %s run %d: fence", e.id, r.URL.Path, body.Task, body.Run)
		e.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	e.fence = body.FencingToken
	e.extend(body.DeadlineMs)
	switch r.URL.Path {
	case "/run-start":
		e.serveStart(w, &body)
	case "/run-stop":
		e.serveStop(w, &body)
	case "/hold":
		e.serveHold(w, r, &body)
	case "/pace":
		e.answer(w, http.StatusOK, nil)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *executor) answer(w http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clockMs"] = e.clock()
	body["born"] = e.born
	writeJSON(w, status, body)
}

// extend prolongs the lease, which never shortens. When it is over, all that runs ends.
func (e *executor) extend(deadlineMs int64) {
	until := e.startAt.Add(time.Duration(deadlineMs-1000) * time.Millisecond)
	if latest := time.Now().Add(e.holdMax); until.After(latest) {
		until = latest
	}
	if deadlineMs == 0 || !until.After(e.leaseEnd) {
		return
	}
	e.leaseEnd = until
	if e.lease != nil {
		e.lease.Stop()
	}
	born := e.born
	e.lease = time.AfterFunc(time.Until(until), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born != born || time.Now().Before(e.leaseEnd) {
			return
		}
		e.record.lapse(e.id)
		for key := range e.runs {
			e.finish(key, "lapsed")
		}
	})
}

func (e *executor) serveStart(w http.ResponseWriter, body *callBody) {
	key := runKey{body.Task, body.Run}
	reason := ""
	switch {
	case e.runs[key] != nil:
		e.answer(w, http.StatusOK, nil)
		return
	case body.Run <= e.highest[body.Task]:
		reason = "old"
	case body.DeadlineMs <= e.clock():
		reason = "late"
	}
	if reason != "" {
		e.record.write("%s refuses the start of %s run %d: %s", e.id, body.Task, body.Run, reason)
		e.answer(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	e.record.start(e.id, key)
	work := workOf(body.Spec)
	r := &run{startedAt: time.Now(), work: work}
	born := e.born
	r.timer = time.AfterFunc(work, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if work > 0 && e.born == born && e.runs[key] == r {
			e.finish(key, "done")
		}
	})
	e.runs[key] = r
	if size := sizeOf(body.Spec); size > 0 {
		r.timer.Stop()
		go e.gangs.join(key, &member{executor: e, born: born}, size, work)
	}
	e.answer(w, http.StatusOK, nil)
}

func (e *executor) serveStop(w http.ResponseWriter, body *callBody) {
	key := runKey{body.Task, body.Run}
	e.record.write("%s is told to stop %s run %d", e.id, body.Task, body.Run)
	e.highest[body.Task] = max(e.highest[body.Task], body.Run)
	if r := e.runs[key]; r != nil {
		e.record.stop(key)
		born := e.born
		time.AfterFunc(e.stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.born == born && e.runs[key] == r {
				e.finish(key, "stopped")
			}
		})
	}
	e.answer(w, http.StatusOK, nil)
}

// finish ends a run and lists its end. The caller holds the mutex.
func (e *executor) finish(key runKey, how string) {
	r := e.runs[key]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(e.runs, key)
	e.highest[key.task] = max(e.highest[key.task], key.run)
	e.lastEnd++
	e.ended = append(e.ended, end{number: e.lastEnd, key: key, how: how})
	e.record.over(e.id, key, how)
	go e.gangs.leave(key)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) serveHold(w http.ResponseWriter, r *http.Request, body *callBody) {
	e.ended = slices.DeleteFunc(e.ended, func(row end) bool {
		if row.number <= body.LastSeen {
			e.record.noted(e.id, row.key)
		}
		return row.number <= body.LastSeen
	})
	timer := time.NewTimer(time.Duration(body.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for waiting := body.WaitMs > 0; waiting && len(e.ended) == 0; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for key, r := range e.runs {
		percent := 100
		if r.work > 0 {
			percent = int(min(99, 100*time.Since(r.startedAt)/r.work))
		}
		running = append(running, []any{key.task, key.run, "", percent, 0})
	}
	for _, row := range e.ended[:min(len(e.ended), maxListedEnds)] {
		ended = append(ended, []any{row.number, row.key.task, row.key.run, row.how, ""})
	}
	e.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

func (k runKey) String() string { return fmt.Sprintf("%s run %d", k.task, k.run) }
