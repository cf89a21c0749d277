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
		if next := assign(shard, members, c.position); next != nil {
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

// members returns the hosts that can hold keys of a service, ordered by id.
func (s *State) members(service string) []*wire.HostSpec {
	var members []*wire.HostSpec
	for _, h := range s.hosts {
		spec := h.state.GetSpec()
		if IsMember(h.state) && spec.GetEndpoint().GetService() == service {
			members = append(members, spec)
		}
	}
	slices.SortFunc(members, func(a, b *wire.HostSpec) int {
		if a.GetHost() < b.GetHost() {
			return -1
		}
		return 1
	})
	return members
}

// assign returns the shard's next assignment, or nil if it stays. A role moves
// to a better ranked member only while the other role holds the whole history:
// first the member becomes secondary, then, once ready, primary.
func assign(shard *wire.ShardState, members []*wire.HostSpec, epoch *wire.Position) *wire.ShardState {
	next := proto.CloneOf(shard)
	created := shard.GetEpoch() == nil
	primary := find(members, shard.GetPrimary())
	secondary := find(members, shard.GetSecondary())
	if primary == nil && secondary != nil {
		primary, secondary = secondary, nil
		next.Founded = false
	}
	if primary == nil {
		primary = best(shard, members, nil)
		next.Founded = created
	}
	if secondary != nil && shard.GetReady() && rank(shard, secondary) > rank(shard, primary) {
		primary, secondary = secondary, primary
		next.Founded = false
	}
	if candidate := best(shard, members, primary); secondary == nil || (shard.GetReady() && candidate != secondary) {
		secondary = candidate
	}
	if sameHost(primary, shard.GetPrimary()) && sameHost(secondary, shard.GetSecondary()) {
		return nil
	}
	// The former primary holds the whole history after a swap.
	next.Ready = shard.GetReady() && sameHost(secondary, shard.GetPrimary()) && sameHost(primary, shard.GetSecondary())
	next.Primary = refOf(primary)
	next.Secondary = refOf(secondary)
	next.Epoch = epoch
	return next
}

func find(members []*wire.HostSpec, ref *wire.HostRef) *wire.HostSpec {
	for _, spec := range members {
		if sameHost(spec, ref) {
			return spec
		}
	}
	return nil
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
func rank(shard *wire.ShardState, spec *wire.HostSpec) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(shard.GetService())
	_, _ = digest.Write([]byte{0, byte(shard.GetShard())})
	_, _ = digest.WriteString(spec.GetHost())
	return digest.Sum64()
}

// best returns the highest ranked member other than the primary, preferring
// another zone than the primary's.
func best(shard *wire.ShardState, members []*wire.HostSpec, primary *wire.HostSpec) *wire.HostSpec {
	var chosen *wire.HostSpec
	var chosenRank uint64
	chosenElsewhere := false
	for _, spec := range members {
		if spec == primary {
			continue
		}
		elsewhere := primary != nil && spec.GetZone() != primary.GetZone()
		r := rank(shard, spec)
		if chosen == nil || (elsewhere && !chosenElsewhere) || (elsewhere == chosenElsewhere && r > chosenRank) {
			chosen, chosenRank, chosenElsewhere = spec, r, elsewhere
		}
	}
	return chosen
}

func (s *State) applyShardsReady(c Change, ready *wire.ShardsReady) {
	service := ready.GetService()
	shards := s.shards[service]
	for _, item := range ready.GetShards() {
		i := int(item.GetShard())
		if i < 0 || i >= len(shards) || !samePosition(shards[i].GetEpoch(), item.GetEpoch()) ||
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
