package tracker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	listedAt = time.Minute
	// likely is the chance of a crash where executors crash all the time.
	likely = 0.4
)

// outlive assigns a run that lists show for two seconds.
func outlive(task *tracker.Task, run int32) bool {
	task.Assign(executorKey, "host", run, 0)
	task.AddListed(run, "", listedAt)
	return task.AddListed(run, "", listedAt+2*time.Second)
}

// Guards against a healthy job that is given up for crashes between which its task ran
// for a long time, and against a task that is cleared by a run that ran for no time.
func TestOutlivedRunClearsTask(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 1, LongRunning: true}))
	task := firstReady(t, j)
	loseExposed(task, 1)
	loseExposed(task, 2)
	assert.Assert(t, outlive(task, 3))
	assert.Equal(t, task.Crashes(), int32(0))
	assert.Equal(t, j.Crashes(), int32(0))
	task.Lose()
	loseExposed(task, 4)
	assert.Equal(t, task.Crashes(), int32(1))
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_RUNNING)

	task.Assign(executorKey, "host", 5, 0)
	assert.Assert(t, !task.AddListed(4, "", listedAt))
	assert.Assert(t, !task.AddListed(5, "", listedAt+time.Minute))
	assert.Assert(t, task.AddListed(5, "checkpoint", listedAt+time.Minute))
}

// Guards against a run that counts as outlived although its agent reports the crash.
func TestReportUndoesClearance(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 1}))
	task := firstReady(t, j)
	loseExposed(task, 1)
	loseExposed(task, 2)
	assert.Assert(t, outlive(task, 3))
	task.Expose(3)
	task.Lose()
	assert.Equal(t, task.Crashes(), int32(3))
	assert.Equal(t, j.Crashes(), int32(3))
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_FAILED)
}

// Guards against a run that is not cleared although its agent has seen its executor end
// long after the start, and one that is cleared without having started.
func TestWitnessedLossClears(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 1}))
	task := firstReady(t, j)
	loseExposed(task, 1)
	task.Assign(executorKey, "host", 2, 0)
	task.LoseWitnessed(listedAt)
	assert.Equal(t, task.Crashes(), int32(1))
	task.Assign(executorKey, "host", 3, 0)
	task.AddListed(3, "", listedAt)
	task.LoseWitnessed(listedAt)
	assert.Equal(t, task.Crashes(), int32(0))
}

// Guards against a fourth start after three crashes: for reports that are lost, for
// leaders that are replaced, for runs that are stopped, and for tasks that were cleared.
func TestStartsAfterThreeCrashesAreLimited(t *testing.T) {
	for name, end := range map[string]func(task *tracker.Task){
		"crash":       func(task *tracker.Task) { task.Expose(task.Run()); task.Lose() },
		"no report":   func(task *tracker.Task) { task.Lose() },
		"late report": func(task *tracker.Task) { task.Lose(); task.Expose(task.Run()) },
		"withdrawal":  func(task *tracker.Task) { task.Expose(task.Run()); task.Lose(); task.WithdrawExposure(task.Run()) },
		"stopped": func(task *tracker.Task) {
			task.End(runEnd(task.Run(), wire.EndCause_END_CAUSE_STOPPED, ""), executorKey.ID)
		},
		"outlived": func(task *tracker.Task) {
			task.AddListed(task.Run(), "", listedAt)
			task.LoseWitnessed(listedAt)
		},
	} {
		t.Run(name, func(t *testing.T) {
			j := tracker.New(jobWith(&wire.JobStep{Count: 1, LongRunning: true}))
			run := int32(0)
			for ; run < 10 && !j.Over(); run++ {
				task := firstReady(t, j)
				task.SetCrashChance(likely)
				task.Assign(executorKey, "host", run+1, 0)
				if run < 3 {
					task.Expose(run + 1)
					task.Lose()
				} else {
					end(task)
				}
				j = restored(j)
			}
			assert.Equal(t, run, int32(5))
			assert.Equal(t, j.State(), wire.JobState_JOB_STATE_FAILED)
		})
	}
}

// Guards against a refused start that counts as one.
func TestRefusedStartsAreNoStarts(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 1}))
	task := firstReady(t, j)
	for run := int32(1); run <= 10; run++ {
		task.SetCrashChance(likely)
		task.Assign(executorKey, "host", run, 0)
		if run > 3 {
			task.Release()
			continue
		}
		// The exposure is that of a run that has started.
		j.MarkStarted()
		task.Expose(run)
		task.Lose()
	}
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_RUNNING)
}

// Guards against a gang that is cleared although one of its members crashes executors.
func TestGangIsClearedByAllMembers(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 2, Gang: true}))
	members := waitingTasks(j.Ready(0)[0])
	loseExposed(members[0], 1)
	assert.Assert(t, !outlive(members[0], 2))
	assert.Equal(t, members[0].Crashes(), int32(1))
	assert.Assert(t, outlive(members[1], 2))
	assert.Equal(t, j.Crashes(), int32(0))
}
