package feeder

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// Sync is the long poll of an agent.
func (f *Feeder) Sync(ctx context.Context, request *connect.Request[wire.SyncRequest]) (*connect.Response[wire.SyncResponse], error) {
	f.prepare()
	arrived := f.Clock.Now()
	call := request.Msg
	if call.GetHost().GetHost() == "" || call.GetHost().GetIncarnation() == "" {
		return nil, refused(connect.CodeInvalidArgument, damaskspread.NotRun(damaskspread.ReasonBadRequest, "host and incarnation are required"))
	}
	if !f.Follower.Ready() {
		return nil, refused(connect.CodeUnavailable, damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "the first replay is not complete"))
	}
	if f.isLeaving() {
		return nil, refused(connect.CodeUnavailable, damaskspread.NotRun(damaskspread.ReasonLeaving, "this entry process is leaving"))
	}
	f.observe(call)
	wait := min(max(time.Duration(call.GetWaitMs())*time.Millisecond, 0), f.MaxSyncWait)
	expired := f.Clock.After(wait)
	if err := f.reach(ctx, expired, call.GetAppliedOffset()); err != nil {
		return nil, err
	}
	// The session exists only from here on: a call with a stale incarnation
	// must not replace the session of the current one.
	if rejoin, err := f.attach(ctx, call); err != nil || rejoin {
		return f.rejoinResponse(call), err
	}
	return f.poll(ctx, call, arrived, expired)
}

// rejoinResponse tells the agent which incarnation it replaces when it joins.
func (f *Feeder) rejoinResponse(call *wire.SyncRequest) *connect.Response[wire.SyncResponse] {
	response := &wire.SyncResponse{
		Rejoin: true,
		AgeUs:  damaskspread.AgeMicros(damaskspread.MaxAge),
	}
	f.Follower.View(func(state *replayer.State) {
		response.Joined = state.JoinedPosition(call.GetHost().GetHost())
	})
	return connect.NewResponse(response)
}

func (f *Feeder) observe(call *wire.SyncRequest) {
	host := call.GetHost().GetHost()
	if f.Loads != nil && call.GetLoad() != nil {
		f.Loads.ObserveLoad(host, call.GetLoad())
	}
	if f.Usage != nil && len(call.GetUsage()) > 0 {
		f.Usage.ObserveUsage(host, call.GetUsage())
	}
}

// reach waits until this process has applied what the agent has applied. A
// process that is behind would report changes that the agent has as undone.
func (f *Feeder) reach(ctx context.Context, expired <-chan time.Time, offset int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reached := make(chan error, 1)
	if f.Follower.Offset() >= offset {
		return nil
	}
	go func() { reached <- f.Follower.Wait(ctx, offset) }()
	select {
	case err := <-reached:
		return err
	case <-expired:
		return refused(connect.CodeUnavailable, damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "this process is behind offset %d", offset))
	}
}

// poll answers as soon as there is something new, or when the wait is over.
func (f *Feeder) poll(ctx context.Context, call *wire.SyncRequest, arrived time.Time, expired <-chan time.Time) (*connect.Response[wire.SyncResponse], error) {
	s := f.session(call.GetHost())
	over := false
	for {
		s.touch(f.Clock.Now())
		changed := s.changed()
		response, member := f.build(call, arrived)
		if !member {
			return f.rejoinResponse(call), nil
		}
		content := contentOf(response)
		unchanged := s.sameAs(call.GetAppliedOffset(), content)
		if !unchanged || len(response.GetSections()) > 0 || over {
			if unchanged {
				response.Unchanged = true
				response.Claims, response.Shards = nil, nil
			}
			s.remember(response.GetOffset(), content)
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
		case <-expired:
			over = true
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// build reads one consistent response. The age is taken before the state, which
// then covers at least what that age refers to, and after the time of holding,
// so that a pause between the two makes the agent's age too high, not too low.
func (f *Feeder) build(call *wire.SyncRequest, arrived time.Time) (*wire.SyncResponse, bool) {
	response := &wire.SyncResponse{
		HeldUs: max(f.Clock.Since(arrived), 0).Microseconds(),
	}
	response.AgeUs = damaskspread.AgeMicros(f.Follower.Age())
	if f.BatchShare != nil {
		response.BatchSharePermille = int32(f.BatchShare(call.GetHost().GetHost()))
	}
	member := false
	f.Follower.View(func(state *replayer.State) {
		host, ok := state.Host(call.GetHost().GetHost())
		if !ok || host.GetExpired() || host.GetSpec().GetIncarnation() != call.GetHost().GetIncarnation() {
			return
		}
		member = true
		response.Offset = state.Offset()
		response.Leaving = host.GetLeaving()
		response.Alive = host.GetAlive()
		response.Sections = slices.Collect(state.SectionsSince(call.GetAppliedOffset()))
		for claim := range state.ClaimsOf(host.GetSpec().GetHost()) {
			response.Claims = append(response.Claims, proto.CloneOf(claim))
		}
		response.Shards = assignments(state, host)
	})
	slices.SortFunc(response.GetClaims(), func(a, b *wire.TaskState) int {
		return cmp.Compare(damaskspread.Token(a.GetToken()), damaskspread.Token(b.GetToken()))
	})
	slices.SortFunc(response.GetSections(), func(a, b *wire.SectionState) int {
		return cmp.Compare(a.GetSection(), b.GetSection())
	})
	return response, member
}

func assignments(state *replayer.State, host *wire.HostState) []*wire.ShardAssignment {
	var assigned []*wire.ShardAssignment
	id := host.GetSpec().GetHost()
	for _, shard := range state.Shards(host.GetSpec().GetEndpoint().GetService()) {
		if shard.GetPrimary().GetHost() != id && shard.GetSecondary().GetHost() != id {
			continue
		}
		assigned = append(assigned, &wire.ShardAssignment{
			State:            shard,
			PrimaryAddress:   addressOf(state, shard.GetPrimary()),
			SecondaryAddress: addressOf(state, shard.GetSecondary()),
		})
	}
	return assigned
}

func addressOf(state *replayer.State, ref *wire.HostRef) string {
	host, ok := state.Host(ref.GetHost())
	if !ok {
		return ""
	}
	return host.GetSpec().GetAddress()
}

// attach makes the host a member attached to this process. It reports whether
// the agent has to join again.
func (f *Feeder) attach(ctx context.Context, call *wire.SyncRequest) (rejoin bool, err error) {
	ref := call.GetHost()
	current, expired, attached, replaces := false, false, false, false
	f.Follower.View(func(state *replayer.State) {
		host, ok := state.Host(ref.GetHost())
		current = ok && host.GetSpec().GetIncarnation() == ref.GetIncarnation()
		expired = current && host.GetExpired()
		attached = current && host.GetEntry() == f.Entry.GetEntry()
		replaces = call.GetReplaces() != nil &&
			damaskspread.Token(call.GetReplaces()) == damaskspread.Token(state.JoinedPosition(ref.GetHost()))
	})
	switch {
	case expired, !current && (call.GetSpec() == nil || !replaces):
		return true, nil
	case !current:
		return false, f.join(ctx, call)
	}
	s := f.adopt(call)
	if !attached {
		f.requestAttachment(s)
	}
	return false, nil
}

// adopt opens the session of a member.
func (f *Feeder) adopt(call *wire.SyncRequest) *session {
	var service string
	f.Follower.View(func(state *replayer.State) {
		if host, ok := state.Host(call.GetHost().GetHost()); ok {
			service = host.GetSpec().GetEndpoint().GetService()
		}
	})
	s := f.session(call.GetHost())
	f.mu.Lock()
	s.service = service
	f.mu.Unlock()
	return s
}
