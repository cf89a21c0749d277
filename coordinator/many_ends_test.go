package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

const (
	// manyTasks end on one host while its agent is away, and take several pages of ends.
	manyTasks, endsPerPage = 16, 3
	// manyTaskTime is shorter than an executor's lease, which has to outlive the agent.
	manyTaskTime = 700 * time.Millisecond
)

// playManyEnds runs tasks on a host that lists few ends at a time, and kills its agent. Once
// all tasks have ended, away is called and the agent starts again. A second host has room.
func playManyEnds(t *testing.T, away func(f *testFleet, h *host)) {
	f := newTestFleet(t, 3, 1, fixedRunTime(manyTaskTime))
	h := f.hosts[0]
	h.executor.MaxListedEnds = endsPerPage
	f.waitFor("session", func() bool { return f.leader().coordinator.Sessions() == 1 })
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(manyTasks)})
	f.waitFor("starts", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) == manyTasks })
	f.killAgent(h)
	f.hosts = append(f.hosts, f.newHost("host-1"))
	f.startAgent(f.hosts[1])
	f.waitFor("ends", func() bool { return h.executor.Running() == 0 })
	away(f, h)
	f.startAgent(h)
	f.waitFor("success", func() bool { return f.jobState(f.leader(), jobID) == wire.JobState_JOB_STATE_SUCCEEDED })
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_DONE), manyTasks)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.DeepEqual(t, f.startsAfterDone, []string(nil))
}

// Guards against second runs of tasks that are done: more ends wait on an executor than it
// lists at a time when its agent starts again, also if the leader or another process of the
// agent is lost before the first of them are stored.
func TestManyEndsWaitForTheAgent(t *testing.T) {
	t.Parallel()
	for name, away := range map[string]func(f *testFleet, h *host){
		"agent lost": func(*testFleet, *host) {},
		"leader lost too": func(f *testFleet, _ *host) {
			f.killEntry(f.leader())
		},
		"leader lost after the opening": func(f *testFleet, _ *host) {
			leader := f.leader()
			f.mu.Lock()
			defer f.mu.Unlock()
			f.onOpening = func(request *wire.ExchangeRequest) {
				if request.GetHost() == "host-0" && leader.tomb.Alive() {
					go f.killEntry(leader)
				}
			}
		},
		"agent lost again before the ends are stored": func(f *testFleet, h *host) {
			leader := f.leader()
			leader.client.SetDown(true)
			f.startAgent(h)
			time.Sleep(200 * time.Millisecond)
			f.killAgent(h)
			leader.client.SetDown(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playManyEnds(t, away)
		})
	}
}
