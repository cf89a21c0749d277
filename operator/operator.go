// Package operator serves the operators' and the task HTTP interface of an
// entry process: the configuration document, zones, hosts, endpoints,
// services, tasks, the audit trail and status.
//
// A Handler owns no state. It writes records through the appender and confirms
// a change only after it saw the record's effect in the replayed state. It
// starts no goroutine and is safe for concurrent use once its fields are set.
//
// Open questions: the interface has no authentication; the team and the actor
// are taken as stated.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/auditor"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

const (
	// maxBodyBytes is the size limit of a request on the design page.
	maxBodyBytes = 8 << 20
	// defaultConfirmTimeout covers the append, its replay and a lost answer
	// that the recorder resolves by reading on.
	defaultConfirmTimeout = 10 * time.Second
	// auditTimeout covers the delay between the replay of a record and its
	// observation by the auditor, both in this process.
	auditTimeout = 2 * time.Second
)

// StateView reads the replayed state.
type StateView interface {
	// View holds a read lock while read runs.
	View(read func(*replayer.State))
	Age() time.Duration
	// Wait returns once the offset is applied.
	Wait(ctx context.Context, offset int64) error
}

// Handler serves the interface.
type Handler struct {
	State    StateView
	Appender damaskspread.Appender
	Audit    *auditor.Auditor
	Clock    damaskspread.Clock
	// Entry is the id of the entry process.
	Entry   string
	Version string
	// CurrencyLimit is the age above which the process starts nothing.
	CurrencyLimit time.Duration
	// ConfirmTimeout bounds a change until its confirmation; 10 s by default.
	ConfirmTimeout time.Duration
	// Explain is the scheduler's account of a task; may be nil.
	Explain func(task string) *client.Decision
	// Load is the load that this entry last saw of a host; may be nil.
	Load func(host string) (*wire.EndpointLoad, bool)
	// BatchShare is the share of its processors, in thousandths, that this entry
	// leaves a throttled task of a host, and 0 without a throttle; may be nil.
	BatchShare func(host string) int
	// NewID returns a unique id; crypto/rand by default.
	NewID func() string
}

// Register adds the routes to a router that may hold others.
func (h *Handler) Register(router *bunrouter.Router) {
	routes := []struct {
		method, path string
		serve        bunrouter.HandlerFunc
	}{
		{http.MethodGet, "/v1/config", h.getConfig},
		{http.MethodGet, "/v1/config/:section", h.getSection},
		{http.MethodPost, "/v1/config/publish", h.publish},
		{http.MethodPost, "/v1/config/check", h.check},
		{http.MethodGet, "/v1/zones", h.getZones},
		{http.MethodPost, "/v1/zones/:zone/out", h.zoneOut},
		{http.MethodPost, "/v1/zones/:zone/in", h.zoneIn},
		{http.MethodGet, "/v1/hosts", h.getHosts},
		{http.MethodPost, "/v1/hosts/:host/lost", h.declareLost},
		{http.MethodPost, "/v1/hosts/:host/drain", h.drain},
		{http.MethodGet, "/v1/endpoints", h.getEndpoints},
		{http.MethodGet, "/v1/services", h.getServices},
		{http.MethodGet, "/v1/audit", h.getAudit},
		{http.MethodGet, "/v1/status", h.getStatus},
		{http.MethodPost, "/v1/tasks", h.submitTask},
		{http.MethodGet, "/v1/tasks", h.listTasks},
		{http.MethodGet, "/v1/tasks/:task", h.getTask},
		{http.MethodDelete, "/v1/tasks/:task", h.cancelTask},
		{http.MethodGet, "/v1/tasks/:task/explain", h.explainTask},
	}
	for _, route := range routes {
		router.Handle(route.method, route.path, h.answer(route.serve))
	}
}

// answer turns a returned error into its JSON response.
func (h *Handler) answer(serve bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		id := r.Header.Get(client.HeaderRequestID)
		if len(id) > 128 || !validator.IsName(id) {
			id = h.newID()
		}
		w.Header().Set(client.HeaderRequestID, id)
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if err := serve(w, r); err != nil {
			status, body := describe(err)
			body.RequestID = id
			writeJSON(w, status, client.ErrorResponse{
				Error: body,
			})
		}
		return nil
	}
}

func (h *Handler) newID() string {
	if h.NewID != nil {
		return h.NewID()
	}
	var id [16]byte
	// crypto/rand.Read never fails since Go 1.24.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func (h *Handler) confirmTimeout() time.Duration {
	if h.ConfirmTimeout > 0 {
		return h.ConfirmTimeout
	}
	return defaultConfirmTimeout
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":{"outcome":"unknown","reason":"invalid","message":"the response cannot be encoded"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func ok(w http.ResponseWriter, body any) error {
	writeJSON(w, http.StatusOK, body)
	return nil
}

// decode reads a JSON body with known fields only.
func decode(r bunrouter.Request, target any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return damaskspread.NotRun(damaskspread.ReasonTooLarge, "the body is longer than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "the body is not the expected JSON: %v", err)
	}
	return nil
}

// param returns a path parameter without its percent encoding.
func param(r bunrouter.Request, name string) string {
	value := r.Param(name)
	if decoded, err := url.PathUnescape(value); err == nil {
		return decoded
	}
	return value
}

func actor(r bunrouter.Request, team string) string {
	if who := r.Header.Get(client.HeaderActor); validator.IsName(who) {
		return team + "/" + who
	}
	return team
}

var statusOf = map[damaskspread.Reason]int{
	damaskspread.ReasonBadRequest:     http.StatusBadRequest,
	damaskspread.ReasonInvalid:        http.StatusBadRequest,
	damaskspread.ReasonNotOwner:       http.StatusForbidden,
	damaskspread.ReasonNotFound:       http.StatusNotFound,
	damaskspread.ReasonUnknownService: http.StatusNotFound,
	damaskspread.ReasonConflict:       http.StatusConflict,
	damaskspread.ReasonKeyReused:      http.StatusConflict,
	damaskspread.ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	damaskspread.ReasonQuota:          http.StatusTooManyRequests,
	damaskspread.ReasonOverloaded:     http.StatusTooManyRequests,
	damaskspread.ReasonDeadline:       http.StatusGatewayTimeout,
}

// describe returns the response of a typed error. An error without type may
// have happened after an append, so its outcome is unknown.
func describe(err error) (int, *client.ErrorBody) {
	body := &client.ErrorBody{
		Outcome: client.NotRun,
		Message: err.Error(),
	}
	var refusal *damaskspread.RefusalError
	var conflict *damaskspread.ConflictError
	var unavailable *damaskspread.LogUnavailableError
	var invalid *validator.InvalidError
	switch {
	case errors.As(err, &refusal):
		body.Outcome = damaskspread.OutcomeName(refusal.Outcome)
		body.Reason = refusal.Reason
		body.Message = refusal.Message
		body.RetryAfterMs = refusal.RetryAfter.Milliseconds()
	case errors.As(err, &conflict):
		body.Reason = damaskspread.ReasonConflict
		body.Section = conflict.Section
		body.Current = position(conflict.Current)
	case errors.As(err, &invalid):
		body.Reason = damaskspread.ReasonInvalid
		body.Diagnostics = invalid.Diagnostics
	case errors.As(err, &unavailable):
		body.Reason = damaskspread.ReasonLogUnavailable
		body.RetryAfterMs = time.Second.Milliseconds()
	default:
		body.Outcome = client.Unknown
		body.Reason = damaskspread.ReasonAppendUnknown
	}
	status, known := statusOf[body.Reason]
	if !known {
		status = http.StatusServiceUnavailable
		if body.Outcome == client.Unknown {
			status = http.StatusBadGateway
		}
	}
	return status, body
}

func position(p *wire.Position) *client.Position {
	if p == nil {
		return nil
	}
	return &client.Position{
		Offset: p.GetOffset(),
		Index:  p.GetIndex(),
	}
}

func notFound(kind, name string, candidates []string) error {
	message := "no " + kind + " " + name
	if near := validator.Nearest(name, candidates); near != "" {
		message += "; did you mean " + near + "?"
	}
	return damaskspread.NotRun(damaskspread.ReasonNotFound, "%s", message)
}

func milliseconds(age time.Duration) int64 { return age.Milliseconds() }

func lower(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}
