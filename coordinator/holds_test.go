package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// heldLimit is the time within which a job with undecodable progress has to run: the term of
// the first leader, the longest lease of earlier versions, and half a second for each leader
// that has not read the records of those before.
const heldLimit = 16 * time.Second

// damageProgress replaces the stored progress of the job with a record that can't be decoded.
func (f *testFleet) damageProgress() {
	f.t.Helper()
	writer := &emulator.KeyedLogClient{Log: f.log}
	damaged := &wire.KeyedRecord{Key: jobID, Value: []byte{0xff, 0xff, 0xff}}
	_, err := writer.Append(f.t.Context(), "progress", []*wire.KeyedRecord{damaged}, nil)
	assert.NilError(f.t, err)
}

// Guards against a job with undecodable progress that waits anew with each leader.
func TestUndecodableJobRunsAgainWhileLeadersAreLostInSeries(t *testing.T) {
	t.Parallel()
	for name, all := range map[string]bool{
		"leaders lost in series":        false,
		"all entries restart in series": true,
	} {
		t.Run(name, func(t *testing.T) {
			f, lost := newLastingTask(t)
			f.pass(time.Second)
			f.damageProgress()
			lost.executor.Crash()
			f.killAgent(lost)
			f.loseLeadersFor(heldLimit, shortTerm, all)
			assert.Assert(t, f.runsAgain())
		})
	}
}

// Guards against a hold that is forgotten once a change of the job is stored: a later leader
// would start tasks whose runs it doesn't know.
func TestUndecodableJobIsHeldByTheNextLeader(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 3, 3, fixedRunTime(-1))
	job := &wire.Job{Id: jobID, Steps: steps(2)}
	job.Steps[0].Resources.Millicores = defaultMillicores
	f.submit(f.leader(), job)
	f.waitFor("runs", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) == 2 })
	f.pass(1500 * time.Millisecond)
	silent := f.busyHost()
	f.damageProgress()
	f.killAgent(silent)
	for range 2 {
		leader := f.leader()
		leader.elector.Resign(t.Context())
		f.waitFor("next leader", func() bool {
			f.noticeLeaseEnds()
			next := f.leader()
			return next != leader && next.coordinator.Sessions() == 2
		})
		f.pass(200 * time.Millisecond)
	}
	f.pass(2 * lease)
	f.assertNoDuplicateRuns()
}
