package dispatcher

import (
	"context"
	"errors"
	"net"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// movedPause is the wait for a view of a shard that moved: an entry and an
// agent learn of a change within some milliseconds of each other.
const movedPause = 20 * time.Millisecond

// answerMargin covers the way back between zones and a scheduling delay.
const answerMargin = 10 * time.Millisecond

// execute sends a request to one agent. certain tells that a not_run came from
// the agent itself.
func (d *Dispatcher) execute(ctx context.Context, address string, message *wire.ExecuteRequest) (answer *wire.ExecuteResponse, refusal *damaskspread.RefusalError, certain bool) {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if left <= 0 {
		return nil, damaskspread.NotRun(damaskspread.ReasonDeadline, "the deadline passed before the request was sent"), false
	}
	message = proto.CloneOf(message)
	// The agent ends a little earlier, so that its reason arrives in time.
	message.TimeoutUs = (left - min(left/20, answerMargin)).Microseconds()
	response, err := d.client(address).Execute(ctx, connect.NewRequest(message))
	if err != nil {
		return nil, failure(ctx, err), false
	}
	answer = response.Msg
	if answer.GetRequestId() != message.GetRequestId() {
		return nil, damaskspread.Unknown(damaskspread.ReasonConnectionLost, "the agent answered another request"), false
	}
	if answer.GetOutcome() == wire.Outcome_OUTCOME_RAN {
		return answer, nil, true
	}
	outcome := answer.GetOutcome()
	if outcome != wire.Outcome_OUTCOME_NOT_RUN {
		outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return answer, &damaskspread.RefusalError{
		Outcome:    outcome,
		Reason:     damaskspread.Reason(answer.GetReason()),
		Message:    string(answer.GetBody()),
		RetryAfter: time.Duration(answer.GetRetryAfterMs()) * time.Millisecond,
	}, true
}

// failure is not_run only if no connection could be opened.
func failure(ctx context.Context, err error) *damaskspread.RefusalError {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return damaskspread.NotRun(damaskspread.ReasonEndpointFailed, "the agent can't be reached")
	}
	if ctx.Err() != nil {
		return damaskspread.Unknown(damaskspread.ReasonDeadline, "no answer within the deadline")
	}
	return damaskspread.Unknown(damaskspread.ReasonConnectionLost, "the connection to the agent failed: %v", err)
}

// dispatchPlain tries endpoints for a request without a key. After a try that
// may have run, only a request that the caller declared idempotent is tried
// again, and its last refusal stays unknown.
func (d *Dispatcher) dispatchPlain(ctx context.Context, in *incoming, avoid string) (*wire.ExecuteResponse, *damaskspread.RefusalError) {
	tries := d.Tries
	if tries == 0 {
		tries = defaultTries
	}
	var last *damaskspread.RefusalError
	mayHaveRun := false
	for try := 1; ; try++ {
		pick, ok := d.Router.Pick(in.service, avoid)
		if !ok {
			last = damaskspread.NotRun(damaskspread.ReasonNoEndpoint, "service %q has no endpoint", in.service)
			break
		}
		answer, refusal := d.tryPick(ctx, in, pick, tries-try+1)
		if refusal == nil {
			return answer, nil
		}
		last = refusal
		ran := refusal.Outcome != wire.Outcome_OUTCOME_NOT_RUN
		mayHaveRun = mayHaveRun || ran
		if try == tries || (ran && !in.message.GetIdempotent()) || ctx.Err() != nil || !d.Retries.Take() {
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

func (d *Dispatcher) tryPick(ctx context.Context, in *incoming, pick damaskspread.Pick, tries int) (*wire.ExecuteResponse, *damaskspread.RefusalError) {
	if in.message.GetIdempotent() {
		// Half of what is left: with an equal share for each try, a request
		// that takes longer than a share would fail at every endpoint.
		deadline, _ := ctx.Deadline()
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Retries.TryTimeout(time.Until(deadline), min(tries, 2)))
		defer cancel()
	}
	start := d.Clock.Now()
	answer, refusal, certain := d.execute(ctx, pick.Address, in.message)
	d.Router.ObserveLoad(pick.Host, answer.GetLoad())
	d.Router.Done(pick, resultOf(answer, refusal, certain, d.Clock.Since(start)))
	return answer, refusal
}

// resultOf is what a try tells the router about its endpoint.
func resultOf(answer *wire.ExecuteResponse, refusal *damaskspread.RefusalError, certain bool, took time.Duration) damaskspread.PickResult {
	if refusal == nil {
		return damaskspread.PickResult{
			Latency: took,
			Empty:   len(answer.GetBody()) == 0,
		}
	}
	failed := !certain || refusal.Reason == damaskspread.ReasonEndpointFailed
	return damaskspread.PickResult{
		Latency:    took,
		Failed:     failed,
		Refused:    !failed,
		RetryAfter: refusal.RetryAfter,
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

type outcome struct {
	answer  *wire.ExecuteResponse
	refusal *damaskspread.RefusalError
}

// dispatchHedged starts a second try when the first is slow, if the retry
// budget allows it, and returns the first answer.
func (d *Dispatcher) dispatchHedged(ctx context.Context, in *incoming) (*wire.ExecuteResponse, *damaskspread.RefusalError) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, 2)
	run := func() {
		answer, refusal := d.dispatchPlain(ctx, in, "")
		outcomes <- outcome{
			answer:  answer,
			refusal: refusal,
		}
	}
	go run()
	running := 1
	hedge := d.Clock.After(in.policy.Hedge)
	var last *damaskspread.RefusalError
	for running > 0 {
		select {
		case o := <-outcomes:
			running--
			if o.refusal == nil {
				return o.answer, nil
			}
			if last == nil || last.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
				last = o.refusal
			}
		case <-hedge:
			hedge = nil
			if d.Retries.Take() {
				running++
				go run()
			}
		}
	}
	return nil, last
}

// roles are the agents of a key's shard in the entry's present view.
type roles struct {
	primary, secondary     string
	primaryAt, secondaryAt string
	epoch                  *wire.Position
}

func (d *Dispatcher) roles(in *incoming) (found roles) {
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
			found.primaryAt = h.GetSpec().GetAddress()
		}
		if h, ok := s.Host(found.secondary); ok {
			found.secondaryAt = h.GetSpec().GetAddress()
		}
	})
	return found
}

// dispatchKeyed asks the primary of the key's shard, and the secondary if the
// primary can't be reached. Both may be asked again: the key protocol lets the
// request run at most once.
func (d *Dispatcher) dispatchKeyed(ctx context.Context, in *incoming) (*wire.ExecuteResponse, *damaskspread.RefusalError) {
	message := proto.CloneOf(in.message)
	last := in.doubtful(damaskspread.NotRun(damaskspread.ReasonNoEndpoint, "service %q has no endpoint", in.service))
	unreachable := ""
	for try := 1; try <= keyedTries; try++ {
		r := d.roles(in)
		host, address := r.primary, r.primaryAt
		if unreachable != "" && host == unreachable {
			host, address = r.secondary, r.secondaryAt
		}
		if host == "" || address == "" {
			break
		}
		message.ShardEpoch = r.epoch
		// A primary that runs the request gets the whole time; one that is
		// gone is noticed when the connection can't be opened.
		pick, _ := d.Router.Assign(host)
		start := d.Clock.Now()
		answer, refusal, certain := d.execute(ctx, address, message)
		d.Router.ObserveLoad(host, answer.GetLoad())
		d.Router.Done(pick, resultOf(answer, refusal, certain, d.Clock.Since(start)))
		if refusal == nil {
			return answer, nil
		}
		if refusal.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
			// Another agent must not take it for a first attempt any more.
			message.FirstAttempt = false
		}
		last = refusal
		if !certain && refusal.Outcome == wire.Outcome_OUTCOME_NOT_RUN && !message.GetFirstAttempt() {
			last.Outcome = wire.Outcome_OUTCOME_UNKNOWN
		}
		if final(refusal, certain) || ctx.Err() != nil || !d.Retries.Take() {
			break
		}
		if certain {
			unreachable = ""
			d.pause(ctx, movedPause+d.Retries.Backoff(try))
		} else {
			unreachable = host
		}
	}
	return nil, last
}

// final reports whether another try can't change the refusal. It can if the
// shard moved, is about to move from an agent that leaves, or if the agent
// could not be reached.
func final(refusal *damaskspread.RefusalError, certain bool) bool {
	return certain && refusal.Reason != damaskspread.ReasonStaleEpoch && refusal.Reason != damaskspread.ReasonLeaving
}
