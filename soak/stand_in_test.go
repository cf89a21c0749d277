package soak_test

import (
	"context"
	"encoding/json"
	"errors"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// executorHandler serves the HTTP calls of an agent to its executor.
type executorHandler struct {
	executor *emulator.JobExecutor
	address  string
	server   *httptest.Server
	// down is set while the executor sends no announcements.
	down atomic.Bool
	// drainsUntil is when the executor will end, in milliseconds, while it drains.
	drainsUntil atomic.Int64
	// faulty is held during a fault that changes the capacity or the incarnation.
	faulty  sync.Mutex
	log     *log.Logger
	checker *checker
	// slowStops makes each stop take the stopTime of its task.
	slowStops bool
	// wake makes the next announcement come at once.
	wake chan struct{}

	mu sync.Mutex
	// lostResponses is the number of further orders that take effect but get no
	// response.
	lostResponses int
	// lateCalls are how the next calls are delayed, by path.
	lateCalls map[string][]lateCall
	// life counts the crashes of a series. silent is set while calls get no response.
	life   int
	silent bool
	// token is that of the latest renewal.
	token int64
	// knownBorn is the latest incarnation of which the agent has been told, toldBorn the
	// latest one that was renewed when the agent knew it.
	knownBorn, toldBorn int64
}

// listenLimit bounds the time until an address is free again: a process that is being
// started holds copies of all listeners until it executes its binary, and for a few more
// milliseconds, so holding syscall.ForkLock would not be enough.
const listenLimit = 10 * time.Second

// listen starts to serve at the handler's address.
func (h *executorHandler) listen(t *testing.T) {
	listener, err := net.Listen("tcp", h.address)
	for deadline := time.Now().Add(listenLimit); err != nil && time.Now().Before(deadline); listener, err = net.Listen("tcp", h.address) {
		time.Sleep(endsInterval)
	}
	assert.NilError(t, err)
	h.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: h}}
	h.server.Start()
}

// close breaks off all connections and refuses further ones.
func (h *executorHandler) close() {
	h.server.CloseClientConnections()
	h.server.Close()
}

const startPath, stopPath = "/run-start", "/run-stop"

type orderBody struct {
	Task         string `json:"task"`
	Run          int32  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
	Checkpoint   string `json:"checkpoint"`
	Percent      int    `json:"percent"`
}

var causeNames = map[wire.EndCause]string{
	wire.EndCause_END_CAUSE_DONE:          "done",
	wire.EndCause_END_CAUSE_FAILED:        "failed",
	wire.EndCause_END_CAUSE_STOPPED:       "stopped",
	wire.EndCause_END_CAUSE_LEASE_EXPIRED: "lapsed",
}

func (h *executorHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Expected-Instance")
	life, silent := h.currentLife()
	if silent {
		hang(r)
	}
	if r.URL.Path == startPath {
		h.checker.recordOrder(id, body.Task, body.Run)
		h.checker.checkOrder(id, &body)
	}
	if late, isLate := h.takeLateCall(r.URL.Path); isLate {
		h.executeLate(r, id, &body, late)
	}
	state, err := h.execute(r.Context(), r.URL.Path, id, &body)
	if now, _ := h.currentLife(); now != life {
		hang(r)
	}
	if state != nil {
		h.noteRenewal(state.GetBornUnixMs())
		h.checker.recordCheckpoints(state)
	}
	if err == nil && r.URL.Path != "/hold" && h.losesResponse() {
		panic(http.ErrAbortHandler)
	}
	h.respond(w, state, err)
}

func (h *executorHandler) execute(ctx context.Context, path, id string, body *orderBody) (*wire.ExecutorState, error) {
	lease := &damaskspread.Lease{Token: body.FencingToken, DeadlineMs: body.DeadlineMs}
	switch path {
	case "/hold":
		h.logToken(id, body)
		state, err := h.executor.Renew(ctx, id, lease, body.LastSeen, time.Duration(body.WaitMs)*time.Millisecond)
		return withOwnCheckpoints(state), err
	case startPath:
		err := h.executor.Start(ctx, id, &wire.StartOrder{Task: body.Task, Run: body.Run, Checkpoint: body.Checkpoint}, lease)
		h.logOrder(path, id, body, err)
		return nil, err
	case stopPath:
		if h.slowStops {
			h.executor.SetStopTime(stopTime(body.Task))
		}
		err := h.executor.Stop(ctx, id, &wire.StopOrder{Task: body.Task, Run: body.Run}, body.FencingToken)
		h.logOrder(path, id, body, err)
		return nil, err
	default:
		return nil, h.executor.Pace(ctx, id, body.Task, body.Run, body.Percent, body.FencingToken)
	}
}

// logToken logs a renewal with another token than the one before.
func (h *executorHandler) logToken(id string, body *orderBody) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if body.FencingToken != h.token {
		h.token = body.FencingToken
		h.log.Printf("%s is renewed with token %d, deadline %d", id, body.FencingToken, body.DeadlineMs)
	}
}

func (h *executorHandler) logOrder(path, id string, body *orderBody, err error) {
	h.log.Printf("%s %s of run %d of %s, token %d, deadline %d: %v", id, path, body.Run, body.Task, body.FencingToken, body.DeadlineMs, err)
}

// losesResponse reports whether the response of the current order is to be
// lost, and counts it.
func (h *executorHandler) losesResponse() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lostResponses == 0 {
		return false
	}
	h.lostResponses--
	return true
}

func (h *executorHandler) respond(w http.ResponseWriter, state *wire.ExecutorState, err error) {
	var wrongIncarnation *damaskspread.WrongIncarnationError
	var fenced *damaskspread.FencedError
	var refused *damaskspread.StartRefusedError
	switch {
	case errors.As(err, &wrongIncarnation):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case errors.As(err, &fenced):
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "fence"})
	case errors.As(err, &refused):
		reasons := map[damaskspread.StartRefusal]string{damaskspread.RefusedOldRun: "old", damaskspread.RefusedLeaseOver: "late"}
		writeJSON(w, http.StatusConflict, map[string]string{"reason": reasons[refused.Reason]})
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, stateBody(state))
	}
}

func stateBody(state *wire.ExecutorState) map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, run := range state.GetRunning() {
		running = append(running, []any{run.GetTask(), run.GetRun(), run.GetCheckpoint(), 50, 0})
	}
	for _, end := range state.GetEnded() {
		ended = append(ended, []any{end.GetNumber(), end.GetTask(), end.GetRun(), causeNames[end.GetCause()], end.GetCheckpoint()})
	}
	return map[string]any{"clockMs": state.GetClockMs(), "born": state.GetBornUnixMs(), "running": running, "ended": ended}
}
