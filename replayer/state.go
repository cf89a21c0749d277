// Package replayer turns the records of the state stream, in their order,
// into the state that every process of the system agrees on.
//
// It is a pure state machine: no goroutine, no clock, no input besides the
// records. Two processes that applied the same records hold the same state.
// A State is not safe for concurrent use; the follower guards it. Messages
// returned by accessors are shared and must not be modified.
package replayer

import (
	"iter"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

// finishedKept bounds how many finished tasks stay known for listings and for
// their idempotency keys. It is one busy day of the size to design for.
const finishedKept = 40_000

// State is the replayed state.
type State struct {
	offset       int64
	sections     map[string]*wire.SectionState
	zonesOut     map[string]bool
	hosts        map[string]*host
	byService    map[string][]*host
	entries      map[string]*wire.EntryState
	tasks        map[string]*wire.TaskState
	tasksByKey   map[teamKey]string
	pending      map[string]*wire.TaskState
	finished     []string
	shards       map[string][]*wire.ShardState
	routesAt     int64
	changes      []Change
	finishedHead int
	// sectionsOffset is the offset of the last change of a section.
	sectionsOffset int64
}

type teamKey struct {
	team string
	key  string
}

type host struct {
	state  *wire.HostState
	claims map[string]*wire.TaskState
	used   *wire.Resources
	// ranks are the weights of the host for the shards of its service.
	ranks [ShardCount]uint64
}

// New returns the state before the first record.
func New() *State {
	return &State{
		offset:         -1,
		routesAt:       -1,
		sectionsOffset: -1,
		sections:       map[string]*wire.SectionState{},
		zonesOut:       map[string]bool{},
		hosts:          map[string]*host{},
		byService:      map[string][]*host{},
		entries:        map[string]*wire.EntryState{},
		tasks:          map[string]*wire.TaskState{},
		tasksByKey:     map[teamKey]string{},
		pending:        map[string]*wire.TaskState{},
		shards:         map[string][]*wire.ShardState{},
	}
}

// Offset is the log offset of the last applied batch, -1 before the first.
func (s *State) Offset() int64 { return s.offset }

// RoutesAt identifies the last change of which endpoints take requests: hosts
// that came, left or expired, and zones in or out of service. Equal values mean
// equal routes, so a reader need not list the hosts again after each record.
func (s *State) RoutesAt() int64 { return s.routesAt }

// Section returns the current state of a configuration section, including a
// removed one.
func (s *State) Section(name string) (*wire.SectionState, bool) {
	section, ok := s.sections[name]
	return section, ok
}

// Sections iterates over all sections, including removed ones, in no order.
func (s *State) Sections() iter.Seq[*wire.SectionState] { return values(s.sections) }

// SectionsSince iterates over the sections that changed after an offset. It
// costs nothing if none did, which is the common case of a poll.
func (s *State) SectionsSince(offset int64) iter.Seq[*wire.SectionState] {
	return func(yield func(*wire.SectionState) bool) {
		if offset >= s.sectionsOffset {
			return
		}
		for _, section := range s.sections {
			if section.GetPosition().GetOffset() > offset && !yield(section) {
				return
			}
		}
	}
}

// ZoneInService reports whether operators let work start in the zone. A zone
// without a section is in service.
func (s *State) ZoneInService(zone string) bool { return !s.zonesOut[zone] }

// Host returns a member, also an expired or leaving one.
func (s *State) Host(id string) (*wire.HostState, bool) {
	h, ok := s.hosts[id]
	if !ok {
		return nil, false
	}
	return h.state, true
}

// Hosts iterates over all known hosts in no order.
func (s *State) Hosts() iter.Seq[*wire.HostState] {
	return func(yield func(*wire.HostState) bool) {
		for _, h := range s.hosts {
			if !yield(h.state) {
				return
			}
		}
	}
}

// Free returns what is left on a host after its endpoint's reservation and
// its claims. Values are negative if the host shrank below its commitments.
func (s *State) Free(id string) *wire.Resources {
	h, ok := s.hosts[id]
	if !ok {
		return &wire.Resources{}
	}
	free := proto.CloneOf(h.state.GetSpec().GetCapacity())
	if free == nil {
		free = &wire.Resources{}
	}
	subtract(free, h.state.GetSpec().GetEndpoint().GetReserved())
	subtract(free, h.used)
	return free
}

// ClaimCount is the number of tasks that are claimed on a host.
func (s *State) ClaimCount(id string) int {
	h, ok := s.hosts[id]
	if !ok {
		return 0
	}
	return len(h.claims)
}

// ClaimsOf iterates over the tasks that are claimed on a host.
func (s *State) ClaimsOf(id string) iter.Seq[*wire.TaskState] {
	h, ok := s.hosts[id]
	if !ok {
		return func(func(*wire.TaskState) bool) {}
	}
	return values(h.claims)
}

// Entries iterates over the known entry processes in no order.
func (s *State) Entries() iter.Seq[*wire.EntryState] { return values(s.entries) }

// Entry returns an entry process.
func (s *State) Entry(id string) (*wire.EntryState, bool) {
	entry, ok := s.entries[id]
	return entry, ok
}

// Task returns a task by id.
func (s *State) Task(id string) (*wire.TaskState, bool) {
	task, ok := s.tasks[id]
	return task, ok
}

// TaskByKey returns the task that a team submitted under an idempotency key.
func (s *State) TaskByKey(team, key string) (*wire.TaskState, bool) {
	id, ok := s.tasksByKey[teamKey{team: team, key: key}]
	if !ok {
		return nil, false
	}
	return s.Task(id)
}

// Tasks iterates over all known tasks in no order.
func (s *State) Tasks() iter.Seq[*wire.TaskState] { return values(s.tasks) }

// Pending iterates over the tasks that wait for a claim in no order.
func (s *State) Pending() iter.Seq[*wire.TaskState] { return values(s.pending) }

// PendingCount is the number of tasks that wait for a claim.
func (s *State) PendingCount() int { return len(s.pending) }

// Shards returns the shards of a service, indexed by shard number. It is
// empty until the first endpoint of the service joined.
func (s *State) Shards(service string) []*wire.ShardState { return s.shards[service] }

// Services iterates over the services that have had an endpoint.
func (s *State) Services() iter.Seq[string] {
	return func(yield func(string) bool) {
		for service := range s.shards {
			if !yield(service) {
				return
			}
		}
	}
}

// IsMember reports whether a host takes new work: it joined and is neither
// leaving nor expired.
func IsMember(state *wire.HostState) bool {
	return !state.GetLeaving() && !state.GetExpired()
}

func values[K comparable, V any](m map[K]V) iter.Seq[V] {
	return func(yield func(V) bool) {
		for _, v := range m {
			if !yield(v) {
				return
			}
		}
	}
}

func add(total, part *wire.Resources) {
	total.Millicores += part.GetMillicores()
	total.MemoryBytes += part.GetMemoryBytes()
	total.Accelerators += part.GetAccelerators()
}

func subtract(total, part *wire.Resources) {
	total.Millicores -= part.GetMillicores()
	total.MemoryBytes -= part.GetMemoryBytes()
	total.Accelerators -= part.GetAccelerators()
}

// Fits reports whether a need fits into what is free.
func Fits(need, free *wire.Resources) bool {
	return need.GetMillicores() <= free.GetMillicores() &&
		need.GetMemoryBytes() <= free.GetMemoryBytes() &&
		need.GetAccelerators() <= free.GetAccelerators()
}
