package replayer

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// ShardCount is the number of shards of each service's key space. It is fixed:
// another number would move keys to agents that don't know them.
const ShardCount = 64

// ShardOf returns the shard of an idempotency key.
func ShardOf(key string) int32 {
	return int32(xxhash.Sum64String(key) % ShardCount)
}

// assignShards gives every shard of a service a primary and a secondary after
// its membership changed.
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
	moved := false
	for i, shard := range shards {
		if next := s.assign(shard, members, c.position); next != nil {
			shards[i] = next
			moved = true
		}
	}
	if moved {
		s.changed(c, ShardChanged, service)
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

// members returns the hosts that can hold keys of a service, in no order.
func (s *State) members(service string) []*host {
	members := make([]*host, 0, len(s.byService[service]))
	for _, h := range s.byService[service] {
		if IsMember(h.state) {
			members = append(members, h)
		}
	}
	return members
}

// index files a host under the service of its endpoint. The ranks are hashed
// once: a change of membership compares those of every member for every shard.
func (s *State) index(h *host) {
	spec := h.state.GetSpec()
	service := spec.GetEndpoint().GetService()
	if service == "" {
		return
	}
	for i := range h.ranks {
		h.ranks[i] = rank(service, int32(i), spec.GetHost())
	}
	s.byService[service] = append(s.byService[service], h)
}

func (s *State) unindex(h *host) {
	service := h.state.GetSpec().GetEndpoint().GetService()
	s.byService[service] = slices.DeleteFunc(s.byService[service], func(other *host) bool { return other == h })
}

// assign returns the shard's next assignment, or nil if it stays. A role moves
// to a better ranked member only while the other role holds the whole history:
// first the member becomes secondary, then, once ready, primary.
func (s *State) assign(shard *wire.ShardState, members []*host, epoch *wire.Position) *wire.ShardState {
	i := shard.GetShard()
	primary := s.holder(shard, shard.GetPrimary())
	secondary := s.holder(shard, shard.GetSecondary())
	founded := shard.GetFounded()
	if primary == nil && secondary != nil {
		primary, secondary = secondary, nil
		founded = false
	}
	if primary == nil {
		primary = s.best(i, members, nil)
		founded = shard.GetEpoch() == nil
	}
	if secondary != nil && shard.GetReady() && s.outranks(i, secondary, primary) {
		primary, secondary = secondary, primary
		founded = false
	}
	if secondary == nil || shard.GetReady() {
		secondary = s.best(i, members, primary)
	}
	if sameHost(primary.spec(), shard.GetPrimary()) && sameHost(secondary.spec(), shard.GetSecondary()) {
		return nil
	}
	next := proto.CloneOf(shard)
	next.Founded = founded
	// The former primary holds the whole history after a swap.
	next.Ready = shard.GetReady() && sameHost(secondary.spec(), shard.GetPrimary()) && sameHost(primary.spec(), shard.GetSecondary())
	next.Primary = refOf(primary.spec())
	next.Secondary = refOf(secondary.spec())
	next.PreviousEpoch = shard.GetEpoch()
	next.Epoch = epoch
	return next
}

// holder returns the member that a role refers to, nil if it is none any more.
func (s *State) holder(shard *wire.ShardState, ref *wire.HostRef) *host {
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

// rank is the rendezvous weight of a member for a shard. It depends on the
// host's id only, so an agent that restarts gets the same shards back.
func rank(service string, shard int32, host string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0, byte(shard)})
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}

// outranks reports whether a member should be primary in place of another. A
// member in a zone out of service comes last, because it refuses new keys. It
// keeps its role until a better one holds the history, so that a zone that
// leaves loses no history.
func (s *State) outranks(shard int32, h, other *host) bool {
	if serves := s.serves(h); serves != s.serves(other) {
		return serves
	}
	return h.ranks[shard] > other.ranks[shard]
}

func (s *State) serves(h *host) bool { return !s.zonesOut[h.spec().GetZone()] }

// best returns the highest ranked member other than the primary, preferring
// another zone than the primary's. Of equal ranks the lower id wins.
func (s *State) best(shard int32, members []*host, primary *host) *host {
	var chosen *host
	zone := primary.spec().GetZone()
	for _, h := range members {
		if h == primary {
			continue
		}
		if chosen == nil || s.better(shard, zone, h, chosen) {
			chosen = h
		}
	}
	return chosen
}

// better compares two candidates for the role beside a primary in a zone.
func (s *State) better(shard int32, zone string, h, chosen *host) bool {
	if len(s.zonesOut) > 0 {
		if serves := s.serves(h); serves != s.serves(chosen) {
			return serves
		}
	}
	elsewhere := h.state.GetSpec().GetZone() != zone
	if zone != "" && elsewhere != (chosen.state.GetSpec().GetZone() != zone) {
		return elsewhere
	}
	if h.ranks[shard] != chosen.ranks[shard] {
		return h.ranks[shard] > chosen.ranks[shard]
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
			s.void(c, service, damaskspread.ReasonStaleEpoch, "the shard moved since")
			continue
		}
		shards[i] = proto.CloneOf(shards[i])
		shards[i].Ready = true
		s.changed(c, ShardChanged, service)
	}
	s.assignShards(c, service)
}
