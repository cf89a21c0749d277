// Package client is the Go client of the HTTP interface of entry processes. It
// sends latency-critical requests to services and the operations of operators,
// and defines the JSON types of the interface.
//
// A Client is safe for concurrent use once its fields are set. Its only state is
// the index of the entry process for the next try. It starts no goroutine.
//
// Open question: the HTTP interface has no authentication. Entry processes run
// behind the platform's load balancer and trust the team and the actor that a
// request states.
package client

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/validator"
)

// Headers of the HTTP interface, as package damaskspread defines them.
const (
	HeaderKey          = damaskspread.HeaderKey
	HeaderTimeout      = damaskspread.HeaderTimeout
	HeaderIdempotent   = damaskspread.HeaderIdempotent
	HeaderFirstAttempt = damaskspread.HeaderFirstAttempt
	HeaderKind         = damaskspread.HeaderKind
	HeaderOutcome      = damaskspread.HeaderOutcome
	HeaderRequestID    = damaskspread.HeaderRequestID
	HeaderActor        = damaskspread.HeaderActor
	HeaderConfigAge    = damaskspread.HeaderConfigAge
)

// Outcomes of a request in the HTTP interface. OutcomeNotRun: the request certainly
// did not run. OutcomeRan: it ran and the response is complete. OutcomeUnknown: it
// may have run.
const (
	OutcomeNotRun  = "not_run"
	OutcomeRan     = "ran"
	OutcomeUnknown = "unknown"
)

// Position identifies a record in the log: the offset of its batch and the index
// in the batch.
type Position struct {
	Offset int64 `json:"offset"`
	Index  int32 `json:"index"`
}

// Base is the version of a section that a publication is based on. If the section
// has changed since, the publication conflicts.
type Base struct {
	Position
	// Hash is the hash of the text at Position, from TextHash. A section whose
	// new text has this hash was not edited; it is not published and cannot
	// conflict.
	Hash string `json:"hash,omitempty"`
}

// TextHash returns the hash of a section's text for Base.Hash.
func TextHash(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// ErrorBody is the error in a JSON response. RetryAfterMs is 0 if the response
// states no delay.
type ErrorBody struct {
	Outcome      string                 `json:"outcome"`
	Reason       damaskspread.Reason    `json:"reason"`
	Message      string                 `json:"message"`
	RequestID    string                 `json:"request_id"`
	RetryAfterMs int64                  `json:"retry_after_ms"`
	Section      string                 `json:"section,omitempty"`
	Current      *Position              `json:"current,omitempty"`
	Diagnostics  []validator.Diagnostic `json:"diagnostics,omitempty"`
}

// ErrorResponse is the body of a response that refuses a request.
type ErrorResponse struct {
	Error *ErrorBody `json:"error"`
}

// Section is a published section of the configuration.
type Section struct {
	Section         string   `json:"section"`
	Text            string   `json:"text"`
	Team            string   `json:"team"`
	Actor           string   `json:"actor"`
	Position        Position `json:"position"`
	PublishedUnixMs int64    `json:"published_unix_ms"`
}

// ConfigResponse holds the published sections as of Offset. AgeMs is the age of
// the replayed state.
type ConfigResponse struct {
	Sections []Section `json:"sections"`
	Offset   int64     `json:"offset"`
	AgeMs    int64     `json:"age_ms"`
}

// PublishRequest publishes the sections of Text that differ from the published
// ones, and removes the sections in Remove. Base is keyed by section name; a
// section without a base must not exist yet.
type PublishRequest struct {
	Team   string          `json:"team"`
	Text   string          `json:"text"`
	Base   map[string]Base `json:"base,omitempty"`
	Remove []string        `json:"remove,omitempty"`
}

// Values of SectionResult.Result.
const (
	ResultPublished = "published"
	ResultUnchanged = "unchanged"
	ResultConflict  = "conflict"
	ResultNotOwner  = "not_owner"
	ResultInvalid   = "invalid"
	ResultNotRun    = "not_run"
	ResultUnknown   = "unknown"
)

// SectionResult is the result of publishing one section.
type SectionResult struct {
	Section     string                 `json:"section"`
	Result      string                 `json:"result"`
	Message     string                 `json:"message,omitempty"`
	Position    *Position              `json:"position,omitempty"`
	Diagnostics []validator.Diagnostic `json:"diagnostics,omitempty"`
}

// PublishResponse holds the results of the sections. Error is set if a section
// failed.
type PublishResponse struct {
	Error   *ErrorBody      `json:"error,omitempty"`
	Results []SectionResult `json:"results"`
}

// CheckRequest holds the text of a configuration document to check.
type CheckRequest struct {
	Text string `json:"text"`
}

// SectionChange says how a section differs from the published one.
type SectionChange struct {
	Section string `json:"section"`
	Change  string `json:"change"`
}

// CheckResponse holds the diagnostics of a document and its differences from the
// published sections.
type CheckResponse struct {
	Diagnostics []validator.Diagnostic `json:"diagnostics"`
	Changes     []SectionChange        `json:"changes"`
}

// TeamRequest requests a change on behalf of a team.
type TeamRequest struct {
	Team string `json:"team"`
	// WorkerBoot, if not empty, must be the current boot of the host's worker.
	WorkerBoot string `json:"worker_boot,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// Zone is an availability zone. Hosts counts its known hosts, Members those that
// are members.
type Zone struct {
	Zone      string    `json:"zone"`
	InService bool      `json:"in_service"`
	Drain     bool      `json:"drain"`
	Owner     string    `json:"owner,omitempty"`
	Region    string    `json:"region,omitempty"`
	Hosts     int       `json:"hosts"`
	Members   int       `json:"members"`
	Position  *Position `json:"position,omitempty"`
	Changed   bool      `json:"changed,omitempty"`
}

// Host is a host with its state and capacity.
type Host struct {
	Host                string    `json:"host"`
	State               string    `json:"state"`
	Region              string    `json:"region"`
	Zone                string    `json:"zone"`
	Rack                string    `json:"rack"`
	Address             string    `json:"address"`
	Entry               string    `json:"entry"`
	Incarnation         string    `json:"incarnation"`
	WorkerBoot          string    `json:"worker_boot"`
	Service             string    `json:"service,omitempty"`
	Capacity            Resources `json:"capacity"`
	Free                Resources `json:"free"`
	Tasks               int       `json:"tasks"`
	ConsecutiveFailures int32     `json:"consecutive_failures"`
	// BatchSharePermille is the share of processors, in thousandths, that
	// throttled batch tasks may use; 0 means that none is throttled.
	BatchSharePermille int `json:"batch_share_permille,omitempty"`
}

// Endpoint is a process that serves a service on a host, with the load that the
// entry process saw last. The load is valid only if LoadKnown is set.
type Endpoint struct {
	Host          string `json:"host"`
	Service       string `json:"service"`
	Zone          string `json:"zone"`
	State         string `json:"state"`
	InService     bool   `json:"in_service"`
	Slots         int32  `json:"slots"`
	Connections   int32  `json:"connections"`
	LoadKnown     bool   `json:"load_known"`
	Running       int32  `json:"running"`
	Queued        int32  `json:"queued"`
	Limit         int32  `json:"limit"`
	ServiceTimeUs int64  `json:"service_time_us"`
}

// Service is a service with the number of its endpoints, slots and shards.
type Service struct {
	Service     string `json:"service"`
	Declared    bool   `json:"declared"`
	Owner       string `json:"owner,omitempty"`
	Endpoints   int    `json:"endpoints"`
	Members     int    `json:"members"`
	Slots       int64  `json:"slots"`
	ShardsReady int    `json:"shards_ready"`
	Shards      int    `json:"shards"`
}

// AuditEntry is one change in the audit trail.
type AuditEntry struct {
	Position Position            `json:"position"`
	UnixMs   int64               `json:"unix_ms"`
	Actor    string              `json:"actor"`
	Kind     string              `json:"kind"`
	Subject  string              `json:"subject"`
	Action   string              `json:"action"`
	From     string              `json:"from,omitempty"`
	To       string              `json:"to,omitempty"`
	Applied  bool                `json:"applied"`
	Reason   damaskspread.Reason `json:"reason,omitempty"`
	Detail   string              `json:"detail,omitempty"`
}

// AuditFilter selects audit entries. An empty string selects all; a Limit of 0
// leaves the number to the server.
type AuditFilter struct {
	Kind, Subject, Actor string
	Limit                int
}

// AuditResponse holds the audit trail of an entry process, the newest change
// first. It is in memory only and covers the changes replayed since offset Since.
// Earlier changes are in the log as long as the log retains them. Gaps counts how
// often changes were dropped.
type AuditResponse struct {
	Entries []AuditEntry `json:"entries"`
	Since   int64        `json:"since"`
	Gaps    int          `json:"gaps"`
}

// UnknownAgeMs is the age that a process reports before it has replayed anything.
// It exceeds every limit, so a comparison with a limit always shows it as stale.
const UnknownAgeMs = int64(damaskspread.MaxAge / time.Millisecond)

// Status is the status of an entry process and its replayed state.
type Status struct {
	Entry   string `json:"entry"`
	Version string `json:"version"`
	Offset  int64  `json:"offset"`
	// AgeMs is UnknownAgeMs before the first replay.
	AgeMs           int64          `json:"age_ms"`
	CurrencyLimitMs int64          `json:"currency_limit_ms"`
	Stale           bool           `json:"stale"`
	Entries         []string       `json:"entries"`
	Hosts           map[string]int `json:"hosts"`
	Tasks           map[string]int `json:"tasks"`
	ZonesOut        []string       `json:"zones_out"`
	// Rejected lists why published sections cannot be read by this version.
	Rejected []validator.Diagnostic `json:"rejected,omitempty"`
}
