package subscriber

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// View is the part of the replayed state that concerns one host, at one offset. It
// is immutable; the messages it returns are shared and must not be modified.
type View struct {
	offset     int64
	sections   map[string]*wire.SectionState
	claims     []*wire.TaskState
	shards     []*wire.ShardAssignment
	alive      *wire.Position
	leaving    bool
	joined     bool
	batchShare int
}

func newView() *View {
	return &View{
		offset:   nothingApplied,
		sections: map[string]*wire.SectionState{},
	}
}

// Offset is the offset of the replayed state that the view reflects; -1 if none.
func (v *View) Offset() int64 { return v.offset }

// Section returns a configuration section, including a removed one.
func (v *View) Section(name string) (*wire.SectionState, bool) {
	section, ok := v.sections[name]
	return section, ok
}

// Sections returns all sections in the order of their names, including removed
// ones.
func (v *View) Sections() []*wire.SectionState {
	sections := make([]*wire.SectionState, 0, len(v.sections))
	for _, name := range slices.Sorted(maps.Keys(v.sections)) {
		sections = append(sections, v.sections[name])
	}
	return sections
}

// Claims returns the tasks that are claimed for this host.
func (v *View) Claims() []*wire.TaskState { return v.claims }

// Shards returns the shards in which this host is primary or secondary.
func (v *View) Shards() []*wire.ShardAssignment { return v.shards }

// Alive is the position of the host's latest heartbeat record; nil before the join.
func (v *View) Alive() *wire.Position { return v.alive }

// Leaving reports whether a record that the host is leaving is applied.
func (v *View) Leaving() bool { return v.leaving }

// Joined reports whether the incarnation is a member.
func (v *View) Joined() bool { return v.joined }

// BatchShare is the share of its requested processors that each batch task on this
// host may use, in thousandths; 0 means no limit.
func (v *View) BatchShare() int { return v.batchShare }

// withoutMembership returns a view of a host that is not a member. It keeps the
// sections but has no offset, so that the next Sync fetches the whole state.
func (v *View) withoutMembership() *View {
	return &View{
		offset:   nothingApplied,
		sections: v.sections,
	}
}

// apply returns the view after a response and whether it differs from v in more
// than the offset.
func (v *View) apply(response *wire.SyncResponse) (*View, bool) {
	next := &View{
		offset:     response.GetOffset(),
		sections:   v.sections,
		claims:     response.GetClaims(),
		shards:     response.GetShards(),
		alive:      response.GetAlive(),
		leaving:    response.GetLeaving(),
		joined:     true,
		batchShare: int(response.GetBatchSharePermille()),
	}
	if response.GetUnchanged() {
		next.claims, next.shards = v.claims, v.shards
	}
	if len(response.GetSections()) > 0 {
		next.sections = maps.Clone(v.sections)
	}
	for _, section := range response.GetSections() {
		current := next.sections[section.GetSection()]
		// A lower position never replaces a higher one.
		if current == nil || damaskspread.Token(section.GetPosition()) >= damaskspread.Token(current.GetPosition()) {
			next.sections[section.GetSection()] = section
		}
	}
	differs := !v.joined || len(response.GetSections()) > 0 || !response.GetUnchanged() ||
		v.leaving != next.leaving || v.batchShare != next.batchShare || !proto.Equal(v.alive, next.alive)
	return next, differs
}
