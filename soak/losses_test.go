package soak_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const (
	// lossStream is the stream of the random numbers of the losses, so that the other
	// faults of a seed stay the same.
	lossStream = 0x1057
	// firstLossSeed is the first seed with losses. The odd ones have no other faults, so
	// that it is calm between two losses.
	firstLossSeed = 200
	// maxLostExecutors leaves room for the lasting tasks.
	maxLostExecutors = 2
	// lossRest is the time after the last leader of a series in which lasting tasks have to
	// run again.
	lossRest = lastingBound + time.Second
	// leaderInterval is the time between two looks for a leader that may be lost.
	leaderInterval = 50 * time.Millisecond
)

// plannedLoss is a loss of executors, then of agents, then of one leader after another.
type plannedLoss struct {
	wait        time.Duration
	executors   []lostExecutor
	agents      []plannedFault
	agentsAfter time.Duration
	leaders     []plannedFault
}

// lostExecutor is the loss of the executor of a host, for good.
type lostExecutor struct {
	host int
	// absence is the time until another one starts on the host. Zero means that none does
	// until the end of the faults.
	absence time.Duration
}

func (f *fleet) drawLoss(random *rand.Rand) plannedLoss {
	loss := plannedLoss{
		wait:        randomTime(random, 2500, 4000),
		agentsAfter: randomTime(random, 50, 200),
	}
	for _, host := range random.Perm(hostCount)[:1+random.IntN(maxLostExecutors)] {
		lost := lostExecutor{host: host, absence: randomTime(random, 4000, 14000)}
		if random.IntN(2) == 0 {
			lost.absence = 0
		}
		loss.executors = append(loss.executors, lost)
	}
	agents := random.Perm(hostCount)
	if random.IntN(4) == 0 {
		agents = agents[:1+random.IntN(hostCount)]
	}
	for _, host := range agents {
		loss.agents = append(loss.agents, plannedFault{process: f.agents[host], kind: killed, lasting: randomTime(random, 200, 4000)})
	}
	if !f.turnsAway {
		loss.leaders = drawLeaderFaults(random)
	}
	return loss
}

// drawLeaderFaults draws a series of one to three leaders that are killed, or paused while
// another one leads.
func drawLeaderFaults(random *rand.Rand) []plannedFault {
	leaders := make([]plannedFault, 1+random.IntN(3))
	for i := range leaders {
		leaders[i] = plannedFault{
			kind:    []int{killed, killed, killed, paused}[random.IntN(4)],
			wait:    randomTime(random, 2000, 6000),
			lasting: randomTime(random, 1000, 4000),
		}
	}
	leaders[0].wait = randomTime(random, 200, 400)
	return leaders
}

// injectLosses causes losses until ctx ends.
func (f *fleet) injectLosses(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, lossStream))
	var faults sync.WaitGroup
	for ctx.Err() == nil {
		loss := f.drawLoss(random)
		pause(ctx, loss.wait)
		f.lose(ctx, &loss, &faults)
		pause(ctx, lossRest)
	}
	faults.Wait()
}

// lose returns when the last leader is lost. The faults that last longer are added to the
// group.
func (f *fleet) lose(ctx context.Context, loss *plannedLoss, faults *sync.WaitGroup) {
	f.t.Logf("%d executors, %d agents and %d leaders in series are lost, or all entries: %t", len(loss.executors), len(loss.agents), len(loss.leaders), f.outages)
	for _, lost := range loss.executors {
		faults.Go(func() { f.loseExecutor(ctx, lost) })
	}
	pause(ctx, loss.agentsAfter)
	for _, fault := range loss.agents {
		faults.Go(func() { f.disturbInSeries(ctx, []plannedFault{fault}) })
	}
	for _, fault := range loss.leaders {
		pause(ctx, fault.wait)
		if f.outages {
			f.killEntries(ctx, fault.lasting, faults)
		} else {
			f.loseLeader(ctx, fault, faults)
		}
	}
}

// loseLeader causes a fault of the process that leads.
func (f *fleet) loseLeader(ctx context.Context, fault plannedFault, faults *sync.WaitGroup) {
	for ctx.Err() == nil {
		if fault.process = f.leader(ctx); fault.process != nil && fault.process.faulty.TryLock() {
			faults.Go(func() {
				defer fault.process.faulty.Unlock()
				f.inject(ctx, fault.process, fault.kind, 0, fault.lasting, 0)
			})
			return
		}
		pause(ctx, leaderInterval)
	}
}

// loseExecutor ends the executor of a host, unless another fault of its incarnation or
// capacity is in progress. Another one starts after the absence.
func (f *fleet) loseExecutor(ctx context.Context, lost lostExecutor) {
	h := f.executors[lost.host]
	if ctx.Err() != nil || !h.faulty.TryLock() {
		return
	}
	defer h.faulty.Unlock()
	if !f.checker.mayCrash(h.executor.Info("s", "z", nil).GetId()) {
		return
	}
	f.t.Logf("the executor of host %d is lost, the next one starts after %s (0: at the end)", lost.host, lost.absence)
	f.checker.beginFault()
	f.end(lost.host)
	f.checker.endFault()
	if lost.absence > 0 {
		pause(ctx, lost.absence)
	} else {
		<-ctx.Done()
	}
	f.startAgain(lost.host, f.nextID(lost.host), defaultCapacity.GetMillicores())
}

// leader returns the process that has appended the newest record of the topic of the
// leaders, or nil. No process is asked: one that was paused may think that it leads.
func (f *fleet) leader(ctx context.Context) *process {
	page, err := (&emulator.KeyedLogClient{Log: f.log}).Newest(ctx, "leader", "")
	if err != nil {
		return nil
	}
	for _, record := range page.GetRecords() {
		leadership := &wire.Leadership{}
		if proto.Unmarshal(record.GetValue(), leadership) != nil {
			continue
		}
		for _, entry := range f.entries {
			if entry.name == leadership.GetProcess() {
				return entry
			}
		}
	}
	return nil
}
