package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/wire"
)

// SilentHost is a member without heartbeats in the log whose worker is to be read.
type SilentHost struct {
	Spec    *wire.HostSpec
	Timeout time.Duration
}

// HostsToRead returns the hosts with tasks that this entry owns and that have been
// silent for half of TaskHold. Unless their workers are read, a release returns tasks
// to the queue that have ended there. Expired hosts are fenced instead (see
// HostsToFence). A member is not fenced: its agent may be about to renew the leases,
// or to restart and adopt the tasks. age is the age of the state; HostsToRead returns
// none while it exceeds the currency limit.
func (p *Planner) HostsToRead(now time.Time, age time.Duration) []SilentHost {
	if age > p.limits.CurrencyLimit {
		return nil
	}
	var hosts []SilentHost
	for _, h := range p.hostList {
		if h.expired || len(h.tasks) == 0 || p.silence(h, now) < p.limits.TaskHold/2 ||
			now.Sub(h.readTriedAt) < p.workerRetryInterval() || !p.owns("host/"+h.spec.GetHost()) {
			continue
		}
		h.readTriedAt = now
		hosts = append(hosts, SilentHost{
			Spec:    h.spec,
			Timeout: p.workerTimeout(),
		})
	}
	return hosts
}

// ReadRecords returns the records of the tasks that have ended according to the worker
// of a silent host. The agent may record the same; the first record of an attempt's
// end counts. A checkpoint of a task that runs is left out, because the agent may have
// recorded a newer one.
func (p *Planner) ReadRecords(spec *wire.HostSpec, tasks []*wire.WorkerTask, now time.Time) []*wire.Record {
	h := p.hosts[spec.GetHost()]
	if h == nil || h.spec.GetWorkerBoot() != spec.GetWorkerBoot() {
		return nil
	}
	ended := slices.DeleteFunc(slices.Clone(tasks), func(task *wire.WorkerTask) bool {
		return task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING
	})
	return p.endRecords(h, ended, now)
}

// ReadSilent reads the workers of the silent hosts that this entry owns and appends
// the ends of their tasks.
func (s *Scheduler) ReadSilent(ctx context.Context) {
	var hosts []SilentHost
	s.withLock(func() { hosts = s.Planner.HostsToRead(s.Clock.Now(), s.Follower.Age()) })
	callEach(hosts, func(host SilentHost) { s.readHost(ctx, host) })
}

// callEach calls workers concurrently and waits for all calls.
func callEach[T any](targets []T, call func(T)) {
	slots := make(chan struct{}, maxConcurrentCalls)
	var group sync.WaitGroup
	for _, target := range targets {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			call(target)
		})
	}
	group.Wait()
}

func (s *Scheduler) readHost(ctx context.Context, host SilentHost) {
	readCtx, cancel := context.WithTimeout(ctx, host.Timeout)
	defer cancel()
	tasks, err := s.Read(readCtx, host.Spec)
	if err != nil {
		log.Info().Err(err).Str("host", host.Spec.GetHost()).Msg("reading the worker of a silent host failed")
		return
	}
	s.appendPlanned(ctx, func(now time.Time) []*wire.Record { return s.Planner.ReadRecords(host.Spec, tasks, now) })
}
