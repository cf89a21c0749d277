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
	// An empty host reference means that a shard's role is vacant.
	if id == "" || spec.GetIncarnation() == "" {
		s.ignore(c, id, damaskspread.ReasonInvalid, "the host has no id or incarnation")
		return
	}
	h := s.hosts[id]
	if h != nil && h.state.GetSpec().GetIncarnation() == spec.GetIncarnation() {
		s.ignore(c, id, damaskspread.ReasonConflict, "this incarnation has already joined")
		return
	}
	// A delayed join that follows the join of a newer incarnation would release
	// claims that the newer incarnation runs.
	if joined.GetReplaces() != nil && !damaskspread.SamePosition(joined.GetReplaces(), s.JoinedPosition(id)) {
		s.ignore(c, id, damaskspread.ReasonConflict, "another incarnation joined after the position that this record replaces")
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
		s.addToService(h)
	} else {
		s.replaceHost(c, h, state)
	}
	s.addChange(c, HostChanged, id)
	s.assignShards(c, spec.GetEndpoint().GetService())
}

// JoinedPosition returns the position of the record with which the latest
// incarnation of a host joined. It has offset -1 if the host is unknown.
func (s *State) JoinedPosition(id string) *wire.Position {
	if h, ok := s.hosts[id]; ok {
		return h.state.GetJoined()
	}
	return &wire.Position{
		Offset: -1,
	}
}

// replaceHost replaces a host's state by that of a new incarnation. A new worker
// boot proves that the tasks of the old boot no longer run.
func (s *State) replaceHost(c Change, h *host, state *wire.HostState) {
	old := h.state.GetSpec()
	if old.GetWorkerBoot() != state.GetSpec().GetWorkerBoot() {
		s.releaseClaims(c, h, "the worker restarted")
	} else {
		state.ConsecutiveFailures = h.state.GetConsecutiveFailures()
		state.FailedElapsedMs = h.state.GetFailedElapsedMs()
		state.FailingSinceElapsedMs = h.state.GetFailingSinceElapsedMs()
	}
	if old.GetEndpoint().GetService() == state.GetSpec().GetEndpoint().GetService() {
		h.state = state
		return
	}
	s.removeFromService(h)
	h.state = state
	s.addToService(h)
	s.assignShards(c, old.GetEndpoint().GetService())
}

// findIncarnation returns the host if its current incarnation is the referenced
// one, or else nil.
func (s *State) findIncarnation(ref *wire.HostRef) *host {
	h := s.hosts[ref.GetHost()]
	if h == nil || h.state.GetSpec().GetIncarnation() != ref.GetIncarnation() {
		return nil
	}
	return h
}

func (s *State) applyHostsAlive(c Change, alive *wire.HostsAlive) {
	for _, ref := range alive.GetHosts() {
		h := s.findIncarnation(ref)
		if h == nil || h.state.GetExpired() {
			s.ignore(c, ref.GetHost(), damaskspread.ReasonConflict, "the host is unknown, is expired or has another incarnation")
			continue
		}
		h.state.Alive = c.position
		h.state.SilentMs = 0
		h.state.Entry = alive.GetEntry()
		s.addChange(c, HostChanged, ref.GetHost())
	}
}

func (s *State) applyHostsSilent(c Change, silent *wire.HostsSilent) {
	for _, silence := range silent.GetHosts() {
		h := s.hosts[silence.GetHost()]
		if h == nil || !damaskspread.SamePosition(h.state.GetAlive(), silence.GetAlive()) {
			s.ignore(c, silence.GetHost(), damaskspread.ReasonConflict, "the host is unknown or reported alive after the position in the record")
			continue
		}
		h.state.SilentMs = max(h.state.GetSilentMs(), silence.GetSilentMs())
		s.addChange(c, HostChanged, silence.GetHost())
	}
}

func (s *State) applyHostLeaving(c Change, leaving *wire.HostLeaving) {
	ref := leaving.GetHost()
	h := s.findIncarnation(ref)
	if h == nil {
		s.ignore(c, ref.GetHost(), damaskspread.ReasonNotFound, "the host is unknown or has another incarnation")
		return
	}
	if !h.state.GetLeaving() {
		h.state.LeavingElapsedMs = s.elapsedMs
	}
	h.state.Leaving = true
	s.addChange(c, HostChanged, ref.GetHost())
	s.assignShards(c, h.state.GetSpec().GetEndpoint().GetService())
}

func (s *State) applyHostExpired(c Change, expired *wire.HostExpired) {
	ref := expired.GetHost()
	h := s.findIncarnation(ref)
	if h == nil || !damaskspread.SamePosition(h.state.GetAlive(), expired.GetAlive()) {
		s.ignore(c, ref.GetHost(), damaskspread.ReasonConflict, "the host is unknown, joined again or reported alive after the position in the record")
		return
	}
	h.state.Expired = true
	s.addChange(c, HostChanged, ref.GetHost())
	s.assignShards(c, h.state.GetSpec().GetEndpoint().GetService())
}

// applyHostForgotten removes an expired host, so that hosts that never return do
// not accumulate. A host stays while it has claims, which end separately.
func (s *State) applyHostForgotten(c Change, forgotten *wire.HostForgotten) {
	ref := forgotten.GetHost()
	h := s.findIncarnation(ref)
	if h == nil || !h.state.GetExpired() || len(h.claims) > 0 ||
		!damaskspread.SamePosition(h.state.GetAlive(), forgotten.GetAlive()) {
		s.ignore(c, ref.GetHost(), damaskspread.ReasonConflict, "the host is unknown, not expired, has claims, joined again or reported alive after the position in the record")
		return
	}
	s.removeFromService(h)
	delete(s.hosts, ref.GetHost())
	s.addChange(c, HostChanged, ref.GetHost())
}

func (s *State) applyHostReleased(c Change, released *wire.HostReleased) {
	id := released.GetHost()
	h := s.hosts[id]
	if h == nil || h.state.GetSpec().GetWorkerBoot() != released.GetWorkerBoot() {
		s.ignore(c, id, damaskspread.ReasonConflict, "the host is unknown or its worker has another boot")
		return
	}
	// A host that an operator declared lost is released whatever its last alive
	// position. For other reasons the position is checked, because the host may
	// have joined again and taken claims meanwhile.
	if released.GetReason() != wire.ReleaseReason_RELEASE_REASON_DECLARED_LOST &&
		!damaskspread.SamePosition(h.state.GetAlive(), released.GetAlive()) {
		s.ignore(c, id, damaskspread.ReasonConflict, "the host reported alive after the position in the record")
		return
	}
	// The host must join again before it takes claims. Otherwise its agent could
	// start a claim alongside the next attempt of a released task.
	h.state.Expired = true
	s.releaseClaims(c, h, "the host was released")
	s.addChange(c, HostChanged, id)
	s.assignShards(c, h.state.GetSpec().GetEndpoint().GetService())
}

func (s *State) releaseClaims(c Change, h *host, reason string) {
	for _, id := range sortedKeys(h.claims) {
		s.requeue(c, h.claims[id], reason)
	}
}
