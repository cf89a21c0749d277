package soak_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// logHandler serves the HTTP API of the platform's log from an in-memory log.
func logHandler(keyed *emulator.KeyedLogClient) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", func(w http.ResponseWriter, r *http.Request) { serveAppend(w, r, keyed) })
	mux.HandleFunc("GET /log-read", func(w http.ResponseWriter, r *http.Request) { serveRead(w, r, keyed) })
	mux.HandleFunc("GET /log-newest", func(w http.ResponseWriter, r *http.Request) { serveNewest(w, r, keyed) })
	return mux
}

func queryInt(r *http.Request, key string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(key), 10, 64)
	return n
}

func topicParameter(r *http.Request) string { return r.URL.Query().Get("topic")[len("keyed."):] }

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func serveAppend(w http.ResponseWriter, r *http.Request, keyed *emulator.KeyedLogClient) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []*wire.KeyedRecord
	for len(body) >= 4 {
		size := binary.BigEndian.Uint32(body)
		data := body[4 : 4+size]
		keyEnd := 1 + int(data[0])
		records = append(records, &wire.KeyedRecord{Key: string(data[1:keyEnd]), Value: data[keyEnd:]})
		body = body[4+size:]
	}
	condition := &wire.AppendCondition{}
	if r.URL.Query().Has("at") {
		end := queryInt(r, "at")
		condition.End = &end
	}
	if name := r.URL.Query().Get("producer"); name != "" {
		condition.Producer = &wire.Producer{Name: name, Epoch: queryInt(r, "epoch"), Sequence: queryInt(r, "sequence")}
	}
	result, err := keyed.Append(r.Context(), topicParameter(r), records, condition)
	var conditionFailed *damaskspread.ConditionFailedError
	var fenced *damaskspread.FencedError
	var outOfSequence *damaskspread.SequenceError
	var unknown *damaskspread.AppendUnknownError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, map[string]int64{"offset": result.GetOffset(), "end": result.GetEnd()})
	case errors.As(err, &conditionFailed):
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": conditionFailed.End})
	case errors.As(err, &fenced):
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "fenced"})
	case errors.As(err, &outOfSequence):
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": outOfSequence.Expected})
	case errors.As(err, &unknown):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func serveRead(w http.ResponseWriter, r *http.Request, keyed *emulator.KeyedLogClient) {
	page, err := keyed.Read(r.Context(), topicParameter(r), queryInt(r, "from"), time.Duration(queryInt(r, "waitMs"))*time.Millisecond)
	var expired *damaskspread.RetentionPassedError
	if errors.As(err, &expired) {
		writeJSON(w, http.StatusGone, map[string]int64{"first": expired.First})
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(page.GetEnd()))
	data = binary.BigEndian.AppendUint64(data, uint64(page.GetFirst()))
	for _, record := range page.GetRecords() {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(record.GetKey())+len(record.GetValue())))
		data = append(data, byte(len(record.GetKey())))
		data = append(data, record.GetKey()...)
		data = append(data, record.GetValue()...)
	}
	_, _ = w.Write(data)
}

func serveNewest(w http.ResponseWriter, r *http.Request, keyed *emulator.KeyedLogClient) {
	page, err := keyed.Newest(r.Context(), topicParameter(r), r.URL.Query().Get("after"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := []item{}
	for _, record := range page.GetRecords() {
		items = append(items, item{Key: record.GetKey(), Value: record.GetValue(), Offset: record.GetOffset()})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": page.GetMore(), "end": page.GetEnd()})
}

// executorHandler serves the HTTP calls of an agent to its executor.
type executorHandler struct {
	executor *emulator.JobExecutor
	address  string
	server   *httptest.Server
	// down is set while the executor sends no announcements.
	down atomic.Bool
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
		return h.executor.Renew(ctx, id, lease, body.LastSeen, time.Duration(body.WaitMs)*time.Millisecond)
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
