package feeder

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// session is the state of the long polls of one agent incarnation.
type session struct {
	ref     *wire.HostRef
	service string

	mu       sync.Mutex
	lastSync time.Time
	wake     chan struct{}
	// attaching is true while the attachment is queued or being recorded.
	attaching bool
	// sentOffset and hash are the offset and content hash of the last
	// response. Nothing needs sending if the agent has applied that offset and
	// the content has the same hash. sentOffset is -2 before the first response,
	// which no agent reports as applied.
	sentOffset int64
	hash       uint64
}

// session returns the session of an incarnation. It creates one if there
// is none or if the host's session is of another incarnation.
func (f *Feeder) session(ref *wire.HostRef) *session {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sessions[ref.GetHost()]
	if s == nil || s.ref.GetIncarnation() != ref.GetIncarnation() {
		s = &session{
			ref:        proto.CloneOf(ref),
			wake:       make(chan struct{}),
			sentOffset: -2,
			lastSync:   f.Clock.Now(),
		}
		f.sessions[ref.GetHost()] = s
	}
	return s
}

// lastSync returns when an incarnation last called Sync.
func (f *Feeder) lastSync(ref *wire.HostRef) (time.Time, bool) {
	f.mu.Lock()
	s := f.sessions[ref.GetHost()]
	f.mu.Unlock()
	if s == nil || s.ref.GetIncarnation() != ref.GetIncarnation() {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSync, true
}

// touch records the time of a Sync.
func (s *session) touch(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSync = now
}

// changed returns a channel that the next signal closes.
func (s *session) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wake
}

func (s *session) signal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.wake)
	s.wake = make(chan struct{})
}

// isSent reports whether an agent that has applied an offset already has the
// content with this hash.
func (s *session) isSent(applied int64, hash uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentOffset == applied && s.hash == hash
}

func (s *session) markSent(offset int64, hash uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentOffset, s.hash = offset, hash
}

// contentHash returns a hash of the claims, the shards and the other fields of a
// response whose change ends a long poll. Sections are compared by offset.
func contentHash(response *wire.SyncResponse) uint64 {
	digest := xxhash.New()
	marshal := proto.MarshalOptions{
		Deterministic: true,
	}
	write := func(message proto.Message) {
		data, _ := marshal.Marshal(message)
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(data))))
		_, _ = digest.Write(data)
	}
	for _, claim := range response.GetClaims() {
		write(claim)
	}
	for _, shard := range response.GetShards() {
		write(shard)
	}
	write(response.GetAlive())
	flags := byte(0)
	if response.GetLeaving() {
		flags = 1
	}
	_, _ = digest.Write([]byte{flags})
	_, _ = digest.Write(binary.LittleEndian.AppendUint32(nil, uint32(response.GetBatchSharePermille())))
	return digest.Sum64()
}

// runWakeups wakes the long polls that a change of the replayed state affects.
func (f *Feeder) runWakeups(ctx context.Context) error {
	changes := f.Follower.Subscribe()
	defer changes.Close()
	for {
		batch, reload, err := changes.Next(ctx)
		if err != nil {
			return ignoreCanceled(err)
		}
		f.wake(batch, reload)
	}
}

// wake signals the sessions that the changes affect, or all sessions.
func (f *Feeder) wake(changes []replayer.Change, all bool) {
	hosts := map[string]bool{}
	services := map[string]bool{}
	f.Follower.View(func(state *replayer.State) {
		for _, change := range changes {
			switch change.Kind() {
			case replayer.SectionChanged:
				all = true
			case replayer.HostChanged:
				hosts[change.Subject()] = true
			case replayer.TaskChanged:
				hosts[change.PreviousHost()] = true
				if task, ok := state.Task(change.Subject()); ok {
					hosts[task.GetHost()] = true
				}
			case replayer.ShardChanged:
				services[change.Subject()] = true
			}
		}
	})
	for _, s := range f.affectedSessions(hosts, services, all) {
		s.signal()
	}
}

func (f *Feeder) affectedSessions(hosts, services map[string]bool, all bool) []*session {
	f.mu.Lock()
	defer f.mu.Unlock()
	var affectedSessions []*session
	if !all && len(services) == 0 {
		for host := range hosts {
			if s := f.sessions[host]; s != nil {
				affectedSessions = append(affectedSessions, s)
			}
		}
		return affectedSessions
	}
	for host, s := range f.sessions {
		if all || hosts[host] || services[s.service] {
			affectedSessions = append(affectedSessions, s)
		}
	}
	return affectedSessions
}
