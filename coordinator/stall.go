package coordinator

import (
	"fmt"
	"time"

	"github.com/phuslu/log"
)

// stallReportDelay is how long the goroutine of Run waits for the log before it says so. A
// leader that waits schedules nothing, but renews its leadership.
const stallReportDelay = time.Second

// WaitingSince returns since when this process, which leads, can't make progress, and false
// if it can. It can't while it waits for the log or for current inputs, or while there are
// open jobs and no agent calls it.
func (c *Coordinator) WaitingSince() (since time.Duration, waits bool) {
	since, waits = c.logWaitSince()
	silentSince, silent := c.agentCalls.silentSince(c.Elapsed.Elapsed())
	if silent && c.OpenJobs() > 0 && (!waits || silentSince < since) {
		return silentSince, true
	}
	return since, waits
}

// InputsOldError means that a process must not assign tasks, because what it has read of
// the log is too old.
type InputsOldError struct {
	JobsAge, ConfigAge time.Duration
}

func (e *InputsOldError) Error() string {
	return fmt.Sprintf("inputs too old: jobs %s, configuration %s", e.JobsAge, e.ConfigAge)
}

// checkInputs returns an *InputsOldError if the known jobs or the configuration are older
// than maxInputAge.
func checkInputs(jobsAge, configAge time.Duration) error {
	if jobsAge <= maxInputAge && configAge <= maxInputAge {
		return nil
	}
	return &InputsOldError{
		JobsAge:   jobsAge,
		ConfigAge: configAge,
	}
}

// reportStall calls wait, which waits for the log. A line tells that it takes longer than
// stallReportDelay, and another one how long it took.
func (c *Coordinator) reportStall(epoch int64, what string, wait func() error) error {
	started := c.Elapsed.Elapsed()
	timer := c.Clock.AfterFunc(stallReportDelay, func() {
		log.Warn().Int64("epoch", epoch).Str("for", what).Dur("confirmed", c.Elector.ConfirmationAge()).
			Msg("leader waits for the log; it schedules nothing")
	})
	err := wait()
	timer.Stop()
	if took := c.Elapsed.Elapsed() - started; took >= stallReportDelay {
		log.Warn().Int64("epoch", epoch).Str("for", what).Dur("took", took).Bool("failed", err != nil).
			Msg("leader no longer waits for the log")
	}
	return err
}

// reportOldInputs writes a line when the plan begins to leave out all starts because the
// known jobs or the configuration are too old, and when it goes on.
func (c *Coordinator) reportOldInputs(epoch int64, jobsAge, configAge time.Duration, old bool) {
	if old == c.inputsOld {
		return
	}
	c.inputsOld = old
	message := "inputs current again; tasks are assigned"
	if old {
		message = "inputs too old; no tasks are assigned"
	}
	log.Warn().Int64("epoch", epoch).Dur("jobs_age", jobsAge).Dur("configuration_age", configAge).Msg(message)
}
