package coordinator_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const (
	// heartbeatInterval is that of the platform's executors.
	heartbeatInterval = 1250 * time.Millisecond
	// deliveryDelay is the time from a restart to the starts that were held before, as
	// in the record of the incident.
	deliveryDelay = 5 * time.Millisecond
)

// delivery says what becomes of the start calls that a silent executor holds when it
// restarts.
type delivery string

const (
	deliverNone       delivery = "none"       // they have no effect
	deliverAnswered   delivery = "answered"   // those that still wait are carried out
	deliverUnanswered delivery = "unanswered" // the same, and their responses are lost
	deliverAll        delivery = "all"        // also those that nobody waits for, without responses
)

// restartCase describes how an executor restarts under its id.
type restartCase struct {
	// downFor is the time from the first start call of a second run to the restart.
	downFor time.Duration
	// refused makes calls fail at once while the executor is down. Otherwise they get
	// no response.
	refused bool
	// announceAfter is the time from the restart to the first announcement.
	announceAfter time.Duration
	delivery      delivery
}

func (c restartCase) String() string {
	return fmt.Sprintf("down %s, refused %t, announced after %s, delivery %s", c.downFor, c.refused, c.announceAfter, c.delivery)
}

// restartingExecutor passes calls to an emulated executor and can go down and restart
// under its id.
type restartingExecutor struct {
	*emulator.JobExecutor
	restartCase
	note func(format string, args ...any)

	mu sync.Mutex
	// armed makes the next start call find the executor down, and the renewals before
	// it get no response.
	armed    bool
	renewals int
	// up is closed while the executor is up; down is closed when it goes down.
	up, down chan struct{}
	wentDown chan struct{}
	// metDown are the tasks whose start calls met the executor down.
	metDown map[string]bool
}

func (e *restartingExecutor) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.up:
		return false
	default:
		return true
	}
}

// startsMetDown is the number of tasks whose start calls met the executor down.
func (e *restartingExecutor) startsMetDown() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.metDown)
}

// goDown requires the lock.
func (e *restartingExecutor) goDown() {
	e.armed = false
	e.up = make(chan struct{})
	close(e.down)
	close(e.wentDown)
}

func (e *restartingExecutor) restart(id string) {
	e.Boot(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = make(chan struct{})
	close(e.up)
}

// hang ends a call that gets no response, or whose connection is refused.
func (e *restartingExecutor) hang(ctx context.Context) error {
	if e.refused {
		return &damaskspread.ConnectionLostError{Cause: syscall.ECONNREFUSED}
	}
	<-ctx.Done()
	return &damaskspread.WorkerUnknownError{Cause: ctx.Err()}
}

func (e *restartingExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	e.mu.Lock()
	e.renewals++
	silent := e.armed && !e.refused
	down := e.down
	e.mu.Unlock()
	if silent || e.isDown() {
		return nil, e.hang(ctx)
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-down:
			cancel()
		case <-callCtx.Done():
		}
	}()
	state, err := e.JobExecutor.Renew(callCtx, id, lease, seen, wait)
	select {
	case <-down:
		return nil, e.hang(ctx)
	default:
		return state, err
	}
}

func (e *restartingExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	e.mu.Lock()
	if e.armed {
		e.goDown()
	}
	up := e.up
	e.mu.Unlock()
	if !e.isDown() {
		return e.JobExecutor.Start(ctx, id, order, lease)
	}
	e.mu.Lock()
	e.metDown[order.GetTask()] = true
	e.mu.Unlock()
	e.note("start call %s run %d meets the executor down", order.GetTask(), order.GetRun())
	switch {
	case e.refused || e.delivery == deliverNone:
		return e.hang(ctx)
	case e.delivery == deliverAnswered:
		select {
		case <-up:
			time.Sleep(deliveryDelay)
			return e.JobExecutor.Start(ctx, id, order, lease)
		case <-ctx.Done():
			return e.hang(ctx)
		}
	default:
		go func() {
			<-up
			time.Sleep(deliveryDelay)
			if e.delivery == deliverAll || ctx.Err() == nil {
				_ = e.JobExecutor.Start(context.WithoutCancel(ctx), id, order, lease)
			}
		}()
		return e.hang(ctx)
	}
}

func (e *restartingExecutor) Stop(ctx context.Context, id string, order *wire.StopOrder, token int64) error {
	if e.isDown() {
		return e.hang(ctx)
	}
	err := e.JobExecutor.Stop(ctx, id, order, token)
	e.note("stop call %s run %d: error %v", order.GetTask(), order.GetRun(), err)
	return err
}
