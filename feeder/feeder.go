// Package feeder is the entry side of the exchange with agents and with other
// entry processes.
//
// A Feeder owns one session per attached agent, which holds what the agent was
// last sent and wakes its long poll. It implements the EntryService handler.
// Run starts four goroutines: one turns changes of the state into wake-ups,
// one writes EntryAlive, one
// records which agents attached, and one expires hosts and entry processes that this
// process has observed to be silent. A long poll holds no lock while it waits.
package feeder

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/queuer"
	"damaskspread.example/damaskspread/recorder"
	"damaskspread.example/damaskspread/wire"
)

const (
	// DefaultMemberHold is member_hold.
	DefaultMemberHold = 6 * time.Second
	// DefaultAliveEvery gives an entry process three tries within EntryHold.
	DefaultAliveEvery = 2 * time.Second
	// DefaultEntryHold is how long an entry process may be silent.
	DefaultEntryHold = 6 * time.Second
	// DefaultCurrencyLimit is currency_limit. A process above it expires
	// nobody, because the records that keep a host alive may be unread.
	DefaultCurrencyLimit = 3 * time.Second
	// DefaultMaxSyncWait bounds a long poll, since an agent counts the whole
	// poll towards its currency age.
	DefaultMaxSyncWait = time.Second
	// DefaultForgetAfter is how long an expired host without claims stays in
	// the state. It is much longer than any record or call can be delayed, so
	// that none of an old incarnation arrives after its host was forgotten.
	DefaultForgetAfter = time.Hour
	// DefaultAppendTimeout bounds appends that this package starts itself.
	DefaultAppendTimeout = 5 * time.Second

	scanEvery = 500 * time.Millisecond
	// attachCapacity is more than the agents of a lost entry process at the
	// target size. When the ring is full, the agent's next Sync asks again.
	attachCapacity = 4096
	// attachRetry spaces attempts while the log refuses.
	attachRetry = time.Second
)

// Feeder implements wireconnect.EntryServiceHandler. Set the exported fields
// before Run.
type Feeder struct {
	Follower *follower.Follower
	Recorder *recorder.Recorder
	Clock    damaskspread.Clock
	// Entry identifies this process; an empty incarnation gets a random one.
	Entry *wire.EntryAlive
	Loads damaskspread.LoadObserver
	Usage damaskspread.UsageObserver
	// BatchShare is the share of their processors that a host's batch tasks may
	// use, in thousandths, 0 for no limit; it may be nil.
	BatchShare func(host string) int

	MemberHold    time.Duration
	AliveEvery    time.Duration
	EntryHold     time.Duration
	CurrencyLimit time.Duration
	MaxSyncWait   time.Duration
	ForgetAfter   time.Duration
	AppendTimeout time.Duration

	setup       sync.Once
	mu          sync.Mutex
	sessions    map[string]*session
	leaving     bool
	watch       *watcher
	attachments *queuer.Ring[*session]
	// copying admits one FetchSnapshot at a time, since each copies the state.
	copying chan struct{}
}

func (f *Feeder) prepare() {
	f.setup.Do(func() {
		damaskspread.SetDefault(&f.MemberHold, DefaultMemberHold)
		damaskspread.SetDefault(&f.AliveEvery, DefaultAliveEvery)
		damaskspread.SetDefault(&f.EntryHold, DefaultEntryHold)
		damaskspread.SetDefault(&f.CurrencyLimit, DefaultCurrencyLimit)
		damaskspread.SetDefault(&f.MaxSyncWait, DefaultMaxSyncWait)
		damaskspread.SetDefault(&f.ForgetAfter, DefaultForgetAfter)
		damaskspread.SetDefault(&f.AppendTimeout, DefaultAppendTimeout)
		f.Entry = proto.CloneOf(f.Entry)
		if f.Entry.GetIncarnation() == "" {
			f.Entry.Incarnation = recorder.NewID()
		}
		f.sessions = map[string]*session{}
		f.watch = newWatcher(f)
		f.attachments = queuer.New[*session]("feeder_attachments", attachCapacity)
		f.copying = make(chan struct{}, 1)
	})
}

// Run serves until the tomb dies.
func (f *Feeder) Run(t *tomb.Tomb) error {
	f.prepare()
	ctx := t.Context(context.Background())
	t.Go(func() error { return f.runAlive(ctx) })
	t.Go(func() error { return f.watch.run(ctx) })
	t.Go(func() error { return f.runAttachments(ctx) })
	return f.runWakes(ctx)
}

// Leave announces that this process is leaving. Its agents are refused from
// then on, so that they attach to others before it stops.
func (f *Feeder) Leave(ctx context.Context) error {
	f.prepare()
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	return f.announce(ctx)
}

func (f *Feeder) isLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

func (f *Feeder) runAlive(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.Follower.Ready() {
			if err := f.announce(ctx); err != nil && ctx.Err() == nil {
				log.Warn().Err(err).Msg("entry announcement failed")
			}
		}
		select {
		case <-f.Clock.After(f.AliveEvery):
		case <-ctx.Done():
		}
	}
	return nil
}

func (f *Feeder) announce(ctx context.Context) error {
	alive := proto.CloneOf(f.Entry)
	alive.Leaving = f.isLeaving()
	_, err := f.append(ctx, &wire.Record{
		Body: &wire.Record_EntryAlive{
			EntryAlive: alive,
		},
	})
	return err
}

// append adds records on behalf of this process.
func (f *Feeder) append(ctx context.Context, records ...*wire.Record) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.AppendTimeout)
	defer cancel()
	for _, record := range records {
		record.Actor = "entry " + f.Entry.GetEntry()
	}
	return f.Recorder.AppendRecords(ctx, records)
}
