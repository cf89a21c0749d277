package replayer

import (
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

func newHost(state *wire.HostState) *host {
	return &host{
		state:  state,
		claims: map[string]*wire.TaskState{},
		used:   &wire.Resources{},
	}
}

func (s *State) applyHostJoined(c Change, joined *wire.HostJoined) {
	spec := joined.GetSpec()
	id := spec.GetHost()
	// An empty reference stands for a vacant shard role.
	if id == "" || spec.GetIncarnation() == "" {
		s.void(c, id, damaskspread.ReasonInvalid, "the host has no id or incarnation")
		return
	}
	h := s.hosts[id]
	if h != nil && h.state.GetSpec().GetIncarnation() == spec.GetIncarnation() {
		s.void(c, id, damaskspread.ReasonConflict, "this incarnation already joined")
		return
	}
	// A join that was delayed past that of a newer incarnation would release
	// claims that the newer one is running.
	if joined.GetReplaces() != nil && !damaskspread.SamePosition(joined.GetReplaces(), s.JoinedPosition(id)) {
		s.void(c, id, damaskspread.ReasonConflict, "another incarnation joined since")
		return
	}
	state := &wire.HostState{
		Spec:   proto.CloneOf(spec),
		Entry:  joined.GetEntry(),
		Alive:  c.position,
		Joined: c.position,
	}
	if h == nil {
		h = newHost(state)
		s.hosts[id] = h
		s.index(h)
	} else {
		s.replaceHost(c, h, state)
	}
	s.changed(c, HostChanged, id)
	s.assignShards(c, spec.GetEndpoint().GetService())
}

// JoinedPosition returns where the latest incarnation of a host joined, offset
// -1 if the host is unknown.
func (s *State) JoinedPosition(id string) *wire.Position {
	if h, ok := s.hosts[id]; ok {
		return h.state.GetJoined()
	}
	return &wire.Position{
		Offset: -1,
	}
}

// replaceHost moves a host to a new incarnation. A new worker boot proves that
// the tasks of the old one are gone.
func (s *State) replaceHost(c Change, h *host, state *wire.HostState) {
	old := h.state.GetSpec()
	if old.GetWorkerBoot() != state.GetSpec().GetWorkerBoot() {
		s.releaseClaims(c, h, "the worker restarted")
	} else {
		state.ConsecutiveFailures = h.state.GetConsecutiveFailures()
	}
	if old.GetEndpoint().GetService() == state.GetSpec().GetEndpoint().GetService() {
		h.state = state
		return
	}
	s.unindex(h)
	h.state = state
	s.index(h)
	s.assignShards(c, old.GetEndpoint().GetService())
}

func (s *State) applyHostsAlive(c Change, alive *wire.HostsAlive) {
	for _, ref := range alive.GetHosts() {
		h := s.hosts[ref.GetHost()]
		if h == nil || h.state.GetSpec().GetIncarnation() != ref.GetIncarnation() || h.state.GetExpired() {
			s.void(c, ref.GetHost(), damaskspread.ReasonConflict, "the incarnation is not a member")
			continue
		}
		h.state.Alive = c.position
		h.state.Entry = alive.GetEntry()
		s.changed(c, HostChanged, ref.GetHost())
	}
}

func (s *State) applyHostLeaving(c Change, leaving *wire.HostLeaving) {
	ref := leaving.GetHost()
	h := s.hosts[ref.GetHost()]
	if h == nil || h.state.GetSpec().GetIncarnation() != ref.GetIncarnation() {
		s.void(c, ref.GetHost(), damaskspread.ReasonNotFound, "the incarnation is not a member")
		return
	}
	h.state.Leaving = true
	s.changed(c, HostChanged, ref.GetHost())
	s.assignShards(c, h.state.GetSpec().GetEndpoint().GetService())
}

func (s *State) applyHostExpired(c Change, expired *wire.HostExpired) {
	ref := expired.GetHost()
	h := s.hosts[ref.GetHost()]
	if h == nil || h.state.GetSpec().GetIncarnation() != ref.GetIncarnation() ||
		!damaskspread.SamePosition(h.state.GetAlive(), expired.GetAlive()) {
		s.void(c, ref.GetHost(), damaskspread.ReasonConflict, "the host was alive later")
		return
	}
	h.state.Expired = true
	s.changed(c, HostChanged, ref.GetHost())
	s.assignShards(c, h.state.GetSpec().GetEndpoint().GetService())
}

// applyHostForgotten keeps hosts that never return from filling the state. A
// host with claims stays: they are released by the rules for its worker.
func (s *State) applyHostForgotten(c Change, forgotten *wire.HostForgotten) {
	ref := forgotten.GetHost()
	h := s.hosts[ref.GetHost()]
	if h == nil || h.state.GetSpec().GetIncarnation() != ref.GetIncarnation() || !h.state.GetExpired() ||
		len(h.claims) > 0 || !damaskspread.SamePosition(h.state.GetAlive(), forgotten.GetAlive()) {
		s.void(c, ref.GetHost(), damaskspread.ReasonConflict, "the host is a member, holds claims or was alive later")
		return
	}
	s.unindex(h)
	delete(s.hosts, ref.GetHost())
	s.changed(c, HostChanged, ref.GetHost())
}

func (s *State) applyHostReleased(c Change, released *wire.HostReleased) {
	id := released.GetHost()
	h := s.hosts[id]
	if h == nil || h.state.GetSpec().GetWorkerBoot() != released.GetWorkerBoot() {
		s.void(c, id, damaskspread.ReasonConflict, "the worker restarted since")
		return
	}
	// An operator's word that the host is lost needs no alive position. A fence
	// does: the host may have joined again and taken claims since.
	if released.GetReason() != wire.ReleaseReason_RELEASE_REASON_DECLARED_LOST &&
		!damaskspread.SamePosition(h.state.GetAlive(), released.GetAlive()) {
		s.void(c, id, damaskspread.ReasonConflict, "the host was alive later")
		return
	}
	// A released host must not take a claim that its agent would start beside
	// the successor of a released one, so the incarnation has to join again.
	h.state.Expired = true
	s.releaseClaims(c, h, "the host was released")
	s.changed(c, HostChanged, id)
	s.assignShards(c, h.state.GetSpec().GetEndpoint().GetService())
}

func (s *State) releaseClaims(c Change, h *host, reason string) {
	for _, id := range sortedKeys(h.claims) {
		s.requeue(c, h.claims[id], reason)
	}
}
