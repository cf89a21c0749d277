package emulator

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/samber/oops"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
)

// Headers of a request that shape its own answer, whatever the Behavior.
const (
	HeaderServiceMs = "Sample-Service-Ms"
	// HeaderAnswerBytes sets the size of an answer that repeats the request's
	// body, so that a caller can tell whose answer it got.
	HeaderAnswerBytes = "Sample-Answer-Bytes"
	// HeaderEnding is EndTruncated or EndChunked.
	HeaderEnding = "Sample-Ending"
	// HeaderExecution in an answer names the execution that gave it.
	HeaderExecution = "Sample-Execution"
)

// Endings of answers that are not complete: half of the announced length, or
// chunks without the final one.
const (
	EndTruncated = "truncated"
	EndChunked   = "chunked"
)

// Behavior is how an Endpoint serves; POST /faults replaces it.
type Behavior struct {
	ServiceMs     int64 `json:"service_ms"`
	ErrorPermille int   `json:"error_permille"`
	AnswerBytes   int   `json:"answer_bytes"`
	// Truncate announces the whole answer and sends half of it.
	Truncate bool `json:"truncate"`
	// Frozen holds requests until it is cleared.
	Frozen bool `json:"frozen"`
}

// Execution is one request that the endpoint began to run.
type Execution struct {
	ID          string `json:"id"`
	Key         string `json:"key"`
	RequestID   string `json:"request_id"`
	Path        string `json:"path"`
	Status      int    `json:"status"`
	StartUnixUs int64  `json:"start_unix_us"`
	// EndUnixUs is zero while the request runs.
	EndUnixUs int64 `json:"end_unix_us"`
}

// Endpoint is a sample back end that records every execution.
type Endpoint struct {
	Clock    damaskspread.Clock
	Address  string
	Behavior Behavior
	// Random decides which requests fail.
	Random *rand.Rand

	mu         sync.Mutex
	changed    chan struct{}
	executions []*Execution
	listener   net.Listener
}

// Listen binds the address, so that the URL is known before Run.
func (e *Endpoint) Listen() error {
	listener, err := net.Listen("tcp", e.Address)
	e.listener, e.changed = listener, make(chan struct{})
	return oops.Wrapf(err, "listen for endpoint")
}

// URL is the base URL of the endpoint.
func (e *Endpoint) URL() string { return "http://" + e.listener.Addr().String() }

// Run serves until the tomb dies. Listen must have succeeded before.
func (e *Endpoint) Run(t *tomb.Tomb) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", e.serveFaults)
	mux.HandleFunc("GET /records", e.serveRecords)
	mux.HandleFunc("/", e.serve)
	server := &http.Server{Handler: mux}
	t.Go(func() error {
		if err := server.Serve(e.listener); err != nil && t.Alive() {
			return oops.Wrapf(err, "serve endpoint")
		}
		return nil
	})
	<-t.Dying()
	return server.Close()
}

func (e *Endpoint) serveFaults(w http.ResponseWriter, r *http.Request) {
	var behavior Behavior
	if err := json.NewDecoder(r.Body).Decode(&behavior); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Behavior = behavior
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Endpoint) serveRecords(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.Executions())
}

// Executions returns a copy of the executions in the order of their start.
func (e *Endpoint) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	executions := make([]Execution, len(e.executions))
	for i, x := range e.executions {
		executions[i] = *x
	}
	return executions
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	execution, behavior, failed := e.begin(r)
	ms, _ := strconv.ParseInt(r.Header.Get(HeaderServiceMs), 10, 64)
	behavior.ServiceMs = max(behavior.ServiceMs, ms)
	if behavior.ServiceMs > 0 {
		e.Clock.Sleep(time.Duration(behavior.ServiceMs) * time.Millisecond)
	}
	if !e.thaw(r) {
		return
	}
	status := http.StatusOK
	if failed {
		status = http.StatusInternalServerError
	}
	e.mu.Lock()
	execution.Status = status
	execution.EndUnixUs = e.Clock.Now().UnixMicro()
	e.mu.Unlock()
	answer := body
	if behavior.AnswerBytes > 0 {
		answer = bytes.Repeat([]byte("x"), behavior.AnswerBytes)
	}
	if size, _ := strconv.Atoi(r.Header.Get(HeaderAnswerBytes)); size > 0 && len(body) > 0 {
		answer = bytes.Repeat(body, size/len(body)+1)[:size]
	}
	ending := r.Header.Get(HeaderEnding)
	if ending != EndChunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	}
	w.Header().Set("Damaskspread-Request-Id", execution.RequestID)
	w.Header().Set(HeaderExecution, execution.ID)
	w.WriteHeader(status)
	if behavior.Truncate || ending != "" {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

func (e *Endpoint) begin(r *http.Request) (*Execution, Behavior, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	execution := &Execution{
		ID:          e.Address + "/" + strconv.Itoa(len(e.executions)),
		Key:         r.Header.Get("Idempotency-Key"),
		RequestID:   r.Header.Get("Damaskspread-Request-Id"),
		Path:        r.URL.Path,
		StartUnixUs: e.Clock.Now().UnixMicro(),
	}
	e.executions = append(e.executions, execution)
	failed := e.Behavior.ErrorPermille > 0 && e.Random.IntN(1000) < e.Behavior.ErrorPermille
	return execution, e.Behavior, failed
}

// thaw waits while the endpoint is frozen and reports whether the caller is
// still there.
func (e *Endpoint) thaw(r *http.Request) bool {
	for {
		e.mu.Lock()
		frozen, changed := e.Behavior.Frozen, e.changed
		e.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}
