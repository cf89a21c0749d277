// Package subscriber keeps an agent's view of the scheduler's state. It is the
// client of the EntryService, which package feeder implements.
//
// A Subscriber owns the incarnation under which the host is a member, the view
// of the configuration and of the host's claims and shards, and the currency age
// of the view. Run is one goroutine that long-polls an entry process. It switches
// to another one when a call fails or when the entry process is itself not
// current.
//
// Undecided: whether an agent should prefer entry processes of its zone.
package subscriber

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// DefaultSyncWait bounds a poll without changes. The whole poll counts
	// towards the age, so the age of an idle agent reaches twice this value plus
	// the age of its entry process, together below 2 s.
	DefaultSyncWait = 500 * time.Millisecond
	// DefaultCallTimeout is how long a Sync may take beyond its wait. Two calls
	// that time out fit into member_hold.
	DefaultCallTimeout = 1500 * time.Millisecond
	// DefaultStaleAfter is the age of an entry process above which the agent
	// tries another one, well before currency_limit.
	DefaultStaleAfter = 2 * time.Second

	// staleSwitchInterval is the least time between two switches because of a
	// stale entry process. While all are stale, each switch makes another one
	// record the attachment.
	staleSwitchInterval = 5 * time.Second
	// stableAfter is how long a membership must last for the next rejoin to be
	// immediate. Earlier rejoins are delayed: two agents started for one host
	// would otherwise replace each other as fast as the log takes records.
	stableAfter = 30 * time.Second
	retryMin    = 50 * time.Millisecond
	retryMax    = 2 * time.Second
	// maxRejoinShift makes the longest delay before a rejoin 3.2 s.
	maxRejoinShift = 6
)

// Subscriber keeps the view of one agent. Set the exported fields before Run. Its
// methods may be called concurrently.
type Subscriber struct {
	// Spec describes the host. The Subscriber copies it and chooses the
	// incarnation.
	Spec *wire.HostSpec
	// Entries are the addresses of entry processes.
	Entries []string
	HTTP    *http.Client
	Clock   damaskspread.Clock
	// Load and Usage return what each Sync reports; both may be nil.
	Load  func() *wire.EndpointLoad
	Usage func() []*wire.UsageSample
	// Random chooses the first entry process and the jitter of delays; nil uses a
	// random seed, which is logged.
	Random *mathrand.Rand

	SyncWait    time.Duration
	CallTimeout time.Duration
	StaleAfter  time.Duration

	setup sync.Once

	mu          sync.Mutex
	spec        *wire.HostSpec
	view        *View
	changed     chan struct{}
	ageKnown    bool
	currentAsOf time.Time
	entryIndex  int
	// synced means that the entry process has responded to a Sync of the current
	// incarnation. Until then, each Sync carries the spec.
	synced bool
	// replaces is the joined position of the incarnation that the current one
	// replaces; nil until it is known.
	replaces *wire.Position
	joinedAt time.Time
	// rejoinDelay is the delay before the next Sync: retryMin doubled rejoinShift
	// times, or 0.
	rejoinDelay     time.Duration
	rejoinShift     int
	lastStaleSwitch time.Time
	leaving         bool
	// cancelSync cancels the last Sync.
	cancelSync context.CancelFunc
}

func (s *Subscriber) prepare() {
	s.setup.Do(func() {
		damaskspread.SetDefault(&s.SyncWait, DefaultSyncWait)
		damaskspread.SetDefault(&s.CallTimeout, DefaultCallTimeout)
		damaskspread.SetDefault(&s.StaleAfter, DefaultStaleAfter)
		if s.HTTP == nil {
			s.HTTP = http.DefaultClient
		}
		if s.Random == nil {
			seed := mathrand.Uint64()
			s.Random = mathrand.New(mathrand.NewPCG(seed, seed))
			log.Info().Uint64("seed", seed).Msg("subscriber random seed")
		}
		s.changed = make(chan struct{})
		s.view = newView()
		s.spec = proto.CloneOf(s.Spec)
		s.spec.Incarnation = newID()
		if len(s.Entries) > 0 {
			s.entryIndex = s.Random.IntN(len(s.Entries))
		}
	})
}

// Age implements damaskspread.Currency. It is MaxAge until an entry process
// that has replayed the log responds.
func (s *Subscriber) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ageKnown {
		return damaskspread.MaxAge
	}
	return max(s.Clock.Since(s.currentAsOf), 0)
}

// View returns the latest view. It is never nil.
func (s *Subscriber) View() *View {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Changed returns a channel that is closed at the next change of the view.
func (s *Subscriber) Changed() <-chan struct{} {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Ref returns the host and its current incarnation.
func (s *Subscriber) Ref() *wire.HostRef {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ref()
}

func (s *Subscriber) ref() *wire.HostRef {
	return &wire.HostRef{
		Host:        s.spec.GetHost(),
		Incarnation: s.spec.GetIncarnation(),
	}
}

// SetWorker makes the host join again with the worker boot and capacity of a
// restarted platform worker. It has no effect if both are unchanged.
func (s *Subscriber) SetWorker(boot string, capacity *wire.Resources) {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.spec.GetWorkerBoot() == boot && proto.Equal(s.spec.GetCapacity(), capacity) {
		return
	}
	s.spec = proto.CloneOf(s.spec)
	s.spec.WorkerBoot = boot
	s.spec.Capacity = proto.CloneOf(capacity)
	s.rejoin(nil)
	if s.cancelSync != nil {
		s.cancelSync()
	}
}

// rejoin starts a new incarnation that replaces the one that joined at a
// position. If the position is nil, the next Sync returns it. The view keeps its
// sections but loses the claims and shards of the old incarnation. A host that
// is leaving starts no new incarnation.
func (s *Subscriber) rejoin(replaces *wire.Position) {
	if !s.leaving {
		s.spec = proto.CloneOf(s.spec)
		s.spec.Incarnation = newID()
		s.synced = false
		s.replaces = replaces
	}
	s.replaceView(s.view.withoutMembership())
}

func (s *Subscriber) replaceView(view *View) {
	s.view = view
	close(s.changed)
	s.changed = make(chan struct{})
}

// Run polls until the tomb dies. After a leaving host is no longer a member, it
// only waits for that.
func (s *Subscriber) Run(t *tomb.Tomb) error {
	s.prepare()
	ctx := t.Context(context.Background())
	delay := retryMin
	for ctx.Err() == nil {
		if s.hasLeft() {
			<-ctx.Done()
			return nil
		}
		s.waitRejoinDelay(ctx)
		if err := s.syncOnce(ctx); err != nil && ctx.Err() == nil {
			log.Debug().Err(err).Msg("sync failed")
			delay = s.backOff(ctx, delay)
			continue
		}
		delay = retryMin
	}
	return nil
}

// hasLeft reports whether a leaving host is no longer a member. It then needs no
// more polls and must not join again.
func (s *Subscriber) hasLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving && s.synced && !s.view.joined
}

// backOff waits for a random time between half of the delay and the delay. It
// returns the delay after the next failure.
func (s *Subscriber) backOff(ctx context.Context, delay time.Duration) time.Duration {
	s.mu.Lock()
	wait := delay/2 + time.Duration(s.Random.Int64N(int64(delay/2)+1))
	s.mu.Unlock()
	select {
	case <-s.Clock.After(wait):
	case <-ctx.Done():
	}
	return min(delay*2, retryMax)
}

func newID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// nothingApplied is the applied offset of an agent that needs the whole state.
const nothingApplied = -1
