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

// Request headers that set how the endpoint serves this request, in addition to
// its Behavior.
const (
	// HeaderServiceMs is the minimum service time in milliseconds.
	HeaderServiceMs = "Sample-Service-Ms"
	// HeaderAnswerBytes is the size of the response body, which then repeats the
	// request's body, so that a caller can tell whose response it got.
	HeaderAnswerBytes = "Sample-Answer-Bytes"
	// HeaderEnding makes the response incomplete: EndTruncated or EndChunked.
	HeaderEnding = "Sample-Ending"
)

// HeaderExecution is the response header with the ID of the Execution.
const HeaderExecution = "Sample-Execution"

// Values of HeaderEnding. The connection closes after half of the body, which
// the caller notices by the announced length or by the missing final chunk.
const (
	EndTruncated = "truncated"
	EndChunked   = "chunked"
)

// Behavior says how an Endpoint serves requests; POST /faults replaces it.
type Behavior struct {
	ServiceMs     int64 `json:"service_ms"`
	ErrorPermille int   `json:"error_permille"`
	AnswerBytes   int   `json:"answer_bytes"`
	// Truncate announces the full length of the response and sends half of it.
	Truncate bool `json:"truncate"`
	// Frozen delays responses until it is cleared.
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

// Endpoint is a sample back end that records every execution. It responds with
// the request's body unless Behavior or a header says otherwise. Set the exported
// fields before Listen.
type Endpoint struct {
	Clock damaskspread.Clock
	// Elapsed is the host's clock. If it is set, a request that arrives after its
	// latest start time is not started and not recorded.
	Elapsed  damaskspread.ElapsedClock
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

// Run serves until the tomb dies, then closes the listener and all connections.
// Listen must have succeeded before.
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
	for i, execution := range e.executions {
		executions[i] = *execution
	}
	return executions
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	execution, behavior, failed := e.recordStart(r)
	if execution == nil {
		w.Header().Set(damaskspread.HeaderNotStarted, "late")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ms, _ := strconv.ParseInt(r.Header.Get(HeaderServiceMs), 10, 64)
	if serviceMs := max(behavior.ServiceMs, ms); serviceMs > 0 {
		e.Clock.Sleep(time.Duration(serviceMs) * time.Millisecond)
	}
	if !e.awaitUnfrozen(r) {
		return
	}
	status := http.StatusOK
	if failed {
		status = http.StatusInternalServerError
	}
	e.recordEnd(execution, status)
	response := responseBody(r, body, behavior)
	ending := r.Header.Get(HeaderEnding)
	if ending != EndChunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	}
	w.Header().Set(damaskspread.HeaderRequestID, execution.RequestID)
	w.Header().Set(HeaderExecution, execution.ID)
	w.WriteHeader(status)
	if behavior.Truncate || ending != "" {
		_, _ = w.Write(response[:len(response)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(response)
}

// isLate reports whether the latest start time of a request has passed.
func (e *Endpoint) isLate(r *http.Request) bool {
	latest, err := strconv.ParseInt(r.Header.Get(damaskspread.HeaderStartBefore), 10, 64)
	return e.Elapsed != nil && err == nil && e.Elapsed.Elapsed() > time.Duration(latest)
}

// recordStart adds an execution for a request, or returns none for a late one. It also
// returns the Behavior to apply and whether the request is to fail.
func (e *Endpoint) recordStart(r *http.Request) (*Execution, Behavior, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isLate(r) {
		return nil, Behavior{}, false
	}
	execution := &Execution{
		ID:          e.Address + "/" + strconv.Itoa(len(e.executions)),
		Key:         r.Header.Get(damaskspread.HeaderKey),
		RequestID:   r.Header.Get(damaskspread.HeaderRequestID),
		Path:        r.URL.Path,
		StartUnixUs: e.Clock.Now().UnixMicro(),
	}
	e.executions = append(e.executions, execution)
	failed := e.Behavior.ErrorPermille > 0 && e.Random.IntN(1000) < e.Behavior.ErrorPermille
	return execution, e.Behavior, failed
}

func (e *Endpoint) recordEnd(execution *Execution, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	execution.Status = status
	execution.EndUnixUs = e.Clock.Now().UnixMicro()
}

// responseBody returns the request's body, or the one that the Behavior or the
// HeaderAnswerBytes of the request asks for.
func responseBody(r *http.Request, body []byte, behavior Behavior) []byte {
	if size, _ := strconv.Atoi(r.Header.Get(HeaderAnswerBytes)); size > 0 && len(body) > 0 {
		return bytes.Repeat(body, size/len(body)+1)[:size]
	}
	if behavior.AnswerBytes > 0 {
		return bytes.Repeat([]byte("x"), behavior.AnswerBytes)
	}
	return body
}

// awaitUnfrozen waits while the endpoint is frozen. It returns false if the
// caller went away.
func (e *Endpoint) awaitUnfrozen(r *http.Request) bool {
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
