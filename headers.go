package damaskspread

// Headers of the HTTP APIs for callers and operators.
const (
	HeaderKey          = "Idempotency-Key"
	HeaderTimeout      = "Damaskspread-Timeout"
	HeaderIdempotent   = "Damaskspread-Idempotent"
	HeaderFirstAttempt = "Damaskspread-First-Attempt"
	HeaderKind         = "Damaskspread-Kind"
	HeaderOutcome      = "Damaskspread-Outcome"
	HeaderRequestID    = "Damaskspread-Request-Id"
	HeaderActor        = "Damaskspread-Actor"
	HeaderConfigAge    = "Damaskspread-Config-Age"
)

// Headers between an agent and the endpoint on its host. A process may be paused
// between its last check and the sending of a request, so the endpoint should check
// again.
const (
	// HeaderStartBefore is the request header with the latest time at which the
	// request may start, in nanoseconds of the host's CLOCK_BOOTTIME.
	HeaderStartBefore = "Damaskspread-Start-Before-Ns"
	// HeaderNotStarted is the response header of a request that arrived later, and so
	// did not start.
	HeaderNotStarted = "Damaskspread-Not-Started"
)

// hopByHopHeaders apply to one connection only and are not forwarded. The names
// are in canonical form.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// IsHopByHop reports whether a header applies to one connection only, so that it
// is not forwarded. The name must be in canonical form.
func IsHopByHop(name string) bool { return hopByHopHeaders[name] }
