// Package operator serves the HTTP API under /v1 of an entry process, which
// operators use to read and change the configuration, zones and hosts, and
// teams use to submit and cancel tasks. It also serves the endpoints, services,
// audit trail and status. Package commander is the command line on top of it.
//
// A Handler owns no state. It writes records through the appender and confirms
// a change only after it has seen the record's effect in the replayed state. It
// starts no goroutine and is safe for concurrent use once its fields are set.
//
// Open questions: the API has no authentication; it trusts the team and the
// actor that a request names.
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
	// maxBodyBytes is the documented limit of the size of a request body.
	maxBodyBytes = 8 << 20
	// defaultConfirmTimeout covers the append, its replay, and the case that the
	// response to the append is lost and the recorder finds out its outcome by
	// reading the log.
	defaultConfirmTimeout = 10 * time.Second
	// auditTimeout covers the delay between the replay of a record and its
	// observation by the auditor, both in this process.
	auditTimeout = 2 * time.Second
	// viewPollInterval is the time between two looks at the age of the state,
	// which a log read renews each 300 ms or with the next record.
	viewPollInterval = 20 * time.Millisecond
)

// StateView gives access to the replayed state of the entry process.
type StateView interface {
	// View calls read with the state under a read lock.
	View(read func(*replayer.State))
	// Age is an upper bound on the age of the state; see damaskspread.Currency.
	Age() time.Duration
	// Wait returns nil once the batch at the offset is applied, or an error if
	// ctx ends first.
	Wait(ctx context.Context, offset int64) error
}

// Handler serves the HTTP API. State, Appender, Audit and Clock are required.
type Handler struct {
	State    StateView
	Appender damaskspread.Appender
	Audit    *auditor.Auditor
	Clock    damaskspread.Clock
	// Entry is the id of the entry process.
	Entry   string
	Version string
	// CurrencyLimit is the age of the state above which the process starts no
	// work and the status reports it as stale.
	CurrencyLimit time.Duration
	// ConfirmTimeout limits the time from the append of a change to its
	// confirmation; 10 s by default.
	ConfirmTimeout time.Duration
	// Explain returns why the scheduler placed a task or keeps it waiting, or
	// nil for a task that it does not know; may be nil.
	Explain func(task string) *client.Decision
	// Load returns the load that the host's endpoint last reported to this entry
	// process, and whether there is one; may be nil.
	Load func(host string) (*wire.EndpointLoad, bool)
	// BatchShare returns the smallest share of its processors, in thousandths,
	// to which this entry process throttles a batch task on the host, or 0 if it
	// throttles none; may be nil.
	BatchShare func(host string) int
	// NewID returns a unique id; crypto/rand by default.
	NewID func() string
}

// Register adds the routes of the API to the router.
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
		router.Handle(route.method, route.path, h.withErrorResponse(route.serve))
	}
}

// withErrorResponse wraps a handler: it sets the request id, limits the body's
// size, and writes a returned error as a JSON response.
func (h *Handler) withErrorResponse(serve bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		id := r.Header.Get(client.HeaderRequestID)
		if len(id) > 128 || !validator.IsName(id) {
			id = h.newID()
		}
		w.Header().Set(client.HeaderRequestID, id)
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if err := serve(w, r); err != nil {
			status, body := errorResponse(err)
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

func writeOK(w http.ResponseWriter, body any) error {
	writeJSON(w, http.StatusOK, body)
	return nil
}

// decodeBody decodes the JSON body into target and refuses unknown fields.
func decodeBody(r bunrouter.Request, target any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err != nil {
		return bodyError(err, "is not the expected JSON")
	}
	return nil
}

// bodyError returns the refusal for a body that could not be read or decoded.
// problem is what is wrong with it unless it is too large.
func bodyError(err error, problem string) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return damaskspread.NotRun(damaskspread.ReasonTooLarge, "the body is longer than %d bytes", tooLarge.Limit)
	}
	return damaskspread.NotRun(damaskspread.ReasonBadRequest, "the body %s: %v", problem, err)
}

// param returns a path parameter without its percent encoding.
func pathParam(r bunrouter.Request, name string) string {
	value := r.Param(name)
	if decoded, err := url.PathUnescape(value); err == nil {
		return decoded
	}
	return value
}

// actorName returns TEAM/ACTOR, or the team alone without a valid actor header.
func actorName(r bunrouter.Request, team string) string {
	if name := r.Header.Get(client.HeaderActor); validator.IsName(name) {
		return team + "/" + name
	}
	return team
}

var httpStatusOf = map[damaskspread.Reason]int{
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

// errorResponse returns the HTTP status and the body for an error. An error of
// an unexpected type may have occurred after an append, so its outcome is
// unknown.
func errorResponse(err error) (int, *client.ErrorBody) {
	body := &client.ErrorBody{
		Outcome: client.OutcomeNotRun,
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
		body.Current = toClientPosition(conflict.Current)
	case errors.As(err, &invalid):
		body.Reason = damaskspread.ReasonInvalid
		body.Diagnostics = invalid.Diagnostics
	case errors.As(err, &unavailable):
		body.Reason = damaskspread.ReasonLogUnavailable
		body.RetryAfterMs = time.Second.Milliseconds()
	default:
		body.Outcome = client.OutcomeUnknown
		body.Reason = damaskspread.ReasonAppendUnknown
	}
	status, exists := httpStatusOf[body.Reason]
	if !exists {
		status = http.StatusServiceUnavailable
		if body.Outcome == client.OutcomeUnknown {
			status = http.StatusBadGateway
		}
	}
	return status, body
}

func toClientPosition(p *wire.Position) *client.Position {
	if p == nil {
		return nil
	}
	return &client.Position{
		Offset: p.GetOffset(),
		Index:  p.GetIndex(),
	}
}

func notFound(kind, name string, names []string) error {
	message := "no " + kind + " " + name
	if nearest := validator.Nearest(name, names); nearest != "" {
		message += "; did you mean " + nearest + "?"
	}
	return damaskspread.NotRun(damaskspread.ReasonNotFound, "%s", message)
}

func milliseconds(age time.Duration) int64 { return age.Milliseconds() }

// enumName returns the name of a protobuf enum value without its prefix, in
// lower case.
func enumName(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}
