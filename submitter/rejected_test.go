package submitter_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

func submitLarge(t *testing.T, e *testEntry, id string, bytes int) error {
	t.Helper()
	job := &wire.Job{Id: id, Steps: []*wire.JobStep{{Count: 1, RequiredLabel: strings.Repeat("l", bytes)}}}
	return e.submitter.Submit(t.Context(), &wire.Queue{Name: "batch", Service: "s"}, job)
}

// Guards against a job above the limit of a record, whose append an entry repeats for good:
// no other job would be accepted there any more.
func TestOversizedJobIsRefused(t *testing.T) {
	e := newEntry(t, &emulator.KeyedLog{Clock: clockwork.NewRealClock(), MaxRecordBytes: 256 << 10}, false, 0)
	err := submitLarge(t, e, "00000000000000a1", 300<<10)
	assert.Equal(t, reasonOf(err), damaskspread.ReasonTooLarge)
	assert.NilError(t, submitLarge(t, e, "00000000000000b2", 10))
}

// Guards against a record that the log rejects and that takes the jobs of its batch along.
func TestRejectedRecordRefusesOneJob(t *testing.T) {
	e := newEntry(t, &emulator.KeyedLog{Clock: clockwork.NewRealClock(), MaxRecordBytes: 1000}, false, 0)
	errs := make([]error, 40)
	var calls sync.WaitGroup
	for i := range errs {
		calls.Go(func() {
			bytes := 10
			if i%10 == 3 {
				bytes = 2000
			}
			errs[i] = submitLarge(t, e, fmt.Sprintf("%016x", i+1), bytes)
		})
	}
	calls.Wait()
	for i, err := range errs {
		if i%10 == 3 {
			assert.Equal(t, reasonOf(err), damaskspread.ReasonTooLarge, "job %d", i)
		} else {
			assert.NilError(t, err, "job %d", i)
		}
	}
}
