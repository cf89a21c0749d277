package coordinator_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/locator"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/wire"
)

// restartPlay is a fleet in which an executor restarts under its id while its agent
// starts the second runs of two tasks.
type restartPlay struct {
	fleet *testFleet

	mu       sync.Mutex
	runTime  time.Duration
	lines    []string
	running  map[string][]int32
	overlaps []string
	// secondRuns counts the starts of second runs.
	secondRuns int
}

// note adds a line to the timeline.
func (p *restartPlay) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteLocked(format, args...)
}

func (p *restartPlay) noteLocked(format string, args ...any) {
	p.lines = append(p.lines, fmt.Sprintf("%s %s", time.Now().Format("05.000"), fmt.Sprintf(format, args...)))
}

// observe notes two runs of one task in progress.
func (p *restartPlay) observe(event emulator.RunEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if event.Cause != wire.EndCause_END_CAUSE_UNSPECIFIED {
		p.running[event.Task] = slices.DeleteFunc(p.running[event.Task], func(run int32) bool { return run == event.Run })
		p.noteLocked("%s run %d ends on %s: %s", event.Task, event.Run, event.Executor, event.Cause)
		return
	}
	p.noteLocked("%s run %d begins on %s", event.Task, event.Run, event.Executor)
	if runs := p.running[event.Task]; len(runs) > 0 {
		p.overlaps = append(p.overlaps, fmt.Sprintf("%s run %d beside %v", event.Task, event.Run, runs))
		p.noteLocked("TWO RUNS of %s", event.Task)
	}
	p.running[event.Task] = append(p.running[event.Task], event.Run)
	if event.Run == 2 {
		p.secondRuns++
	}
}

func (p *restartPlay) taskDuration(string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runTime
}

// startHost runs the agent of an executor, which is announced at the start, after each
// delay that comes from announce, and each heartbeatInterval after that.
func (p *restartPlay) startHost(name string, executor damaskspread.TaskExecutor, info func() *wire.ExecutorInfo, announce <-chan time.Duration) {
	f := p.fleet
	r := &runner.Runner{
		Executor: executor,
		Leader: &locator.Locator{
			Log:     &emulator.KeyedLogClient{Log: f.log},
			HTTP:    connector.NewHTTPClient(),
			Elapsed: f.elapsedClock,
		},
		Clock:      f.clock,
		Elapsed:    f.elapsedClock,
		Host:       name,
		StopWithin: 400 * time.Millisecond,
	}
	r.Init()
	tb := &tomb.Tomb{}
	tb.Go(func() error { return r.Run(tb) })
	tb.Go(func() error { return announceAt(tb, r, info, announce) })
	f.t.Cleanup(func() {
		tb.Kill(nil)
		_ = tb.Wait()
	})
}

func announceAt(tb *tomb.Tomb, r *runner.Runner, info func() *wire.ExecutorInfo, announce <-chan time.Duration) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case after := <-announce:
			timer.Reset(after)
		case <-timer.C:
			timer.Reset(heartbeatInterval)
			if present := info(); present != nil {
				r.ExecutorAnnounced(present)
			}
		case <-tb.Dying():
			return nil
		}
	}
}

func (p *restartPlay) newExecutor(id string) *emulator.JobExecutor {
	executor := &emulator.JobExecutor{
		Clock:        p.fleet.clock,
		TaskDuration: p.taskDuration,
		Observe:      p.observe,
		StopTime:     400 * time.Millisecond,
	}
	executor.Boot(id)
	return executor
}

// startRestarting starts the host of the executor that restarts under its id.
func (p *restartPlay) startRestarting(c restartCase, capacity *wire.Resources) (*restartingExecutor, chan<- time.Duration) {
	executor := &restartingExecutor{
		JobExecutor: p.newExecutor("same-1"),
		restartCase: c,
		note:        p.note,
		up:          make(chan struct{}),
		down:        make(chan struct{}),
		wentDown:    make(chan struct{}),
		metDown:     map[string]bool{},
	}
	close(executor.up)
	announce := make(chan time.Duration)
	p.startHost("host-same", executor, func() *wire.ExecutorInfo {
		if executor.isDown() {
			return nil
		}
		return executor.Info(service, "zone", capacity)
	}, announce)
	return executor, announce
}

// playRestart plays the record of the incident: two tasks have lost their first runs, and
// the executor to which the leader assigns the second ones goes down before it starts
// them. It returns when the job has succeeded.
func playRestart(t *testing.T, c restartCase) *restartPlay {
	p := &restartPlay{
		runTime: time.Minute,
		running: map[string][]int32{},
	}
	p.fleet = newTestFleet(t, 1, 0, p.taskDuration)
	f := p.fleet
	leader := f.leader()
	capacity := &wire.Resources{Millicores: 8000, MemoryBytes: 64 << 30}
	lost := p.newExecutor("lost-1")
	lost.SetCapacity(capacity)
	lostAnnounce := make(chan time.Duration)
	p.startHost("host-lost", lost, func() *wire.ExecutorInfo { return lost.Info(service, "zone", nil) }, lostAnnounce)
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(2)})
	f.waitFor("first runs", func() bool { return lost.Running() == 2 })

	executor, announce := p.startRestarting(c, capacity)
	// The fourth renewal follows one that has waited for ends, so that the session has
	// been open for a while.
	f.waitFor("renewals", func() bool {
		executor.mu.Lock()
		defer executor.mu.Unlock()
		executor.armed = executor.renewals >= 4
		return executor.armed
	})
	p.mu.Lock()
	p.runTime = 1200 * time.Millisecond
	p.mu.Unlock()
	lost.SetCapacity(&wire.Resources{})
	lost.Boot("lost-2")
	lostAnnounce <- 0
	<-executor.wentDown
	p.note("executor down")
	time.Sleep(c.downFor)
	executor.restart("same-1")
	p.note("executor restarts")
	if c.delivery == deliverAll {
		starts := executor.startsMetDown()
		f.waitFor("second runs in the new incarnation", func() bool { return p.startedSecondRuns() == starts })
	}
	announce <- c.announceAfter
	f.waitSucceeded(leader, jobID)
	return p
}

func (p *restartPlay) startedSecondRuns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.secondRuns
}

// Guards against the next run of a task beside one that an executor has started after it
// restarted under its id.
func TestRestartUnderTheSameID(t *testing.T) {
	t.Parallel()
	for _, c := range []restartCase{
		{downFor: time.Second, delivery: deliverAnswered},
		{downFor: time.Second, delivery: deliverUnanswered},
		{downFor: time.Second, delivery: deliverAll},
		{downFor: time.Second, refused: true, delivery: deliverNone, announceAfter: 1500 * time.Millisecond},
	} {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			p := playRestart(t, c)
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Log(strings.Join(p.lines, "\n"))
			assert.Equal(t, len(p.overlaps), 0, "%v", p.overlaps)
		})
	}
}
