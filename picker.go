package damaskspread

import "time"

// Endpoint is one endpoint of a service that an EndpointPicker can choose.
type Endpoint struct {
	Host    string
	Address string
	Zone    string
	// Slots is the number of requests that the endpoint executes at a time.
	Slots int32
}

// Pick is an endpoint chosen for one request. Each Pick must be passed to
// EndpointPicker.Done exactly once.
type Pick struct {
	Host    string
	Address string
	Zone    string
	// Handle is private to the picker.
	Handle any
}

// PickResult is what one try of a request shows about its endpoint.
type PickResult struct {
	Latency time.Duration
	// Failed means that the endpoint or the path to it failed. A refusal because
	// the endpoint is busy is not a failure.
	Failed bool
	// Refused means that the endpoint did not run the request, so that Latency
	// does not show its speed.
	Refused bool
	// RetryAfter is the wait that the endpoint asked for with its refusal, or
	// zero.
	RetryAfter time.Duration
	// Leaving means that the endpoint refused the request because it leaves.
	Leaving bool
	// Empty means that the response is complete but has no body.
	Empty bool
}

// EndpointPicker chooses the endpoint of each request. Implementations are
// safe for concurrent use and don't allocate in Pick.
type EndpointPicker interface {
	LoadObserver
	// SetEndpoints replaces the endpoints of a service. The picker retains its
	// statistics of the endpoints that remain.
	SetEndpoints(service string, endpoints []Endpoint)
	// Pick chooses an endpoint of the service, and one on another host than
	// avoid if there is any. It returns false if the service has no endpoint.
	Pick(service, avoid string) (Pick, bool)
	// Assign counts a request whose endpoint the caller chose, such as the
	// primary of an idempotency key. It returns false for an unknown host.
	Assign(host string) (Pick, bool)
	// Done ends a pick and takes its result into account for later ones.
	Done(pick Pick, result PickResult)
}
