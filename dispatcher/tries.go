package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// epochChangePause is the wait before a retry after a shard's epoch changed:
// entries and agents learn of the change within some milliseconds of each other.
const epochChangePause = 20 * time.Millisecond

// responseMargin covers the network delay of the response between zones and a
// scheduling delay.
const responseMargin = 10 * time.Millisecond

// execute sends a request to one agent. fromAgent is true if the response or the
// refusal came from the agent itself.
func (d *Dispatcher) execute(ctx context.Context, address string, message *wire.ExecuteRequest) (response *wire.ExecuteResponse, refusal *damaskspread.RefusalError, fromAgent bool) {
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return nil, damaskspread.NotRun(damaskspread.ReasonDeadline, "the deadline passed before the request was sent"), false
	}
	message = proto.CloneOf(message)
	// The agent's deadline is earlier, so that its refusal arrives in time.
	message.TimeoutUs = (remaining - min(remaining/20, responseMargin)).Microseconds()
	reply, err := d.client(address).Execute(ctx, connect.NewRequest(message))
	if err != nil {
		return nil, transportRefusal(ctx, err), false
	}
	response = reply.Msg
	if response.GetRequestId() != message.GetRequestId() {
		return nil, damaskspread.Unknown(damaskspread.ReasonConnectionLost, "the agent's response has the ID of another request"), false
	}
	if response.GetOutcome() == wire.Outcome_OUTCOME_RAN {
		return response, nil, true
	}
	outcome := response.GetOutcome()
	if outcome != wire.Outcome_OUTCOME_NOT_RUN {
		outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return response, &damaskspread.RefusalError{
		Outcome:    outcome,
		Reason:     damaskspread.Reason(response.GetReason()),
		Message:    string(response.GetBody()),
		RetryAfter: time.Duration(response.GetRetryAfterMs()) * time.Millisecond,
	}, true
}

// transportRefusal returns the refusal for a failed call of an agent. Its outcome
// is not_run only if the agent can't have received the whole request.
func transportRefusal(ctx context.Context, err error) *damaskspread.RefusalError {
	switch {
	case failedIn(err, "dial"):
		return damaskspread.NotRun(damaskspread.ReasonEndpointFailed, "no connection to the agent could be opened")
	case failedIn(err, "write"):
		// A stopping agent closes a connection that was idle until now.
		return damaskspread.NotRun(damaskspread.ReasonEndpointFailed, "the connection to the agent closed before the request was sent")
	case ctx.Err() != nil:
		return damaskspread.Unknown(damaskspread.ReasonDeadline, "the agent did not respond before the deadline")
	default:
		return damaskspread.Unknown(damaskspread.ReasonConnectionLost, "the connection to the agent failed: %v", err)
	}
}

// failedIn reports whether an operation of package net with this name failed. The
// error of a write is often wrapped in one of the operation "readfrom".
func failedIn(err error, operation string) bool {
	var op *net.OpError
	for errors.As(err, &op) {
		if op.Op == operation {
			return true
		}
		err = op.Err
	}
	return false
}

// dispatchPlain sends a request without a key to endpoints until one responds.
// After a try that may have run, only an idempotent request is retried, and a
// refusal then has the outcome unknown whatever the last try returned. The first
// try avoids a host; empty avoids none. picked is called with the host of each
// try; nil is allowed.
func (d *Dispatcher) dispatchPlain(ctx context.Context, in *incoming, avoid string, tries int, picked func(host string)) (*wire.ExecuteResponse, *damaskspread.RefusalError) {
	var last *damaskspread.RefusalError
	mayHaveRun := false
	for try := 1; ; try++ {
		d.Refresh()
		pick, ok := d.Router.Pick(in.service, avoid)
		if !ok {
			last = damaskspread.NotRun(damaskspread.ReasonNoEndpoint, "service %q has no endpoint", in.service)
			break
		}
		if picked != nil {
			picked(pick.Host)
		}
		response, refusal := d.tryEndpoint(ctx, in, pick, tries-try+1)
		if refusal == nil {
			return response, nil
		}
		last = refusal
		ran := refusal.Outcome != wire.Outcome_OUTCOME_NOT_RUN
		mayHaveRun = mayHaveRun || ran
		if try == tries || (ran && !in.message.GetIdempotent()) || ctx.Err() != nil || !d.Retries.TakeToken() {
			break
		}
		avoid = pick.Host
		if try > 1 || ran {
			d.pause(ctx, d.Retries.Backoff(try))
		}
	}
	if mayHaveRun {
		last.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return nil, last
}

func (d *Dispatcher) tryEndpoint(ctx context.Context, in *incoming, pick damaskspread.Pick, tries int) (*wire.ExecuteResponse, *damaskspread.RefusalError) {
	if in.message.GetIdempotent() {
		// A try gets half of the remaining time. If all tries got equal shares,
		// a request that needs longer than one share would fail at all
		// endpoints.
		deadline, _ := ctx.Deadline()
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Retries.TryTimeout(time.Until(deadline), min(tries, 2)))
		defer cancel()
	}
	start := d.Clock.Now()
	response, refusal, fromAgent := d.execute(ctx, pick.Address, in.message)
	d.Router.ObserveLoad(pick.Host, response.GetLoad())
	d.Router.Done(pick, pickResult(response, refusal, fromAgent, d.Clock.Since(start)))
	return response, refusal
}

// pickResult returns the result of a try for the router.
func pickResult(response *wire.ExecuteResponse, refusal *damaskspread.RefusalError, fromAgent bool, latency time.Duration) damaskspread.PickResult {
	if refusal == nil {
		return damaskspread.PickResult{
			Latency: latency,
			Empty:   len(response.GetBody()) == 0,
		}
	}
	failed := !fromAgent || refusal.Reason == damaskspread.ReasonEndpointFailed
	return damaskspread.PickResult{
		Latency:    latency,
		Failed:     failed,
		Refused:    !failed,
		RetryAfter: refusal.RetryAfter,
		Leaving:    fromAgent && refusal.Reason == damaskspread.ReasonLeaving,
	}
}

func (d *Dispatcher) pause(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	select {
	case <-d.Clock.After(pause):
	case <-ctx.Done():
	}
}

// maxTries returns the largest number of tries of a request without its hedge.
func (d *Dispatcher) maxTries() int { return cmp.Or(d.MaxTries, defaultTries) }

type hedgeResult struct {
	response *wire.ExecuteResponse
	refusal  *damaskspread.RefusalError
}

// dispatchHedged sends the request a second time if there is no result after
// Policy.HedgeDelay and the retry budget allows it, to another host than the one
// that has the request. It returns the first response, or a refusal if both are
// refused, with outcome unknown if either has it.
func (d *Dispatcher) dispatchHedged(ctx context.Context, in *incoming) (*wire.ExecuteResponse, *damaskspread.RefusalError) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan hedgeResult, 2)
	var slowHost atomic.Value // host of the first request's latest try
	run := func(avoid string, tries int, picked func(string)) {
		response, refusal := d.dispatchPlain(ctx, in, avoid, tries, picked)
		results <- hedgeResult{
			response: response,
			refusal:  refusal,
		}
	}
	go run("", d.maxTries(), func(host string) { slowHost.Store(host) })
	running := 1
	hedge := d.Clock.After(in.policy.HedgeDelay)
	var worst *damaskspread.RefusalError
	for running > 0 {
		select {
		case result := <-results:
			running--
			if result.refusal == nil {
				return result.response, nil
			}
			if worst == nil || worst.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
				worst = result.refusal
			}
		case <-hedge:
			hedge = nil
			if d.Retries.TakeToken() {
				running++
				avoid, _ := slowHost.Load().(string)
				// One try: a request that breaks each endpoint that runs it would
				// otherwise break twice as many.
				go run(avoid, 1, nil)
			}
		}
	}
	return nil, worst
}

// shardAgents holds the hosts and the agents' addresses of a key's shard, as in
// the replayed state. They are empty if not known.
type shardAgents struct {
	primary, secondary               string
	primaryAddress, secondaryAddress string
	epoch                            *wire.Position
}

func (d *Dispatcher) shardAgents(in *incoming) (found shardAgents) {
	d.Follower.View(func(s *replayer.State) {
		shards := s.Shards(in.service)
		if len(shards) == 0 {
			return
		}
		shard := shards[in.message.GetShard()]
		found.epoch = shard.GetEpoch()
		found.primary = shard.GetPrimary().GetHost()
		found.secondary = shard.GetSecondary().GetHost()
		if h, ok := s.Host(found.primary); ok {
			found.primaryAddress = h.GetSpec().GetAddress()
		}
		if h, ok := s.Host(found.secondary); ok {
			found.secondaryAddress = h.GetSpec().GetAddress()
		}
	})
	return found
}

// dispatchKeyed sends a request with a key to the primary of the key's shard, or
// to the secondary if the primary can't be reached. Retries at both are safe,
// because the deduplicator runs a key at most once.
func (d *Dispatcher) dispatchKeyed(ctx context.Context, in *incoming) (*wire.ExecuteResponse, *damaskspread.RefusalError) {
	message := proto.CloneOf(in.message)
	last := in.markUnknownIfRepeated(damaskspread.NotRun(damaskspread.ReasonNoEndpoint, "service %q has no endpoint", in.service))
	unreachableHost := ""
	for try := 1; try <= maxKeyedTries; try++ {
		agents := d.shardAgents(in)
		host, address := agents.primary, agents.primaryAddress
		if unreachableHost != "" && host == unreachableHost {
			host, address = agents.secondary, agents.secondaryAddress
		}
		if host == "" || address == "" {
			break
		}
		message.ShardEpoch = agents.epoch
		// The try may take all of the remaining time. A lost primary is detected
		// because no connection to it can be opened.
		d.Refresh()
		pick, _ := d.Router.Assign(host)
		start := d.Clock.Now()
		response, refusal, fromAgent := d.execute(ctx, address, message)
		d.Router.ObserveLoad(host, response.GetLoad())
		d.Router.Done(pick, pickResult(response, refusal, fromAgent, d.Clock.Since(start)))
		if refusal == nil {
			return response, nil
		}
		if refusal.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
			// The request may have run, so it is no longer a first attempt for
			// the next agent.
			message.FirstAttempt = false
		}
		last = refusal
		if !fromAgent && refusal.Outcome == wire.Outcome_OUTCOME_NOT_RUN && !message.GetFirstAttempt() {
			last.Outcome = wire.Outcome_OUTCOME_UNKNOWN
		}
		if isFinal(refusal, fromAgent) || ctx.Err() != nil || !d.Retries.TakeToken() {
			break
		}
		if fromAgent {
			unreachableHost = ""
			d.pause(ctx, epochChangePause+d.Retries.Backoff(try))
		} else {
			unreachableHost = host
		}
	}
	return nil, last
}

// isFinal reports whether a retry would be refused in the same way. A retry can
// succeed if the agent did not respond, the shard's epoch changed, or the agent
// is leaving.
func isFinal(refusal *damaskspread.RefusalError, fromAgent bool) bool {
	return fromAgent && refusal.Reason != damaskspread.ReasonStaleEpoch && refusal.Reason != damaskspread.ReasonLeaving
}
