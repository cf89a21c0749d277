package soak_test

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// longLeaseMax makes a wait for the end of a lease last so long that it exceeds the bound
// of lasting tasks if it begins again after the entries have.
const longLeaseMax = "9s"

// entryDowntimeShare is the share of the duration of a leader's fault for which an entry
// is down after an outage, 50 to 200 ms: the first one that is back counts the wait from
// then on, because none has read the records of the leader before.
const entryDowntimeShare = 0.05

// killEntries kills all entries at once, except those that have a fault, and starts them
// again one after another. No process remembers then which records it has read.
func (f *fleet) killEntries(ctx context.Context, lasting time.Duration, faults *sync.WaitGroup) {
	if ctx.Err() != nil {
		return
	}
	f.t.Logf("all entries are killed")
	downtime := time.Duration(float64(lasting) * entryDowntimeShare)
	for i, entry := range f.entries {
		if !entry.faulty.TryLock() {
			continue
		}
		faults.Go(func() {
			defer entry.faulty.Unlock()
			f.checker.beginFault()
			defer f.checker.endFault()
			f.checker.disturb(entry.name, true)
			defer f.checker.settle(entry.name, true)
			f.restart(entry, syscall.SIGKILL, downtime*time.Duration(i+1))
		})
	}
}
