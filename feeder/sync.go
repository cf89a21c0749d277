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

// Sync is the long poll of an agent. It returns when something changed for the
// host or when the wait, at most MaxSyncWait, is over.
func (f *Feeder) Sync(ctx context.Context, message *connect.Request[wire.SyncRequest]) (*connect.Response[wire.SyncResponse], error) {
	f.prepare()
	arrived := f.Clock.Now()
	request := message.Msg
	if request.GetHost().GetHost() == "" || request.GetHost().GetIncarnation() == "" {
		return nil, refusalError(connect.CodeInvalidArgument, damaskspread.NotRun(damaskspread.ReasonBadRequest, "host and incarnation are required"))
	}
	if !f.Follower.Ready() {
		return nil, refusalError(connect.CodeUnavailable, damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "the first replay is not complete"))
	}
	if f.isLeaving() {
		return nil, refusalError(connect.CodeUnavailable, damaskspread.NotRun(damaskspread.ReasonLeaving, "this entry process is leaving; use another one"))
	}
	f.passObservations(request)
	wait := min(max(time.Duration(request.GetWaitMs())*time.Millisecond, 0), f.MaxSyncWait)
	timeout := f.Clock.After(wait)
	if err := f.awaitApplied(ctx, timeout, request.GetAppliedOffset()); err != nil {
		return nil, err
	}
	// No session is opened before this point: a request of a replaced incarnation
	// must not replace the session of the current one.
	if rejoin, err := f.attach(ctx, request); err != nil || rejoin {
		return f.rejoinResponse(request), err
	}
	return f.poll(ctx, request, arrived, timeout)
}

// rejoinResponse asks the agent to join with a new incarnation and names the
// position of the join that it replaces.
func (f *Feeder) rejoinResponse(request *wire.SyncRequest) *connect.Response[wire.SyncResponse] {
	response := &wire.SyncResponse{
		Rejoin: true,
		AgeUs:  damaskspread.AgeMicros(damaskspread.MaxAge),
	}
	f.Follower.View(func(state *replayer.State) {
		response.Joined = state.JoinedPosition(request.GetHost().GetHost())
	})
	return connect.NewResponse(response)
}

// passObservations passes the reported load and usage to their observers.
func (f *Feeder) passObservations(request *wire.SyncRequest) {
	host := request.GetHost().GetHost()
	if f.Loads != nil && request.GetLoad() != nil {
		f.Loads.ObserveLoad(host, request.GetLoad())
	}
	if f.Usage != nil && len(request.GetUsage()) > 0 {
		f.Usage.ObserveUsage(host, request.GetUsage())
	}
}

// awaitApplied waits until this process has applied the offset that the agent has
// applied. Before that, its responses would undo changes in the agent's view.
func (f *Feeder) awaitApplied(ctx context.Context, timeout <-chan time.Time, offset int64) error {
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
	case <-timeout:
		return refusalError(connect.CodeUnavailable, damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "this entry process has not applied offset %d yet", offset))
	}
}

// poll returns a response as soon as it differs from the last one sent, or when
// the wait is over.
func (f *Feeder) poll(ctx context.Context, request *wire.SyncRequest, arrived time.Time, timeout <-chan time.Time) (*connect.Response[wire.SyncResponse], error) {
	s := f.session(request.GetHost())
	timedOut := false
	for {
		s.touch(f.Clock.Now())
		changed := s.changed()
		response, member := f.buildResponse(request, arrived)
		if !member {
			return f.rejoinResponse(request), nil
		}
		hash := contentHash(response)
		unchanged := s.isSent(request.GetAppliedOffset(), hash)
		if !unchanged || len(response.GetSections()) > 0 || timedOut {
			if unchanged {
				response.Unchanged = true
				response.Claims, response.Shards = nil, nil
			}
			s.markSent(response.GetOffset(), hash)
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// buildResponse reads a response from one state and reports whether the host is a
// member. The age is read before the state, which then covers at least what the
// age refers to. It is read after the held time, so that a pause in between
// makes the agent overestimate its age and never underestimate it.
func (f *Feeder) buildResponse(request *wire.SyncRequest, arrived time.Time) (*wire.SyncResponse, bool) {
	response := &wire.SyncResponse{
		HeldUs: max(f.Clock.Since(arrived), 0).Microseconds(),
	}
	response.AgeUs = damaskspread.AgeMicros(f.Follower.Age())
	if f.BatchShare != nil {
		response.BatchSharePermille = int32(f.BatchShare(request.GetHost().GetHost()))
	}
	member := false
	f.Follower.View(func(state *replayer.State) {
		host, ok := state.Host(request.GetHost().GetHost())
		if !ok || host.GetExpired() || host.GetSpec().GetIncarnation() != request.GetHost().GetIncarnation() {
			return
		}
		member = true
		response.Offset = state.Offset()
		response.Leaving = host.GetLeaving()
		response.Alive = host.GetAlive()
		response.Sections = slices.Collect(state.SectionsSince(request.GetAppliedOffset()))
		for claim := range state.ClaimsOf(host.GetSpec().GetHost()) {
			response.Claims = append(response.Claims, proto.CloneOf(claim))
		}
		response.Shards = shardAssignments(state, host)
	})
	slices.SortFunc(response.GetClaims(), func(a, b *wire.TaskState) int {
		return cmp.Compare(damaskspread.Token(a.GetToken()), damaskspread.Token(b.GetToken()))
	})
	slices.SortFunc(response.GetSections(), func(a, b *wire.SectionState) int {
		return cmp.Compare(a.GetSection(), b.GetSection())
	})
	return response, member
}

// shardAssignments returns the shards in which the host is primary or secondary.
func shardAssignments(state *replayer.State, host *wire.HostState) []*wire.ShardAssignment {
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

// addressOf returns the address of a host, or "" if the host is unknown.
func addressOf(state *replayer.State, ref *wire.HostRef) string {
	host, ok := state.Host(ref.GetHost())
	if !ok {
		return ""
	}
	return host.GetSpec().GetAddress()
}

// attach makes sure that the host is a member and attached to this process. It
// reports whether the agent has to join with a new incarnation.
func (f *Feeder) attach(ctx context.Context, request *wire.SyncRequest) (rejoin bool, err error) {
	ref := request.GetHost()
	current, expired, attached, replaces := false, false, false, false
	f.Follower.View(func(state *replayer.State) {
		host, ok := state.Host(ref.GetHost())
		current = ok && host.GetSpec().GetIncarnation() == ref.GetIncarnation()
		expired = current && host.GetExpired()
		attached = current && host.GetEntry() == f.Entry.GetEntry()
		replaces = request.GetReplaces() != nil &&
			damaskspread.Token(request.GetReplaces()) == damaskspread.Token(state.JoinedPosition(ref.GetHost()))
	})
	switch {
	case expired, !current && (request.GetSpec() == nil || !replaces):
		return true, nil
	case !current:
		return false, f.join(ctx, request)
	}
	s := f.openSession(request)
	if !attached {
		f.queueAttachment(s)
	}
	return false, nil
}

// openSession opens the session of a member and sets its service.
func (f *Feeder) openSession(request *wire.SyncRequest) *session {
	var service string
	f.Follower.View(func(state *replayer.State) {
		if host, ok := state.Host(request.GetHost().GetHost()); ok {
			service = host.GetSpec().GetEndpoint().GetService()
		}
	})
	s := f.session(request.GetHost())
	f.mu.Lock()
	s.service = service
	f.mu.Unlock()
	return s
}
