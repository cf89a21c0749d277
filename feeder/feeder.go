// Package feeder implements the EntryService of an entry process: it answers
// the long polls of agents, whose side is package subscriber, appends their
// records, and serves snapshots and record batches to other entry processes.
//
// A Feeder owns one session per attached agent, which holds a hash of the last
// response and wakes the agent's long poll. Run uses four goroutines. One waits
// for changes of the replayed state and wakes the long polls. One appends
// EntryAlive periodically. One waits for attached agents and records them. One
// periodically expires hosts and entry processes without heartbeats. A long poll
// holds no lock while it waits.
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
	// DefaultMemberHold is how long a host stays a member without a
	// heartbeat or Sync (setting member_hold).
	DefaultMemberHold = 6 * time.Second
	// DefaultAliveEvery is the interval of EntryAlive records: three fit into
	// DefaultEntryHold.
	DefaultAliveEvery = 2 * time.Second
	// DefaultEntryHold is how long an entry process stays known without an
	// EntryAlive record.
	DefaultEntryHold = 6 * time.Second
	// DefaultCurrencyLimit is the largest currency age at which a process
	// expires others (setting currency_limit). Above it, the records that keep a
	// host alive may still be unread.
	DefaultCurrencyLimit = 3 * time.Second
	// DefaultMaxSyncWait bounds a long poll, since an agent counts the whole
	// poll towards its currency age.
	DefaultMaxSyncWait = time.Second
	// DefaultForgetAfter is how long an expired host without claims stays in
	// the state. Records and calls are delayed far less, so none of an old
	// incarnation arrives after the host is deleted.
	DefaultForgetAfter = time.Hour
	// DefaultAppendTimeout bounds the appends of a Feeder, except for those that
	// an agent requests with Append.
	DefaultAppendTimeout = 5 * time.Second

	scanInterval = 500 * time.Millisecond
	// attachQueueCapacity exceeds the number of agents of one entry process at
	// the target size. When the queue is full, the agent's next Sync queues the
	// attachment again.
	attachQueueCapacity = 4096
	// attachRetryDelay is the wait after an append of attachments failed.
	attachRetryDelay = time.Second
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
	// BatchShare returns the share of its requested processors that each batch
	// task of a host may use, in thousandths; 0 means no limit. Nil sets no limit
	// on any host.
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
	startedAt   time.Time
	detector    *failureDetector
	attachments *queuer.Ring[*session]
	// snapshotSlot admits one FetchSnapshot at a time, since each copies the
	// state.
	snapshotSlot chan struct{}
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
		f.startedAt = f.Clock.Now()
		f.sessions = map[string]*session{}
		f.detector = newFailureDetector(f)
		f.attachments = queuer.New[*session]("feeder_attachments", attachQueueCapacity)
		f.snapshotSlot = make(chan struct{}, 1)
	})
}

// Run wakes long polls and appends the records of this process until the tomb
// dies.
func (f *Feeder) Run(t *tomb.Tomb) error {
	f.prepare()
	ctx := t.Context(context.Background())
	t.Go(func() error { return f.runHeartbeat(ctx) })
	t.Go(func() error { return f.detector.run(ctx) })
	t.Go(func() error { return f.runAttachments(ctx) })
	return f.runWakeups(ctx)
}

// Leave records that this process is leaving. From then on it refuses each Sync,
// so that its agents attach to other entry processes before it stops. An error
// means that the record may not be appended; Sync is refused all the same.
func (f *Feeder) Leave(ctx context.Context) error {
	f.prepare()
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	return f.appendAlive(ctx)
}

func (f *Feeder) isLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

func (f *Feeder) runHeartbeat(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.Follower.Ready() {
			if err := f.appendAlive(ctx); err != nil && ctx.Err() == nil {
				log.Warn().Err(err).Msg("appending the entry alive record failed")
			}
		}
		select {
		case <-f.Clock.After(f.AliveEvery):
		case <-ctx.Done():
		}
	}
	return nil
}

func (f *Feeder) appendAlive(ctx context.Context) error {
	alive := proto.CloneOf(f.Entry)
	alive.Leaving = f.isLeaving()
	alive.UptimeMs = max(1, f.Clock.Since(f.startedAt).Milliseconds())
	_, err := f.append(ctx, &wire.Record{
		Body: &wire.Record_EntryAlive{
			EntryAlive: alive,
		},
	})
	return err
}

// append appends records with this process as the actor.
func (f *Feeder) append(ctx context.Context, records ...*wire.Record) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.AppendTimeout)
	defer cancel()
	for _, record := range records {
		record.Actor = "entry " + f.Entry.GetEntry()
	}
	return f.Recorder.AppendRecords(ctx, records)
}
