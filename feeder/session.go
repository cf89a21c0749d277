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

// session is what this process knows of one agent incarnation.
type session struct {
	ref     *wire.HostRef
	service string

	mu       sync.Mutex
	lastSync time.Time
	wake     chan struct{}
	// attaching is set while a record of this agent's attachment is appended.
	attaching bool
	// answered and content describe the last response: if the agent applied
	// that offset and the content is the same, there is nothing to send.
	answered int64
	content  uint64
}

// session returns the session of an incarnation; another incarnation of the
// host replaces it.
func (f *Feeder) session(ref *wire.HostRef) *session {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sessions[ref.GetHost()]
	if s == nil || s.ref.GetIncarnation() != ref.GetIncarnation() {
		s = &session{
			ref:      proto.CloneOf(ref),
			wake:     make(chan struct{}),
			answered: -2,
			lastSync: f.Clock.Now(),
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

func (s *session) touch(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSync = now
}

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

// sameAs reports whether the agent already has the content.
func (s *session) sameAs(applied int64, content uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered == applied && s.content == content
}

func (s *session) remember(offset int64, content uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered, s.content = offset, content
}

// contentOf hashes the parts of a response that are left out when unchanged.
func contentOf(response *wire.SyncResponse) uint64 {
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

// runWakes turns changes of the state into wake-ups of the long polls that
// they concern.
func (f *Feeder) runWakes(ctx context.Context) error {
	changes := f.Follower.Subscribe()
	defer changes.Close()
	for {
		batch, reload, err := changes.Next(ctx)
		if err != nil {
			return ignoreDone(err)
		}
		f.wake(batch, reload)
	}
}

func (f *Feeder) wake(changes []replayer.Change, everyone bool) {
	hosts := map[string]bool{}
	services := map[string]bool{}
	f.Follower.View(func(state *replayer.State) {
		for _, change := range changes {
			switch change.Kind() {
			case replayer.SectionChanged:
				everyone = true
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
	for _, s := range f.concerned(hosts, services, everyone) {
		s.signal()
	}
}

func (f *Feeder) concerned(hosts, services map[string]bool, everyone bool) []*session {
	f.mu.Lock()
	defer f.mu.Unlock()
	var concerned []*session
	if !everyone && len(services) == 0 {
		for host := range hosts {
			if s := f.sessions[host]; s != nil {
				concerned = append(concerned, s)
			}
		}
		return concerned
	}
	for host, s := range f.sessions {
		if everyone || hosts[host] || services[s.service] {
			concerned = append(concerned, s)
		}
	}
	return concerned
}
