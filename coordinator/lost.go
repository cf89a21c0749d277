package coordinator

import (
	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// lostExecutor is an executor incarnation whose runs are over.
type lostExecutor struct {
	key   tracker.ExecutorKey
	host  string
	cause tracer.LossCause
	// service is that of the executor, empty if only an earlier leader has known it.
	service string
	// session is that of the executor, empty if it had none with this leader.
	session string
	// replacedBy is the session of the executor that replaced this one.
	replacedBy string
}

// releaseLostTasks releases the tasks of lost executors: those that have left or
// were replaced, and those, orphans included, whose lease has expired.
func (c *Coordinator) releaseLostTasks(cycle *cycleState) {
	for key, orphan := range c.orphans {
		if cycle.now > orphan.deadline {
			delete(c.orphans, key)
			cycle.lostExecutors = append(cycle.lostExecutors, lostExecutor{
				key:   key,
				host:  orphan.host,
				cause: tracer.LossLeaseExpired,
			})
		}
	}
	for _, lost := range cycle.lostExecutors {
		if cycle.byKey[lost.key] != nil {
			// The executor has opened a session meanwhile: its runs are in progress.
			continue
		}
		c.forgetUnassignedOn(lost.key)
		c.forgetSession(cycle, lost.host, lost.key)
		released := 0
		c.eachAssigned(lost.key, func(t *tracker.Task) {
			lost.traceRelease(t)
			c.loseTask(cycle, t, &lost)
			released++
		})
		log.Info().Str("executor", lost.key.ID).Int64("born", lost.key.BornUnixMs).Str("session", lost.session).
			Str("cause", string(lost.cause)).Int("tasks", released).Msg("executor lost; its tasks were released")
	}
}

func (l *lostExecutor) traceRelease(t *tracker.Task) {
	tracer.Write(&tracer.RunLost{
		Job:        t.ID().Job,
		Task:       t.ID().String(),
		Run:        t.Run(),
		Host:       t.Host(),
		Executor:   l.key.ID,
		Born:       l.key.BornUnixMs,
		Session:    l.session,
		Cause:      l.cause,
		ReplacedBy: l.replacedBy,
	})
}

// assignedGang returns the releases of the other assigned tasks of the gang, in case the
// task is done; none without a gang.
func assignedGang(t *tracker.Task) []*tracer.GangRunReleased {
	if !t.Step().GetGang() {
		return nil
	}
	var assigned []*tracer.GangRunReleased
	for _, member := range t.Members() {
		if member == t || !member.Assigned() {
			continue
		}
		assigned = append(assigned, &tracer.GangRunReleased{
			Job:      member.ID().Job,
			Task:     member.ID().String(),
			Run:      member.Run(),
			Host:     member.Host(),
			Executor: member.Executor().ID,
			Born:     member.Executor().BornUnixMs,
			Member:   t.ID().String(),
		})
	}
	return assigned
}

// traceGangReleases writes the releases that the end of a task's run has caused: a
// gang is done as soon as one member is.
func traceGangReleases(assigned []*tracer.GangRunReleased, t *tracker.Task) {
	if !t.Done() {
		return
	}
	for _, release := range assigned {
		tracer.Write(release)
	}
}

func traceIgnoredEnd(view *sessionView, t *tracker.Task, end *wire.RunEnd) {
	tracer.Write(&tracer.RunEndIgnored{
		Job:      t.ID().Job,
		Task:     end.GetTask(),
		Run:      end.GetRun(),
		Host:     view.host,
		Executor: view.key.ID,
		Born:     view.key.BornUnixMs,
		Session:  view.session.id,
		Cause:    end.GetCause().String(),
		Latest:   t.Run(),
	})
}
