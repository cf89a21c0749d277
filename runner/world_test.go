package runner_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/wire"
)

// startKillableRunner is startRunner with a function that ends the runner early.
func startKillableRunner(t *testing.T, l *fakeLeader, executor *emulator.JobExecutor, taskExecutor damaskspread.TaskExecutor) (*runner.Runner, func()) {
	return startKillableRunnerWith(t, l, executor, taskExecutor, func(*runner.Runner) {})
}

// startKillableRunnerWith is startKillableRunner with fields that set changes.
func startKillableRunnerWith(t *testing.T, l *fakeLeader, executor *emulator.JobExecutor, taskExecutor damaskspread.TaskExecutor, set func(*runner.Runner)) (*runner.Runner, func()) {
	r := &runner.Runner{
		Executor:   taskExecutor,
		Leader:     l,
		Clock:      clockwork.NewRealClock(),
		Elapsed:    elapsedClock{start: time.Now()},
		Host:       "host-1",
		StopWithin: 20 * time.Millisecond,
	}
	set(r)
	r.Init()
	tb := &tomb.Tomb{}
	tb.Go(func() error { return r.Run(tb) })
	kill := func() {
		tb.Kill(nil)
		_ = tb.Wait()
	}
	t.Cleanup(kill)
	r.ExecutorAnnounced(executor.Info("planning", "zone", &wire.Resources{Millicores: 8000}))
	return r, kill
}

// all returns the requests so far.
func (l *fakeLeader) all() []*wire.ExchangeRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*wire.ExchangeRequest(nil), l.requests...)
}
