package coordinator

import (
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/assessor"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// firstBackoff is the time without starts after an executor becomes suspect.
	// Each further failure multiplies it by backoffFactor, up to maxBackoff.
	firstBackoff  = 800 * time.Millisecond
	backoffFactor = 2
	maxBackoff    = 6 * time.Second
	// suspectClearAfter is the time after the backoff without another failure
	// after which an executor is trusted again, even if no task probed it.
	suspectClearAfter = 3 * time.Second
	// suspectLastingAfter is the time after which a long-running task that fits
	// nowhere else may start on a suspect executor.
	suspectLastingAfter = time.Second
)

// suspicion is the backoff of an executor with failures since its last success.
type suspicion struct {
	// fresh are the steps of the failures since the last call of reviewSuspicions.
	fresh        []assessor.Step
	refusals     int           // since the last call of reviewSuspicions
	backoff      time.Duration // after the next failure
	backoffUntil time.Duration
	// suspect is set while the evidence suffices, since is when it last came to.
	suspect bool
	since   time.Duration
	// unhealthy is set if the executor has refused a start because it is unhealthy.
	unhealthy bool
}

func stepOf(t *tracker.Task) assessor.Step {
	return assessor.Step{
		Job:   t.ID().Job,
		Index: t.ID().Step,
	}
}

// recordEnd adds the end of a run to the evidence. firstFailure is set if the task had no
// earlier failures.
func (c *Coordinator) recordEnd(key tracker.ExecutorKey, t *tracker.Task, cause wire.EndCause, firstFailure bool, now time.Duration) {
	switch cause {
	case wire.EndCause_END_CAUSE_DONE:
		c.failures.AddSuccess(assessor.Executor(key), stepOf(t), now)
		delete(c.suspicions, key)
	case wire.EndCause_END_CAUSE_FAILED:
		c.failures.AddFailure(assessor.Executor(key), stepOf(t), firstFailure, now)
		if firstFailure {
			s := c.suspicionOf(key)
			s.fresh = append(s.fresh, stepOf(t))
		}
	}
}

// recordRefusal adds a refused start to the evidence if the executor is unhealthy or answers
// no orders.
func (c *Coordinator) recordRefusal(key tracker.ExecutorKey, reason string, now time.Duration) {
	if reason == string(damaskspread.RefusedUnhealthy) || reason == string(damaskspread.RefusedUnanswered) {
		c.failures.AddRefusal(assessor.Executor(key), now)
		s := c.suspicionOf(key)
		s.refusals++
		s.unhealthy = true
	}
}

func (c *Coordinator) suspicionOf(key tracker.ExecutorKey) *suspicion {
	s := c.suspicions[key]
	if s == nil {
		s = &suspicion{backoff: firstBackoff}
		c.suspicions[key] = s
	}
	return s
}

// reviewSuspicions weighs the failures that were reported. It starts and extends the
// backoffs of the executors that they speak against, and trusts those again whose
// failures have turned out to be due to their steps.
func (c *Coordinator) reviewSuspicions(now time.Duration) {
	if len(c.suspicions) == 0 {
		return
	}
	c.failures.Weigh(c.inProgress(c.failures.Failing()), now)
	for key, s := range c.suspicions {
		executor := assessor.Executor(key)
		suspect := c.failures.Suspect(executor)
		switch {
		case suspect:
			c.extendBackoff(key, s, now)
		case s.suspect:
			log.Info().Str("executor", key.ID).Float64("evidence", c.failures.Evidence(executor)).
				Msg("executor trusted again: its tasks fail elsewhere too")
			s.backoff = firstBackoff
		}
		s.suspect = suspect
		s.fresh = nil
		s.refusals = 0
		if c.failures.Evidence(executor) == 0 {
			delete(c.suspicions, key)
		}
	}
}

// inProgress returns the executors to which tasks of the steps are assigned.
func (c *Coordinator) inProgress(steps map[assessor.Step]bool) assessor.InProgress {
	running := assessor.InProgress{}
	for step := range steps {
		job := c.jobs[step.Job]
		if job == nil || job.AssignedTasks() == 0 {
			continue
		}
		executors := map[assessor.Executor]bool{}
		job.EachTask(func(t *tracker.Task) {
			if t.Assigned() && t.ID().Step == step.Index {
				executors[assessor.Executor(t.Executor())] = true
			}
		})
		running[step] = executors
	}
	return running
}

// extendBackoff starts or extends the backoff of a suspect executor after new failures.
// The next one is longer, unless their steps explain them.
func (c *Coordinator) extendBackoff(key tracker.ExecutorKey, s *suspicion, now time.Duration) {
	executor := assessor.Executor(key)
	unexplained := s.refusals
	for _, step := range s.fresh {
		if !c.failures.Explained(executor, step) {
			unexplained++
		}
	}
	if !s.suspect {
		// The failures up to SuspectEvidence start the first backoff together.
		unexplained = max(1, unexplained-int(assessor.SuspectEvidence)+1)
		s.since = now
	} else if s.refusals+len(s.fresh) == 0 {
		return
	}
	s.backoffUntil = now + s.backoff
	for range unexplained {
		s.backoffUntil = now + s.backoff
		s.backoff = min(backoffFactor*s.backoff, maxBackoff)
	}
	log.Warn().Str("executor", key.ID).Float64("evidence", c.failures.Evidence(executor)).Int("failures", s.refusals+len(s.fresh)).
		Dur("pause", s.backoffUntil-now).Msg("executor suspect: no starts until its backoff ends")
}

// markSuspect tells the planner what speaks against the executor of the host, and marks
// the host if that is suspect. The host is not usable during
// the backoff; afterwards one task at a time probes it. Long-running tasks are no
// probes, and are admitted unless the executor itself has said that it is unhealthy.
func (c *Coordinator) markSuspect(host *planner.Host, now time.Duration) {
	s := c.suspicions[host.Key]
	if s == nil {
		return
	}
	host.FailureEvidence = c.failures.Evidence(assessor.Executor(host.Key))
	if !s.suspect {
		return
	}
	host.Suspect = true
	host.ProbesFrom = s.backoffUntil
	host.AdmitsLasting = host.Usable && !s.unhealthy && now >= s.since+suspectLastingAfter
	if now < s.backoffUntil {
		host.Usable = false
	}
}

// clearSuspicions trusts executors again that have not failed for
// suspectClearAfter and that no task probes.
func (c *Coordinator) clearSuspicions(hosts []*planner.Host, now time.Duration) {
	for _, host := range hosts {
		s := c.suspicions[host.Key]
		if !host.Suspect || host.HasProbe() || now < s.backoffUntil+suspectClearAfter {
			continue
		}
		host.Suspect = false
		delete(c.suspicions, host.Key)
		c.failures.Clear(assessor.Executor(host.Key))
		log.Info().Str("executor", host.Key.ID).Msg("executor trusted again")
	}
}

// doubtful reports whether the step of the group fails on most executors.
func (c *Coordinator) doubtful(group *tracker.Group) bool {
	return c.failures.Doubtful(assessor.Step{
		Job:   group.Job().Spec().GetId(),
		Index: group.StepIndex(),
	})
}
