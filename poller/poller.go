// Package poller reads the load estimate of the scheduling leader at an entry and
// keeps the latest one with its age. Package appraiser computes it.
//
// The goroutine of Run makes one call at a time, each with a deadline. An estimate is
// kept only if its epoch is not below that of any leader that is known.
package poller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/appraiser"
	"damaskspread.example/damaskspread/wire"
)

const (
	pollInterval = appraiser.Interval
	// callTimeout lets two calls fail before the estimate is older than
	// appraiser.MaxAge. A shorter one would fail on entries with 0.11 of a processor.
	callTimeout = time.Second
)

var (
	errNoLeader   = errors.New("no leader is known")
	errNoEstimate = errors.New("the process has no estimate")
)

// EarlierEpochError means that an estimate was ignored because a later leader is known.
type EarlierEpochError struct {
	Epoch, Known int64
}

func (e *EarlierEpochError) Error() string {
	return fmt.Sprintf("the estimate is of epoch %d, a leader of epoch %d is known", e.Epoch, e.Known)
}

// Poller implements damaskspread.LoadView. The exported fields are set before Run.
// The exported methods are safe for concurrent use.
type Poller struct {
	// Leader returns the newest leader that the log shows, nil before the first one.
	Leader func() *wire.Leadership
	// Epoch returns the epoch of this process while it leads, else 0, and Own its
	// estimate.
	Epoch func() int64
	Own   func() *wire.LoadEstimate
	// GetLoad calls the process at address; see Client.
	GetLoad func(ctx context.Context, address string) (*wire.GetLoadResponse, error)
	// Clock drives the ticker of Run; Elapsed measures ages.
	Clock   damaskspread.Clock
	Elapsed damaskspread.ElapsedClock

	mu       sync.Mutex
	estimate *wire.LoadEstimate
	// sentAt is when the estimate was requested.
	sentAt time.Duration
	// referred is the leader that another process named last.
	referred *wire.Leadership
	failed   int64
	state    state
}

// state is what Load returns, as far as changes of it are logged.
type state string

const (
	stateCurrent state = "current"
	stateStale   state = "stale"
	stateMissing state = "missing"
)

// Load implements damaskspread.LoadView.
func (p *Poller) Load() (*wire.LoadEstimate, time.Duration) {
	if p.Epoch() != 0 {
		estimate := p.Own()
		return estimate, age(estimate, 0)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.estimate == nil || p.estimate.GetEpoch() < p.knownEpoch() {
		return nil, damaskspread.MaxAge
	}
	return p.estimate, age(p.estimate, p.Elapsed.Elapsed()-p.sentAt)
}

// age returns the age of an estimate that was requested the given time ago.
func age(estimate *wire.LoadEstimate, requested time.Duration) time.Duration {
	ms := estimate.GetAgeMs()
	if estimate == nil || ms < 0 || ms > damaskspread.MaxAge.Milliseconds() {
		return damaskspread.MaxAge
	}
	return damaskspread.AddAge(time.Duration(ms)*time.Millisecond, requested)
}

// AgeSeconds returns the age of the estimate for metrics, an hour if there is none.
func (p *Poller) AgeSeconds() float64 {
	_, age := p.Load()
	return min(age, time.Hour).Seconds()
}

// FailedCalls returns the number of polls that yielded no estimate.
func (p *Poller) FailedCalls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failed
}

// Run polls until the tomb dies.
func (p *Poller) Run(tb *tomb.Tomb) error {
	ctx := tb.Context(context.Background())
	ticker := p.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-tb.Dying():
			return nil
		case <-ticker.Chan():
		}
		p.logChange(p.poll(ctx))
	}
}

// poll reads the estimate once, unless this process leads.
func (p *Poller) poll(ctx context.Context) error {
	if p.Epoch() != 0 {
		return nil
	}
	err := p.read(ctx)
	if err != nil {
		p.mu.Lock()
		p.failed++
		p.mu.Unlock()
	}
	return err
}

func (p *Poller) read(ctx context.Context) error {
	leader := p.leader()
	if leader.GetAddress() == "" {
		return errNoLeader
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := p.Elapsed.Elapsed()
	response, err := p.GetLoad(callCtx, leader.GetAddress())
	if err != nil {
		return err
	}
	return p.store(response, sentAt)
}

// leader returns the leader with the highest epoch that is known.
func (p *Poller) leader() *wire.Leadership {
	p.mu.Lock()
	defer p.mu.Unlock()
	leader := p.Leader()
	if p.referred.GetEpoch() > leader.GetEpoch() {
		return p.referred
	}
	return leader
}

// knownEpoch returns the highest epoch that is known. The caller holds the mutex.
func (p *Poller) knownEpoch() int64 {
	return max(p.Leader().GetEpoch(), p.referred.GetEpoch(), p.estimate.GetEpoch())
}

// store keeps the estimate of a response to a request that was sent at sentAt. The
// leader may have measured its age as early as then, so the age counts from there.
func (p *Poller) store(response *wire.GetLoadResponse, sentAt time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.knownEpoch()
	estimate := response.GetEstimate()
	switch {
	case estimate == nil:
		if response.GetLeader().GetEpoch() > known {
			p.referred = response.GetLeader()
		}
		return errNoEstimate
	case estimate.GetEpoch() < known:
		return &EarlierEpochError{
			Epoch: estimate.GetEpoch(),
			Known: known,
		}
	}
	p.estimate = estimate
	p.sentAt = sentAt
	return nil
}

// logChange logs when the estimate becomes usable or unusable. err is why the last
// poll yielded none.
func (p *Poller) logChange(err error) {
	estimate, age := p.Load()
	next := stateCurrent
	switch {
	case estimate == nil:
		next = stateMissing
	case age > appraiser.MaxAge:
		next = stateStale
	}
	p.mu.Lock()
	previous := p.state
	p.state = next
	p.mu.Unlock()
	switch next {
	case previous:
	case stateCurrent:
		log.Info().Int64("epoch", estimate.GetEpoch()).Dur("age", age).Int("queues", len(estimate.GetQueues())).
			Msg("load estimate in use")
	default:
		log.Warn().Str("state", string(next)).Int64("epoch", estimate.GetEpoch()).Dur("age", min(age, time.Hour)).Err(err).
			Msg("load estimate cannot be used; all jobs are admitted")
	}
}
