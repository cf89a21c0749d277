// Package executor is the agent's side of tasks: it starts, renews,
// checkpoints, stops and reports the tasks that claims assign to its host.
//
// Each pass compares a view of the feed with the worker's status and carries
// out what Decide returns, so an agent that starts anew adopts the tasks that
// its predecessor left behind. The package owns the lease of the host's tasks
// and the records about them; it keeps nothing that the log and the worker
// could not give back.
//
// Run starts three goroutines: one reconciles, one writes HostsAlive, one
// writes records about tasks until the feed shows their effect. The slot
// between reconciler and reporter holds the records of the latest pass only:
// a newer pass replaces them, since each pass derives all of them again.
//
// Open questions:
//   - A claim is rejected only after the worker confirmed that it refuses the
//     attempt, since a late ClaimRejected must not return an attempt that a
//     successor of this agent started. While the worker is unreachable, its
//     claims therefore stay until it returns or is released.
//   - Tasks are checkpointed only when they are stopped.
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

// View is one consistent state of the feed.
type View interface {
	Offset() int64
	// Claims holds every claim of the host's worker boot.
	Claims() []*wire.TaskState
	// Alive is the position of the host's latest alive record.
	Alive() *wire.Position
	Leaving() bool
	// Joined reports whether this incarnation is a member. Without it the
	// claims of the view mean nothing.
	Joined() bool
	ZoneInService(zone string) bool
}

// Feed is what the executor needs of the agent's connection to its entry. A
// view returned after a call of Age must include everything that the age
// vouches for.
type Feed interface {
	damaskspread.Currency
	damaskspread.Appender
	View() View
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Executor runs the tasks of one host. Its fields are set before Run.
type Executor struct {
	Worker damaskspread.WorkerClient
	Feed   Feed
	Clock  damaskspread.Clock
	Host   string
	Zone   string
	// Heartbeat names the host's present incarnation and its entry.
	Heartbeat func() *wire.HostsAlive
	// BatchShare is the share of their processors that batch tasks may use
	// now, in thousandths. Nil leaves them unthrottled.
	BatchShare func() int
	// OnBoot is told a worker boot that this process sees for the first time.
	// An agent that is not a member with it has to join again.
	OnBoot        func(boot string, capacity *wire.Resources)
	TaskHold      time.Duration
	CurrencyLimit time.Duration
	// StopMargin before the end of its lease a task is checkpointed and
	// stopped. Default: a twentieth of TaskHold.
	StopMargin time.Duration
	// StartBound is how long a claim may wait for its start before it is
	// rejected. Default: 10 s.
	StartBound time.Duration
	// Poll is the interval of passes without a change. Default: 500 ms.
	Poll time.Duration
	// Repeat is the interval at which a record without effect is written
	// again. Default: 2 s.
	Repeat time.Duration
	// CheckpointEvery is the interval of the checkpoints of a running task;
	// none are taken at 0.
	CheckpointEvery time.Duration
	// CallTimeout bounds each call. Default: 2 s.
	CallTimeout time.Duration

	mu       sync.Mutex
	lease    Lease
	beats    []Beat
	nextBeat time.Time
	desired  []*wire.Record
	status   *wire.StatusResponse
	statusAt time.Time
	draining bool

	// pass guards the fields below, which only Reconcile uses.
	pass      sync.Mutex
	boot      string
	known     map[int64]bool
	waits     map[int64]*wait
	throttled map[int64]int
	progress  map[int64]*progress

	// report guards sent, which only Report uses.
	report sync.Mutex
	sent   map[string]time.Time

	signals sync.Once
	kick    chan struct{}
	ready   chan struct{}
}

// wait is a claim that has not started yet.
type wait struct {
	since  time.Time
	reason string
}

// DrainIncompleteError means that tasks were still claimed or running when
// the time for a drain ended.
type DrainIncompleteError struct {
	Tasks []string
	Cause error
}

func (e *DrainIncompleteError) Error() string {
	return fmt.Sprintf("drain ended with tasks left: %s: %v", strings.Join(e.Tasks, ", "), e.Cause)
}

func (e *DrainIncompleteError) Unwrap() error { return e.Cause }

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

func (e *Executor) margin() time.Duration     { return orDefault(e.StopMargin, e.TaskHold/20) }
func (e *Executor) startBound() time.Duration { return orDefault(e.StartBound, 10*time.Second) }
func (e *Executor) poll() time.Duration       { return orDefault(e.Poll, 500*time.Millisecond) }
func (e *Executor) repeat() time.Duration     { return orDefault(e.Repeat, 2*time.Second) }

func (e *Executor) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, orDefault(e.CallTimeout, 2*time.Second))
}

// prepare makes the channels, whose capacity of one suffices because a
// pending signal already announces everything that is new.
func (e *Executor) prepare() {
	e.signals.Do(func() {
		e.kick = make(chan struct{}, 1)
		e.ready = make(chan struct{}, 1)
	})
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run works until the tomb dies. Tasks keep running for a successor.
func (e *Executor) Run(t *tomb.Tomb) error {
	e.prepare()
	t.Go(func() error { return e.repeatDuty(t, e.Reconcile, e.kick) })
	t.Go(func() error { return e.repeatDuty(t, e.Beat, nil) })
	t.Go(func() error { return e.repeatDuty(t, e.Report, e.ready) })
	<-t.Dying()
	return nil
}

// repeatDuty runs a duty at every change, signal and poll interval.
func (e *Executor) repeatDuty(t *tomb.Tomb, duty func(context.Context), wake <-chan struct{}) error {
	ctx := t.Context(context.Background())
	for {
		changed := e.Feed.Changed()
		duty(ctx)
		timer := e.Clock.NewTimer(e.poll())
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

// Drain checkpoints and evicts every task and waits until the feed shows that
// no claim is left. Nothing starts afterwards.
func (e *Executor) Drain(ctx context.Context) error {
	e.prepare()
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	signal(e.kick)
	for {
		changed := e.Feed.Changed()
		left := e.left()
		if len(left) == 0 {
			return nil
		}
		timer := e.Clock.NewTimer(e.poll())
		select {
		case <-ctx.Done():
			timer.Stop()
			return &DrainIncompleteError{
				Tasks: left,
				Cause: ctx.Err(),
			}
		case <-changed:
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

// left returns the tasks that are claimed or, as last seen, running.
func (e *Executor) left() []string {
	var left []string
	for _, claim := range e.Feed.View().Claims() {
		left = append(left, claim.GetSpec().GetTask())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, task := range e.status.GetTasks() {
		if task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING {
			left = append(left, task.GetTask())
		}
	}
	slices.Sort(left)
	return slices.Compact(left)
}

// Usage returns the latest usage samples with their present age.
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
	ctx, cancel := e.bounded(ctx)
	defer cancel()
	status, err := e.Worker.Status(ctx)
	if err != nil {
		log.Warn().Err(err).Str("host", e.Host).Msg("worker status failed")
	}
	return status, err
}
