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
