// Package replayer applies the records of the state stream in log order. The
// result is the replayed state, which is the same in all processes. Package
// follower reads the log and passes its batches to this package.
//
// It is a deterministic state machine without goroutines, clock or other input:
// two processes that applied the same records have the same state. A State is
// not safe for concurrent use; the follower serializes access. Messages returned
// by accessors are shared and must not be modified.
package replayer

import (
	"iter"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

// maxFinished is how many finished tasks are kept for listings and for their
// idempotency keys. It is one busy day at the design size.
const maxFinished = 40_000

// State is the replayed state, which results from the records applied so far.
type State struct {
	offset         int64
	sections       map[string]*wire.SectionState
	zonesOut       map[string]bool // zones out of service
	hosts          map[string]*host
	hostsByService map[string][]*host
	entries        map[string]*wire.EntryState
	tasks          map[string]*wire.TaskState
	tasksByKey     map[teamKey]string
	pending        map[string]*wire.TaskState
	finished       []string // ids in the order in which the tasks finished
	shards         map[string][]*wire.ShardState
	routesVersion  int64
	changes        []Change // of the batch in progress
	finishedHead   int      // index in finished of the oldest task that is kept
	// sectionsOffset is the offset of the latest section change.
	sectionsOffset int64
	// elapsedMs is the time that entry processes have measured so far. It starts at 1,
	// as 0 stands for unknown where it is stored.
	elapsedMs int64
}

type teamKey struct {
	team string
	key  string
}

type host struct {
	state  *wire.HostState
	claims map[string]*wire.TaskState
	used   *wire.Resources // sum of the claims
	// weights holds the host's weight for each shard of its service.
	weights [ShardCount]uint64
}

// New returns the empty state, before the first record.
func New() *State {
	return &State{
		offset:         -1,
		routesVersion:  -1,
		sectionsOffset: -1,
		elapsedMs:      1,
		sections:       map[string]*wire.SectionState{},
		zonesOut:       map[string]bool{},
		hosts:          map[string]*host{},
		hostsByService: map[string][]*host{},
		entries:        map[string]*wire.EntryState{},
		tasks:          map[string]*wire.TaskState{},
		tasksByKey:     map[teamKey]string{},
		pending:        map[string]*wire.TaskState{},
		shards:         map[string][]*wire.ShardState{},
	}
}

// Offset returns the log offset of the last applied batch, -1 before the first.
func (s *State) Offset() int64 { return s.offset }

// RoutesVersion returns a version of the set of endpoints that take requests. It
// changes when a host joins, leaves or expires and when a zone goes in or out of
// service. While it is unchanged, readers need not list the hosts again.
func (s *State) RoutesVersion() int64 { return s.routesVersion }

// Section returns the current state of a configuration section, also if it is
// removed, and whether it was ever published.
func (s *State) Section(name string) (*wire.SectionState, bool) {
	section, ok := s.sections[name]
	return section, ok
}

// Sections iterates, in no order, over all sections, including removed ones.
func (s *State) Sections() iter.Seq[*wire.SectionState] { return values(s.sections) }

// SectionsSince iterates over the sections that changed after an offset, in no
// order. If none did, the common case when polling, it visits no section.
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

// ZoneInService reports whether work may start in a zone according to its
// section. A zone without a section is in service.
func (s *State) ZoneInService(zone string) bool { return !s.zonesOut[zone] }

// ZoneSection returns the section of a zone, or nil if it was never published.
func (s *State) ZoneSection(zone string) *wire.SectionState {
	return s.sections[zoneSectionPrefix+zone]
}

// Host returns a known host, also if it is leaving or expired.
func (s *State) Host(id string) (*wire.HostState, bool) {
	h, ok := s.hosts[id]
	if !ok {
		return nil, false
	}
	return h.state, true
}

// Hosts iterates, in no order, over all known hosts.
func (s *State) Hosts() iter.Seq[*wire.HostState] {
	return func(yield func(*wire.HostState) bool) {
		for _, h := range s.hosts {
			if !yield(h.state) {
				return
			}
		}
	}
}

// Free returns the capacity of a host minus its endpoint's reservation and its
// claims, zero for an unknown host. Values are negative if the host joined again
// with less capacity than its reservation and claims need.
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

// ClaimCount returns the number of tasks that are claimed on a host.
func (s *State) ClaimCount(id string) int {
	h, ok := s.hosts[id]
	if !ok {
		return 0
	}
	return len(h.claims)
}

// ClaimsOf iterates, in no order, over the tasks that are claimed on a host.
func (s *State) ClaimsOf(id string) iter.Seq[*wire.TaskState] {
	h, ok := s.hosts[id]
	if !ok {
		return func(func(*wire.TaskState) bool) {}
	}
	return values(h.claims)
}

// Entries iterates, in no order, over the known entry processes.
func (s *State) Entries() iter.Seq[*wire.EntryState] { return values(s.entries) }

// Entry returns a known entry process.
func (s *State) Entry(id string) (*wire.EntryState, bool) {
	entry, ok := s.entries[id]
	return entry, ok
}

// Task returns a task by id. Only the latest finished tasks are kept.
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

// Tasks iterates, in no order, over all known tasks.
func (s *State) Tasks() iter.Seq[*wire.TaskState] { return values(s.tasks) }

// Pending iterates, in no order, over the tasks that wait for a claim.
func (s *State) Pending() iter.Seq[*wire.TaskState] { return values(s.pending) }

// PendingCount returns the number of tasks that wait for a claim.
func (s *State) PendingCount() int { return len(s.pending) }

// Shards returns the shards of a service, indexed by shard number. It is empty
// until the first endpoint of the service joins.
func (s *State) Shards(service string) []*wire.ShardState { return s.shards[service] }

// Services iterates, in no order, over the services that have or had an endpoint.
func (s *State) Services() iter.Seq[string] {
	return func(yield func(string) bool) {
		for service := range s.shards {
			if !yield(service) {
				return
			}
		}
	}
}

// IsMember reports whether a host takes new work, that is, whether it is neither
// leaving nor expired. The host must be known.
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

// Fits reports whether need is at most free in every resource.
func Fits(need, free *wire.Resources) bool {
	return need.GetMillicores() <= free.GetMillicores() &&
		need.GetMemoryBytes() <= free.GetMemoryBytes() &&
		need.GetAccelerators() <= free.GetAccelerators()
}
