package coordinator_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const (
	learnedImage = "render"
	runTimesKey  = ".run_times"
)

// learningFleet is a test fleet with one entry that learns run times.
func learningFleet(t *testing.T, hosts int, runTime time.Duration) *testFleet {
	f := newTestFleet(t, 0, 0, fixedRunTime(runTime))
	f.learnRunTimes = true
	f.entries = []*entry{{name: "entry-0"}}
	f.startEntry(f.entries[0])
	for range hosts {
		f.hosts = append(f.hosts, f.newHost("host-0"))
		f.startAgent(f.hosts[0])
	}
	return f
}

// estimatedSteps returns one step of tasks of learnedImage with an estimate.
func estimatedSteps(count int32, estimate time.Duration) []*wire.JobStep {
	all := steps(count)
	all[0].Image = learnedImage
	all[0].EstimateMs = estimate.Milliseconds()
	return all
}

// storedRunTimes returns the learned run times in the log, nil if there are none.
func (f *testFleet) storedRunTimes() *wire.RunTimes {
	f.t.Helper()
	client := &emulator.KeyedLogClient{Log: f.log}
	page, err := client.Newest(f.t.Context(), "progress", "")
	assert.NilError(f.t, err)
	for _, record := range page.GetRecords() {
		if record.GetKey() != runTimesKey {
			continue
		}
		stored := &wire.RunTimes{}
		assert.NilError(f.t, proto.Unmarshal(record.GetValue(), stored))
		return stored
	}
	return nil
}

// Guards against run times that nobody learns from, that differ from the time from
// assignment to end, or that a new leader begins without.
func TestRunTimesOutliveTheLeader(t *testing.T) {
	t.Parallel()
	const runTime, estimate = 300 * time.Millisecond, 100 * time.Millisecond
	f := learningFleet(t, 1, runTime)
	first := f.leader()
	f.submit(first, &wire.Job{Id: jobID, Steps: estimatedSteps(8, estimate)})
	f.waitSucceeded(first, jobID)
	stats := first.coordinator.RunTimeStats()
	assert.Equal(t, stats.Kinds, 1)
	assert.Equal(t, stats.Observed, int64(8))
	assert.Assert(t, stats.PredictedError < stats.DeclaredError, "%+v", stats)
	f.waitFor("record of the learned run times", func() bool { return f.storedRunTimes() != nil })
	ratios := f.storedRunTimes().GetRatios()
	assert.Equal(t, len(ratios), 1)
	assert.Equal(t, ratios[0].GetQueue(), "previews")
	assert.Equal(t, ratios[0].GetImage(), learnedImage)
	// At least the logarithm of 300/100 less rounding.
	assert.Assert(t, ratios[0].GetMean() > 1.08, "%v", ratios[0])

	f.killEntry(first)
	f.entries = append(f.entries, &entry{name: "entry-1"})
	f.startEntry(f.entries[1])
	f.leader()
	f.waitFor("restored run times", func() bool { return f.entries[1].coordinator.RunTimeStats().Kinds == 1 })
	assert.Equal(t, f.entries[1].coordinator.RunTimeStats().Observed, int64(0))
}

// Guards against predictions from the wall time of best-effort runs, which are
// paced.
func TestBestEffortRunsAreNotLearned(t *testing.T) {
	t.Parallel()
	f := learningFleet(t, 1, 50*time.Millisecond)
	job := &wire.Job{Id: jobID, Steps: estimatedSteps(2, 20*time.Millisecond)}
	job.Steps[0].FillsIdle = true
	f.submit(f.leader(), job)
	f.waitSucceeded(f.leader(), jobID)
	assert.Equal(t, f.leader().coordinator.RunTimeStats().Observed, int64(0))
}

// Guards against learning from the rest of a run that began from a checkpoint, from
// a run that failed, and from an end that waited for the agent's next session.
func TestPartialRunsAreNotLearned(t *testing.T) {
	t.Parallel()
	f := learningFleet(t, 0, -1)
	leader := f.leader()
	agent := newManualAgent(t, leader, "host-0")
	info := executorInfo("executor-1", 1)
	agent.open(f, "s.1", info)
	observed := func() int64 { return leader.coordinator.RunTimeStats().Observed }
	number := int64(0)
	end := func(request *wire.ExchangeRequest, job string, run int32, cause wire.EndCause, checkpoint string) {
		number++
		request.Ends = []*wire.RunEnd{{Number: number, Task: job + ".0.0.0", Run: run, Cause: cause, Checkpoint: checkpoint}}
		agent.send(request)
	}
	waitStarted := func(job string, run int32) {
		f.waitFor("start order", func() bool {
			for _, order := range agent.pollOrders("s.1", info) {
				if start := order.GetStart(); start != nil && start.GetRun() == run && start.GetTask() == job+".0.0.0" {
					return true
				}
			}
			return false
		})
	}
	f.submit(leader, &wire.Job{Id: jobID, Steps: estimatedSteps(1, time.Second)})
	waitStarted(jobID, 1)
	end(agent.request("s.1", info), jobID, 1, wire.EndCause_END_CAUSE_FAILED, "")
	waitStarted(jobID, 2)
	end(agent.request("s.1", info), jobID, 2, wire.EndCause_END_CAUSE_STOPPED, "saved")
	waitStarted(jobID, 3)
	end(agent.request("s.1", info), jobID, 3, wire.EndCause_END_CAUSE_DONE, "")
	f.waitSucceeded(leader, jobID)
	assert.Equal(t, observed(), int64(0))

	const whole, late = "00000000000000b2", "00000000000000c3"
	f.submit(leader, &wire.Job{Id: whole, Steps: estimatedSteps(1, time.Second)})
	waitStarted(whole, 1)
	end(agent.request("s.1", info), whole, 1, wire.EndCause_END_CAUSE_DONE, "")
	f.waitSucceeded(leader, whole)
	assert.Equal(t, observed(), int64(1))

	f.submit(leader, &wire.Job{Id: late, Steps: estimatedSteps(1, time.Second)})
	waitStarted(late, 1)
	end(agent.opening("s.2", info), late, 1, wire.EndCause_END_CAUSE_DONE, "")
	f.waitSucceeded(leader, late)
	assert.Equal(t, observed(), int64(1))
}

// Guards against a record of run times that can't be decoded and keeps each new
// leader from taking over or from learning, and against a leader with the setting
// off that takes the record for a job or writes one.
func TestUndecodableRunTimes(t *testing.T) {
	t.Parallel()
	for _, learn := range []bool{true, false} {
		f := newTestFleet(t, 0, 0, fixedRunTime(20*time.Millisecond))
		f.learnRunTimes = learn
		writer := &emulator.KeyedLogClient{Log: f.log}
		record := &wire.KeyedRecord{Key: runTimesKey, Value: []byte{0xff, 0xff, 0xff}}
		_, err := writer.Append(t.Context(), "progress", []*wire.KeyedRecord{record}, nil)
		assert.NilError(t, err)
		f.entries = []*entry{{name: "entry-0"}}
		f.startEntry(f.entries[0])
		f.hosts = []*host{f.newHost("host-0")}
		f.startAgent(f.hosts[0])
		f.submit(f.leader(), &wire.Job{Id: jobID, Steps: estimatedSteps(2, 10*time.Millisecond)})
		f.waitSucceeded(f.leader(), jobID)
		if learn {
			f.waitFor("learned run times", func() bool { return f.leader().coordinator.RunTimeStats().Kinds == 1 })
			continue
		}
		assert.Equal(t, f.leader().coordinator.RunTimeStats().Kinds, 0)
		page, err := writer.Newest(t.Context(), "progress", "")
		assert.NilError(t, err)
		assert.Equal(t, page.GetRecords()[0].GetKey(), runTimesKey)
		assert.DeepEqual(t, page.GetRecords()[0].GetValue(), record.GetValue())
	}
}
