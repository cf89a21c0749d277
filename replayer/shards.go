package replayer

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// ShardCount is the number of shards of each service's key space. It must not
// change: keys would move to agents that don't have their history.
const ShardCount = 64

// ShardOf returns the shard of an idempotency key, from 0 to ShardCount-1.
func ShardOf(key string) int32 {
	return int32(xxhash.Sum64String(key) % ShardCount)
}

// assignShards updates the primary and the secondary of every shard of a service
// after its members, their zones or the readiness of secondaries changed.
func (s *State) assignShards(c Change, service string) {
	if service == "" {
		return
	}
	members := s.members(service)
	shards := s.shards[service]
	if shards == nil {
		if len(members) == 0 {
			return
		}
		shards = newShards(service)
		s.shards[service] = shards
	}
	changed := false
	for i, shard := range shards {
		if next := s.nextAssignment(shard, members, c.position); next != nil {
			shards[i] = next
			changed = true
		}
	}
	if changed {
		s.addChange(c, ShardChanged, service)
	}
}

func newShards(service string) []*wire.ShardState {
	shards := make([]*wire.ShardState, ShardCount)
	for i := range shards {
		shards[i] = &wire.ShardState{
			Service: service,
			Shard:   int32(i),
		}
	}
	return shards
}

// members returns the members with an endpoint of a service, in no order.
func (s *State) members(service string) []*host {
	members := make([]*host, 0, len(s.hostsByService[service]))
	for _, h := range s.hostsByService[service] {
		if IsMember(h.state) {
			members = append(members, h)
		}
	}
	return members
}

// addToService adds a host to the service of its endpoint. It computes the
// weights once, because assignShards compares those of every member for every
// shard.
func (s *State) addToService(h *host) {
	spec := h.state.GetSpec()
	service := spec.GetEndpoint().GetService()
	if service == "" {
		return
	}
	for i := range h.weights {
		h.weights[i] = shardWeight(service, int32(i), spec.GetHost())
	}
	s.hostsByService[service] = append(s.hostsByService[service], h)
}

func (s *State) removeFromService(h *host) {
	service := h.state.GetSpec().GetEndpoint().GetService()
	s.hostsByService[service] = slices.DeleteFunc(s.hostsByService[service], func(other *host) bool { return other == h })
}

// nextAssignment returns a shard's new assignment, or nil if it is unchanged. The
// secondary takes over from a primary that is no longer a member. A better
// member replaces an agent only while the agent in the other role has the
// complete history: it becomes secondary first, and primary once ready.
func (s *State) nextAssignment(shard *wire.ShardState, members []*host, epoch *wire.Position) *wire.ShardState {
	i := shard.GetShard()
	primary := s.roleMember(shard, shard.GetPrimary())
	secondary := s.roleMember(shard, shard.GetSecondary())
	founded := shard.GetFounded()
	if primary == nil && secondary != nil {
		primary, secondary = secondary, nil
		founded = false
	}
	if primary == nil {
		primary = s.bestCandidate(i, members, nil)
		founded = shard.GetEpoch() == nil
	}
	if secondary != nil && shard.GetReady() && s.isBetterPrimary(i, secondary, primary) {
		primary, secondary = secondary, primary
		founded = false
	}
	if secondary == nil || shard.GetReady() {
		secondary = s.bestCandidate(i, members, primary)
	}
	if sameHost(primary.spec(), shard.GetPrimary()) && sameHost(secondary.spec(), shard.GetSecondary()) {
		return nil
	}
	next := proto.CloneOf(shard)
	next.Founded = founded
	// After a swap, the secondary is the former primary and has the complete
	// history.
	next.Ready = shard.GetReady() && sameHost(secondary.spec(), shard.GetPrimary()) && sameHost(primary.spec(), shard.GetSecondary())
	next.Primary = refOf(primary.spec())
	next.Secondary = refOf(secondary.spec())
	next.PreviousEpoch = shard.GetEpoch()
	next.Epoch = epoch
	return next
}

// roleMember returns the host that has a role of a shard, or nil if the role is
// vacant or the host is no longer a member of the service.
func (s *State) roleMember(shard *wire.ShardState, ref *wire.HostRef) *host {
	h := s.hosts[ref.GetHost()]
	if ref == nil || h == nil || !IsMember(h.state) || !sameHost(h.spec(), ref) ||
		h.spec().GetEndpoint().GetService() != shard.GetService() {
		return nil
	}
	return h
}

func (h *host) spec() *wire.HostSpec {
	if h == nil {
		return nil
	}
	return h.state.GetSpec()
}

func sameHost(spec *wire.HostSpec, ref *wire.HostRef) bool {
	return spec.GetHost() == ref.GetHost() && spec.GetIncarnation() == ref.GetIncarnation()
}

func refOf(spec *wire.HostSpec) *wire.HostRef {
	if spec == nil {
		return nil
	}
	return &wire.HostRef{
		Host:        spec.GetHost(),
		Incarnation: spec.GetIncarnation(),
	}
}

// shardWeight returns the rendezvous hashing weight of a host for a shard; a higher
// weight is preferred. It does not depend on the incarnation, so a restarted agent
// gets the same shards again.
func shardWeight(service string, shard int32, host string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0, byte(shard)})
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}

// isBetterPrimary reports whether member h should be primary instead of other.
// Members in a zone out of service come last, because they refuse new keys. They
// keep their role until a better member has the shard's keys and results, so that
// none are lost when a zone goes out of service.
func (s *State) isBetterPrimary(shard int32, h, other *host) bool {
	if inServiceZone := s.inServiceZone(h); inServiceZone != s.inServiceZone(other) {
		return inServiceZone
	}
	return h.weights[shard] > other.weights[shard]
}

func (s *State) inServiceZone(h *host) bool { return !s.zonesOut[h.spec().GetZone()] }

// bestCandidate returns the best member for the role of secondary, or for the
// role of primary if primary is nil. It returns nil if there is no other member.
func (s *State) bestCandidate(shard int32, members []*host, primary *host) *host {
	var chosen *host
	zone := primary.spec().GetZone()
	for _, h := range members {
		if h == primary {
			continue
		}
		if chosen == nil || s.isBetterCandidate(shard, zone, h, chosen) {
			chosen = h
		}
	}
	return chosen
}

// isBetterCandidate reports whether h is preferred to chosen as secondary of a
// primary in zone, or as primary if zone is empty. The order of preference is a
// zone in service, another zone than the primary's, the higher weight, and the
// lower host id.
func (s *State) isBetterCandidate(shard int32, zone string, h, chosen *host) bool {
	if len(s.zonesOut) > 0 {
		if inServiceZone := s.inServiceZone(h); inServiceZone != s.inServiceZone(chosen) {
			return inServiceZone
		}
	}
	otherZone := h.state.GetSpec().GetZone() != zone
	if zone != "" && otherZone != (chosen.state.GetSpec().GetZone() != zone) {
		return otherZone
	}
	if h.weights[shard] != chosen.weights[shard] {
		return h.weights[shard] > chosen.weights[shard]
	}
	return h.state.GetSpec().GetHost() < chosen.state.GetSpec().GetHost()
}

func (s *State) applyShardsReady(c Change, ready *wire.ShardsReady) {
	service := ready.GetService()
	shards := s.shards[service]
	for _, item := range ready.GetShards() {
		i := int(item.GetShard())
		if i < 0 || i >= len(shards) || !damaskspread.SamePosition(shards[i].GetEpoch(), item.GetEpoch()) ||
			shards[i].GetSecondary() == nil || !proto.Equal(shards[i].GetSecondary(), ready.GetHost()) {
			s.ignore(c, service, damaskspread.ReasonStaleEpoch, "the shard's epoch or secondary is not the one in the record")
			continue
		}
		shards[i] = proto.CloneOf(shards[i])
		shards[i].Ready = true
		s.addChange(c, ShardChanged, service)
	}
	s.assignShards(c, service)
}
