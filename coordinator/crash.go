package coordinator

import (
	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// applyExposure applies an agent's report that its executor lost its connections
// shortly after it had started a run.
func (c *Coordinator) applyExposure(view *sessionView, exposure *wire.CrashExposure) {
	t := c.task(exposure.GetTask())
	switch {
	case t == nil:
	case exposure.GetWithdrawn():
		t.WithdrawExposure(exposure.GetRun())
	case t.Expose(exposure.GetRun()):
		recordCrash(t, exposure.GetRun(), view.host)
	}
}

// recordCrash logs a crash that was counted for a run of the task.
func recordCrash(t *tracker.Task, run int32, host string) {
	name := t.ID().String()
	givenUp := t.Job().State() == wire.JobState_JOB_STATE_FAILED
	log.Warn().Str("job", t.ID().Job).Str("task", name).Int32("run", run).Str("host", host).
		Int32("crashes", t.Crashes()).Bool("given_up", givenUp).Msg("executor crashed shortly after it started the task")
	tracer.Write(&tracer.CrashCounted{
		Job:     t.ID().Job,
		Task:    name,
		Run:     run,
		Host:    host,
		Crashes: t.Crashes(),
		GivenUp: givenUp,
	})
}
