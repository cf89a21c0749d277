package coordinator_test

import (
	"testing"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// shrunkMillicores has room for five tasks, a third of the default.
const shrunkMillicores = 2500

// Guards against starts by the capacity of the incarnation before, when an executor
// restarts under its id with less and has not announced itself yet.
func TestExecutorRestartsSmaller(t *testing.T) {
	f := newTestFleet(t, 1, 0, fixedRunTime(200*time.Millisecond))
	f.announceInterval = 1500 * time.Millisecond
	host := f.newHost("host-0")
	f.hosts = append(f.hosts, host)
	f.startAgent(host)
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(120)})
	f.waitFor("load", func() bool { return host.executor.Running() == defaultMillicores/taskMillicores })
	f.bootWith(host, capacityOf(shrunkMillicores))
	f.waitSucceeded(f.leader(), jobID)
	f.assertWithinCapacity()
}
