// Package executor reconciles the tasks of the platform's worker on a host with
// the claims in the log: it starts, checkpoints, throttles and stops tasks,
// renews their leases and reports how they end. Package runner does the
// corresponding work for the tasks of jobs, under the orders of the leader.
//
// Each pass compares the claims in a view of the feed with the worker's status
// and carries out what Decide returns, so a restarted agent adopts the tasks of
// the previous process. The package owns the lease of the host's tasks and the
// records about them. Its state can be rebuilt from the log and the worker.
//
// Run starts three goroutines. The first reconciles, the second writes HostsAlive
// records, the third writes records about tasks until the feed shows their
// effect. They wait for changes of the feed, signals and the poll interval. Each
// pass derives all records anew, so those of a newer pass replace the ones that
// have not been written yet.
//
// Open questions:
//   - A claim is rejected only after the worker has confirmed that it refuses
//     the attempt: a late ClaimRejected must not release an attempt that a later
//     process of this agent has started. While the worker is unreachable, its
//     claims therefore remain until it responds again or is released.
//   - Periodic checkpoints are off unless CheckpointEvery is set; otherwise a
//     task is checkpointed only when it is stopped.
package executor

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// View is one consistent state of the feed, as far as it concerns the host.
type View interface {
	// Offset is the log offset of the last batch that the view includes.
	Offset() int64
	// Claims returns all claims on the host's worker boot.
	Claims() []*wire.TaskState
	// Alive is the position of the host's latest HostsAlive record with effect.
	Alive() *wire.Position
	// Leaving reports whether the host is about to leave.
	Leaving() bool
	// Joined reports whether this incarnation of the host is a member. If not,
	// the claims of the view must be ignored.
	Joined() bool
	ZoneInService(zone string) bool
}

// Feed is the agent's connection to its entry. A view that is read after a call
// of Age must be at least as recent as that age says.
type Feed interface {
	damaskspread.Currency
	damaskspread.Appender
	View() View
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Executor reconciles the tasks of one host. Set the exported fields before Run.
type Executor struct {
	Worker damaskspread.WorkerClient
	Feed   Feed
	Clock  damaskspread.Clock
	Host   string
	Zone   string
	// Heartbeat returns the body of the next heartbeat record: the present
	// incarnation of the host and its entry.
	Heartbeat func() *wire.HostsAlive
	// BatchShare returns the share of their processors that batch tasks may use
	// now, in thousandths; 0 means no limit. Nil never throttles.
	BatchShare func() int
	// OnBoot is called when this process first sees a boot of the worker; nil is
	// allowed. An agent that joined with another boot has to join again, which ends
	// the claims of that boot: OnBoot is delayed until their known results are
	// recorded, for at most TaskHold.
	OnBoot func(boot string, capacity *wire.Resources)
	// TaskHold is how long the tasks of a host stay assigned to it after its
	// last HostsAlive record. Leases last nine tenths of it.
	TaskHold time.Duration
	// CurrencyLimit is the age of the feed above which no task starts.
	CurrencyLimit time.Duration
	// StopMargin is how long before the end of its lease a task is checkpointed
	// and stopped. Default: a twentieth of TaskHold.
	StopMargin time.Duration
	// StartTimeout is how long a claim may wait for its start before it is
	// rejected. Default: 10 s.
	StartTimeout time.Duration
	// PollInterval is the interval of passes while nothing changes. Default: 500
	// ms.
	PollInterval time.Duration
	// RepeatInterval is the interval at which a record is written again while the
	// feed does not show its effect. Default: 2 s.
	RepeatInterval time.Duration
	// CheckpointEvery is the interval of the periodic checkpoints of a running
	// task; 0 takes none.
	CheckpointEvery time.Duration
	// CallTimeout is the time limit of each call. Default: 2 s.
	CallTimeout time.Duration

	// mu guards the fields down to draining. unconfirmed holds the heartbeats
	// that the feed has not confirmed, passRecords the records of the latest pass,
	// attempts the latest known state of claimed attempts by token.
	mu            sync.Mutex
	lease         Lease
	unconfirmed   []PendingHeartbeat
	nextHeartbeat time.Time
	passRecords   []*wire.Record
	status        *wire.StatusResponse
	statusAt      time.Time
	attempts      map[int64]*wire.WorkerTask
	draining      bool

	// reconcileMu guards the fields down to checkpoints, which only Reconcile
	// uses. The maps are keyed by the claim's token. restartedAt is when boot was
	// first seen after another one, announcedBoot the latest argument of OnBoot.
	reconcileMu   sync.Mutex
	boot          string
	restartedAt   time.Time
	announcedBoot string
	seenTokens    map[int64]bool
	waiting       map[int64]*waitingClaim
	sharesInForce map[int64]int
	checkpoints   map[int64]*checkpointState

	// reportMu guards lastWritten, which only Report uses: the time of the latest
	// append by record id.
	reportMu    sync.Mutex
	lastWritten map[string]time.Time

	channelsOnce  sync.Once
	reconcileWake chan struct{}
	reportWake    chan struct{}
}

// waitingClaim holds when a claim was first seen and why it has not started.
type waitingClaim struct {
	since  time.Time
	reason string
}

// DrainIncompleteError means that tasks were still claimed or running when the
// context of a drain ended. Cause is the error of the context.
type DrainIncompleteError struct {
	Tasks []string
	Cause error
}

func (e *DrainIncompleteError) Error() string {
	return fmt.Sprintf("drain incomplete: tasks still claimed or running: %s: %v", strings.Join(e.Tasks, ", "), e.Cause)
}

func (e *DrainIncompleteError) Unwrap() error { return e.Cause }

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

func (e *Executor) stopMargin() time.Duration   { return orDefault(e.StopMargin, e.TaskHold/20) }
func (e *Executor) startTimeout() time.Duration { return orDefault(e.StartTimeout, 10*time.Second) }

func (e *Executor) pollInterval() time.Duration {
	return orDefault(e.PollInterval, 500*time.Millisecond)
}

func (e *Executor) repeatInterval() time.Duration { return orDefault(e.RepeatInterval, 2*time.Second) }

func (e *Executor) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, orDefault(e.CallTimeout, 2*time.Second))
}

// initChannels makes the signal channels. A capacity of one suffices because the
// receiver of a pending signal handles all changes up to then.
func (e *Executor) initChannels() {
	e.channelsOnce.Do(func() {
		e.reconcileWake = make(chan struct{}, 1)
		e.reportWake = make(chan struct{}, 1)
	})
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run blocks until the tomb dies. The tasks keep running and are adopted by the
// next process.
func (e *Executor) Run(t *tomb.Tomb) error {
	e.initChannels()
	t.Go(func() error { return e.runLoop(t, e.Reconcile, e.reconcileWake) })
	t.Go(func() error { return e.runLoop(t, e.WriteHeartbeat, nil) })
	t.Go(func() error { return e.runLoop(t, e.Report, e.reportWake) })
	<-t.Dying()
	return nil
}

// runLoop does its work at every change of the feed, signal and poll interval.
func (e *Executor) runLoop(t *tomb.Tomb, work func(context.Context), wake <-chan struct{}) error {
	ctx := t.Context(context.Background())
	for {
		changed := e.Feed.Changed()
		work(ctx)
		timer := e.Clock.NewTimer(e.pollInterval())
		select {
		case <-t.Dying():
			timer.Stop()
			return nil
		case <-changed:
		case <-wake:
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

// Drain checkpoints and evicts every task and waits until no task is claimed or
// running. Nothing starts afterwards. If the context ends first, it returns a
// DrainIncompleteError.
func (e *Executor) Drain(ctx context.Context) error {
	e.initChannels()
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	signal(e.reconcileWake)
	for {
		changed := e.Feed.Changed()
		unfinished := e.unfinishedTasks()
		if len(unfinished) == 0 {
			return nil
		}
		timer := e.Clock.NewTimer(e.pollInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return &DrainIncompleteError{
				Tasks: unfinished,
				Cause: ctx.Err(),
			}
		case <-changed:
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

// unfinishedTasks returns the tasks that are claimed, or running according to
// the latest status.
func (e *Executor) unfinishedTasks() []string {
	var unfinished []string
	for _, claim := range e.Feed.View().Claims() {
		unfinished = append(unfinished, claim.GetSpec().GetTask())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, task := range e.status.GetTasks() {
		if task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING {
			unfinished = append(unfinished, task.GetTask())
		}
	}
	slices.Sort(unfinished)
	return slices.Compact(unfinished)
}

// Usage returns copies of the latest usage samples. Their lag includes the time
// since the status was read.
func (e *Executor) Usage() []*wire.UsageSample {
	e.mu.Lock()
	defer e.mu.Unlock()
	samples := make([]*wire.UsageSample, 0, len(e.status.GetUsage()))
	for _, sample := range e.status.GetUsage() {
		sample = proto.CloneOf(sample)
		sample.LagMs += e.Clock.Since(e.statusAt).Milliseconds()
		samples = append(samples, sample)
	}
	return samples
}

func (e *Executor) readStatus(ctx context.Context) (*wire.StatusResponse, error) {
	ctx, cancel := e.withCallTimeout(ctx)
	defer cancel()
	status, err := e.Worker.Status(ctx)
	if err != nil {
		log.Warn().Err(err).Str("host", e.Host).Msg("worker status call failed")
		return nil, err
	}
	e.keepAttempts(status)
	return status, nil
}
