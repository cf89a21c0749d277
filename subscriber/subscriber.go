// Package subscriber is the agent side of the exchange with entry processes.
//
// A Subscriber owns the agent's membership (its incarnation), the view of the
// configuration, claims and shards that concern the host, and their currency
// age. Run is one goroutine that long-polls an entry process and moves to
// another one when a call fails or the entry process is itself not current.
//
// Open question: whether an agent should prefer entry processes of its zone.
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
	// DefaultSyncWait bounds a poll without news. The whole poll counts towards
	// the age, so the age of an idle agent reaches twice this value plus that
	// of its entry process, together below 2 s.
	DefaultSyncWait = 500 * time.Millisecond
	// DefaultCallTimeout is what a call may take beyond its wait. Two calls
	// that hang fit into member_hold.
	DefaultCallTimeout = 1500 * time.Millisecond
	// DefaultStaleAfter is the age of an entry process above which the agent
	// tries another one, well before currency_limit.
	DefaultStaleAfter = 2 * time.Second

	// staleMoveEvery limits moves while all entry processes are stale, since
	// each move makes the new one record the attachment.
	staleMoveEvery = 5 * time.Second
	// stableAfter is how long a membership lasts before the next rejoin is
	// immediate again. Two agents started for one host would otherwise replace
	// each other as fast as the log takes records.
	stableAfter = 30 * time.Second
	retryMin    = 50 * time.Millisecond
	retryMax    = 2 * time.Second
	// maxRejoins makes the longest delay before a rejoin 3.2 s.
	maxRejoins = 6
)

// Subscriber keeps the agent's view. Set the exported fields before Run.
type Subscriber struct {
	// Spec describes the host; Run sets its incarnation.
	Spec *wire.HostSpec
	// Entries are the addresses of entry processes.
	Entries []string
	HTTP    *http.Client
	Clock   damaskspread.Clock
	// Load and Usage are sent with each Sync; both may be nil.
	Load  func() *wire.EndpointLoad
	Usage func() []*wire.UsageSample
	// Random spreads agents over entry processes and over time; nil uses a
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
	proven      bool
	currentAsOf time.Time
	entry       int
	introduced  bool
	replaces    *wire.Position
	joinedAt    time.Time
	rejoinDelay time.Duration
	rejoins     int
	movedStale  time.Time
	leaving     bool
	interrupt   context.CancelFunc
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
			s.entry = s.Random.IntN(len(s.Entries))
		}
	})
}

// Age implements damaskspread.Currency.
func (s *Subscriber) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.proven {
		return damaskspread.MaxAge
	}
	return max(s.Clock.Since(s.currentAsOf), 0)
}

// View returns the latest view.
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

// Ref names the current incarnation.
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

// SetWorker joins again with another worker boot or capacity after the
// platform's worker restarted. It has no effect if nothing differs.
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
	if s.interrupt != nil {
		s.interrupt()
	}
}

// rejoin starts a new incarnation that replaces the one at a position; without
// a position, the next Sync asks for it. The view keeps its sections, but claims and
// shards of the old incarnation end with it. A host that is leaving stays out.
func (s *Subscriber) rejoin(replaces *wire.Position) {
	if !s.leaving {
		s.spec = proto.CloneOf(s.spec)
		s.spec.Incarnation = newID()
		s.introduced = false
		s.replaces = replaces
	}
	s.replaceView(s.view.withoutMembership())
}

func (s *Subscriber) replaceView(view *View) {
	s.view = view
	close(s.changed)
	s.changed = make(chan struct{})
}

// Run polls until the tomb dies.
func (s *Subscriber) Run(t *tomb.Tomb) error {
	s.prepare()
	ctx := t.Context(context.Background())
	delay := retryMin
	for ctx.Err() == nil {
		if s.left() {
			<-ctx.Done()
			return nil
		}
		s.awaitRejoin(ctx)
		if err := s.syncOnce(ctx); err != nil && ctx.Err() == nil {
			log.Debug().Err(err).Msg("sync failed")
			delay = s.pause(ctx, delay)
			continue
		}
		delay = retryMin
	}
	return nil
}

// left reports whether a leaving host is no longer a member: it has nothing to
// poll for and must not join again.
func (s *Subscriber) left() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving && s.introduced && !s.view.joined
}

func (s *Subscriber) pause(ctx context.Context, delay time.Duration) time.Duration {
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

// beforeFirst is the applied offset of an agent that has seen nothing.
const beforeFirst = -1
