// Package soak_test runs the job processes as separate processes on one
// machine, injects faults from outside them, and checks the guarantees against
// what callers and executors observe. The log and the executors are emulated in
// the test process.
//
// DAMASKSPREAD_SOAK_SEED sets the first seed, DAMASKSPREAD_SOAK_SEEDS the number
// of consecutive seeds to run, DAMASKSPREAD_SOAK_SECONDS the length of each run,
// DAMASKSPREAD_SOAK_LOGS a directory that keeps the logs of the processes.
package soak_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"damaskspread.example/damaskspread/wire"
)

const (
	firstStepTasks, secondStepTasks = 3, 2
	entryCount, hostCount           = 3, 4
	// recoveryLimit bounds the time in which accepted jobs succeed after the
	// last fault: recoveryS of the deployments plus the lease that a new leader
	// may have to wait for.
	recoveryLimit = 12*time.Second + 5*time.Second + 4*time.Second
	// Requests of each submitted task.
	submittedMillicores, submittedMegabytes = 200, 100
	// bulkMillicores lets two tasks of a bulk job run on a host, so that a few callers
	// overload the hosts.
	bulkMillicores = 4000
	taskDuration   = 150 * time.Millisecond

	megabyte   = 1 << 20
	pathPrefix = "/jobs/"
	bulkPrefix = "/bulk/"
	hostHeader = "soak.example"
)

var (
	daemon   string
	loopback = fmt.Sprintf("127.%d.%d.2", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)
)

var (
	submittedStep = &wire.JobStep{
		Resources: &wire.Resources{Millicores: submittedMillicores, MemoryBytes: submittedMegabytes * megabyte},
	}
	bulkStep = &wire.JobStep{
		Resources: &wire.Resources{Millicores: bulkMillicores, MemoryBytes: submittedMegabytes * megabyte},
	}
	defaultCapacity = &wire.Resources{Millicores: 8000, MemoryBytes: 64000 * megabyte}
)

// regression is a seed that once failed.
type regression struct {
	cause string
	// restarts is set if the failure needs the series of restarts under one id.
	restarts bool
	// length is that of the run if the failure needs a longer one than the others.
	length time.Duration
}

var regressions = map[uint64]regression{
	3: {
		cause: "starts at an executor that came back smaller under its id, before the agent noticed the restart",
	},
	16: {
		cause: "the check of a stopped start was dropped with the session, so that its task stayed assigned and never started",
	},
	119: {
		cause:    "the call that checks whether an executor has restarted carried the number of its last end in the life before, so that the new life forgot an end",
		restarts: true,
	},
	203: {
		cause:    "each new leader waited for the leases of lost executors from its own takeover, so that lasting tasks stood while leaders were lost in series",
		restarts: true,
		length:   25 * time.Second,
	},
}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "damaskspread-soak")
	if err != nil {
		panic(err)
	}
	daemon = filepath.Join(dir, "damaskspread")
	if out, err := exec.Command("go", "build", "-o", daemon, "../cmd/damaskspread").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func intVariable(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// Guards against violations of the guarantees under overlapping faults.
func TestSoak(t *testing.T) {
	length := time.Duration(intVariable("DAMASKSPREAD_SOAK_SECONDS", 12)) * time.Second
	seeds := []uint64{uint64(intVariable("DAMASKSPREAD_SOAK_SEED", 1))}
	for i := 1; i < intVariable("DAMASKSPREAD_SOAK_SEEDS", 1); i++ {
		seeds = append(seeds, seeds[0]+uint64(i))
	}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed, max(length, regressions[seed].length)) })
	}
}

func runSoak(t *testing.T, seed uint64, length time.Duration) {
	f := newFleet(t, seed)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	watched, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	var callers, watching sync.WaitGroup
	watching.Go(func() { f.watchLasting(watched) })
	jobs := make(chan string, 10_000)
	for i := range 4 {
		callers.Go(func() { f.submitJobs(ctx, i, seed, jobs) })
	}
	var lasting []string
	if f.losses {
		callers.Go(func() { lasting = f.submitLasting(ctx, seed) })
		callers.Go(func() { f.injectLosses(ctx, seed) })
		if f.turnsAway {
			callers.Go(func() { f.injectTurnedAway(ctx, seed) })
		}
	}
	if f.cancels {
		callers.Go(func() { f.submitAbandoned(ctx, seed) })
		callers.Go(func() { f.injectWaves(ctx, seed) })
		callers.Go(func() { f.injectDrains(ctx, seed) })
	}
	if !f.onlyLosses {
		f.submitDemanding(ctx, &callers, seed, jobs)
	}
	if f.onlyLosses || f.onlyWaves {
		<-ctx.Done()
	} else {
		if f.restarts {
			callers.Go(func() { f.injectRestarts(ctx, seed) })
		}
		f.injectFaults(ctx)
	}
	callers.Wait()
	close(jobs)
	f.heal()
	var awaiting sync.WaitGroup
	awaiting.Go(func() { f.awaitLasting(lasting) })
	awaiting.Go(f.awaitAbandoned)
	f.awaitJobs(jobs)
	awaiting.Wait()
	f.awaitStops()
	stopWatching()
	watching.Wait()
	violations := f.checker.report()
	for _, violation := range violations {
		t.Errorf("seed %d: %s", seed, violation)
	}
	f.logViolations(violations)
	for _, start := range f.checker.cancels.excused {
		t.Logf("seed %d: not in touch: %s", seed, start)
	}
	t.Logf("seed %d: %s, logs in %s", seed, f.checker.summary(), f.logDir)
}

// submitDemanding submits the jobs that need whole hosts or run for seconds.
func (f *fleet) submitDemanding(ctx context.Context, callers *sync.WaitGroup, seed uint64, jobs chan<- string) {
	bulk := bulkCallers
	if f.restarts {
		bulk = bulkCallersBesideRestarts
	}
	for i := range bulk {
		if f.scheduling {
			callers.Go(func() { f.submitBulk(ctx, i, seed, jobs) })
		}
	}
	for i := range longCallers {
		if f.restarts {
			callers.Go(func() { f.submitLong(ctx, i, seed, jobs) })
		}
	}
}
