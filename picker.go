package damaskspread

import "time"

// Endpoint is one back end that a picker can choose.
type Endpoint struct {
	Host    string
	Address string
	Zone    string
	Slots   int32
}

// Pick is a chosen endpoint. Every pick is returned with Done exactly once.
type Pick struct {
	Host    string
	Address string
	Zone    string
	// Handle belongs to the picker.
	Handle any
}

// PickResult is what a try tells about its endpoint.
type PickResult struct {
	Latency time.Duration
	// Failed is a failure of the endpoint or of the path to it, as opposed to
	// a refusal because it is busy.
	Failed bool
	// Refused means that the endpoint ran nothing, so that Latency says nothing
	// about its speed.
	Refused bool
	// RetryAfter is the wait that a refusing endpoint named.
	RetryAfter time.Duration
	// Empty is a complete response without a body.
	Empty bool
}

// EndpointPicker chooses the endpoint of each request. Implementations are
// safe for concurrent use and don't allocate in Pick.
type EndpointPicker interface {
	LoadObserver
	// SetEndpoints replaces the endpoints of a service. What is known of the
	// ones that stay is kept.
	SetEndpoints(service string, endpoints []Endpoint)
	// Pick chooses an endpoint other than the host avoid, if there is one.
	Pick(service, avoid string) (Pick, bool)
	// Assign counts a request whose endpoint the caller chose, such as the
	// primary of a key. It is false for an unknown host.
	Assign(host string) (Pick, bool)
	Done(pick Pick, result PickResult)
}
