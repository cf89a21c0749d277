package dispatcher

import (
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/deduplicator"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// Headers of callers' requests and of the responses to them.
const (
	HeaderKey          = damaskspread.HeaderKey
	HeaderTimeout      = damaskspread.HeaderTimeout
	HeaderIdempotent   = damaskspread.HeaderIdempotent
	HeaderFirstAttempt = damaskspread.HeaderFirstAttempt
	HeaderKind         = damaskspread.HeaderKind
	HeaderOutcome      = damaskspread.HeaderOutcome
	HeaderRequestID    = damaskspread.HeaderRequestID
	HeaderConfigAge    = damaskspread.HeaderConfigAge
	headerPrefix       = "Damaskspread-"
	// maxKeyBytes limits the memory that a key takes at the agents, in bytes.
	maxKeyBytes = 256
)

// incoming is a caller's request with what applies to all of its tries.
type incoming struct {
	service string
	timeout time.Duration
	policy  Policy
	message *wire.ExecuteRequest
}

// markUnknownIfRepeated changes the refusal's outcome to unknown if the caller
// may have sent the key before: the earlier attempt may have run.
func (in *incoming) markUnknownIfRepeated(refusal *damaskspread.RefusalError) *damaskspread.RefusalError {
	if in.message.GetIdempotencyKey() != "" && !in.message.GetFirstAttempt() {
		refusal.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return refusal
}

// parse returns the request that r describes. The outcome of a refusal is unknown
// for a key that the caller may have sent before, because an earlier attempt with
// the key was perhaps complete.
func (d *Dispatcher) parse(w http.ResponseWriter, r *http.Request, requestID string) (*incoming, *damaskspread.RefusalError) {
	key := r.Header.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return nil, damaskspread.NotRun(damaskspread.ReasonBadRequest, "%s is longer than %d bytes", HeaderKey, maxKeyBytes)
	}
	in := &incoming{
		message: &wire.ExecuteRequest{
			RequestId:      requestID,
			Kind:           r.Header.Get(HeaderKind),
			Method:         http.MethodPost,
			Headers:        forwardedHeaders(r.Header),
			IdempotencyKey: key,
			FirstAttempt:   key != "" && r.Header.Get(HeaderFirstAttempt) == "true",
			Shard:          replayer.ShardOf(key),
		},
	}
	for _, read := range []func(*incoming, http.ResponseWriter, *http.Request) *damaskspread.RefusalError{
		d.readTarget, d.readPolicy, d.readBody,
	} {
		if refusal := read(in, w, r); refusal != nil {
			return nil, in.markUnknownIfRepeated(refusal)
		}
	}
	return in, nil
}

func (d *Dispatcher) readTarget(in *incoming, _ http.ResponseWriter, r *http.Request) *damaskspread.RefusalError {
	service, path, ok := splitPath(r.URL.EscapedPath())
	if r.Method != http.MethodPost || !ok {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "expected POST /v1/services/{service}/requests/{path}")
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	in.service = service
	in.message.Service = service
	in.message.Path = path
	return nil
}

func (d *Dispatcher) readPolicy(in *incoming, _ http.ResponseWriter, r *http.Request) *damaskspread.RefusalError {
	in.policy = d.policy(in.service)
	in.timeout = cmp.Or(in.policy.Timeout, DefaultTimeout)
	if text := r.Header.Get(HeaderTimeout); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed <= 0 || parsed > maxTimeout {
			return damaskspread.NotRun(damaskspread.ReasonBadRequest, "%s must be a duration up to %v", HeaderTimeout, maxTimeout)
		}
		in.timeout = parsed
	}
	kind := in.message.GetKind()
	in.message.Idempotent = r.Header.Get(HeaderIdempotent) == "true" || in.policy.Idempotent[kind]
	in.message.Priority = in.policy.LowestPriority
	if priority, ok := in.policy.Priorities[kind]; ok {
		in.message.Priority = priority
	}
	return nil
}

func (d *Dispatcher) readBody(in *incoming, w http.ResponseWriter, r *http.Request) *damaskspread.RefusalError {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return damaskspread.NotRun(damaskspread.ReasonTooLarge, "the request body is larger than %d bytes", MaxBodyBytes)
	case err != nil:
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "the request body could not be read completely")
	}
	in.message.Body = body
	return nil
}

func splitPath(escaped string) (service, path string, ok bool) {
	rest, ok := strings.CutPrefix(escaped, "/v1/services/")
	if !ok {
		return "", "", false
	}
	service, path, ok = strings.Cut(rest, "/requests/")
	return service, "/" + path, ok && service != "" && !strings.Contains(service, "/")
}

// forwardedHeaders returns the headers without hop-by-hop and Damaskspread-
// headers.
func forwardedHeaders(header http.Header) []*wire.Header {
	headers := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		if !damaskspread.IsHopByHop(name) && !strings.HasPrefix(name, headerPrefix) {
			headers = append(headers, &wire.Header{
				Name:   name,
				Values: values,
			})
		}
	}
	return headers
}

func writeResponse(w http.ResponseWriter, requestID string, response *wire.ExecuteResponse, staleAge time.Duration) {
	if response.GetReason() == string(deduplicator.ReasonResultNotRetained) {
		writeRefusal(w, requestID, &damaskspread.RefusalError{
			Outcome: wire.Outcome_OUTCOME_RAN,
			Reason:  deduplicator.ReasonResultNotRetained,
			Message: "the request ran, but its result was too large to store",
		})
		return
	}
	for _, header := range response.GetHeaders() {
		if name := http.CanonicalHeaderKey(header.GetName()); !damaskspread.IsHopByHop(name) {
			w.Header()[name] = header.GetValues()
		}
	}
	if staleAge > 0 {
		w.Header().Set(HeaderConfigAge, staleAge.Round(time.Millisecond).String())
	}
	w.Header().Set(HeaderOutcome, damaskspread.OutcomeName(wire.Outcome_OUTCOME_RAN))
	w.Header().Set(HeaderRequestID, requestID)
	w.Header().Set("Content-Length", strconv.Itoa(len(response.GetBody())))
	w.WriteHeader(int(response.GetStatus()))
	_, _ = w.Write(response.GetBody()) // fails only if the caller has disconnected
}

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

func writeRefusal(w http.ResponseWriter, requestID string, refusal *damaskspread.RefusalError) {
	outcome := damaskspread.OutcomeName(refusal.Outcome)
	body, _ := json.Marshal(refusalBody{
		Error: refusalDetail{
			Outcome:      outcome,
			Reason:       string(refusal.Reason),
			Message:      refusal.Message,
			RequestID:    requestID,
			RetryAfterMS: refusal.RetryAfter.Milliseconds(),
		},
	})
	w.Header().Set(HeaderOutcome, outcome)
	w.Header().Set(HeaderRequestID, requestID)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(httpStatus(refusal))
	_, _ = w.Write(body)
}

// httpStatus returns the status code of a refusal. The reasons in the first switch
// set it whatever the outcome; otherwise an unknown outcome is 502 whatever the
// reason.
func httpStatus(refusal *damaskspread.RefusalError) int {
	switch refusal.Reason {
	case damaskspread.ReasonKeyReused:
		return http.StatusConflict
	case damaskspread.ReasonBadRequest:
		return http.StatusBadRequest
	case damaskspread.ReasonUnknownService:
		return http.StatusNotFound
	case damaskspread.ReasonDeadline:
		return http.StatusGatewayTimeout
	case deduplicator.ReasonResultNotRetained:
		return http.StatusGone
	}
	switch {
	case refusal.Outcome != wire.Outcome_OUTCOME_NOT_RUN:
		return http.StatusBadGateway
	case refusal.Reason == damaskspread.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case refusal.Reason == damaskspread.ReasonOverloaded, refusal.Reason == damaskspread.ReasonQuota:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}
