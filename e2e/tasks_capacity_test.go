package e2e_test

import (
	"fmt"
	"testing"
	"time"

	"damaskspread.example/damaskspread/client"
)

// TestCapacityUnderConcurrentPlacement guards against commitments beyond the
// capacity of a host: three entries place tasks at the same time, each from its
// own replayed state, which is outdated at an entry that resumes from a pause.
func TestCapacityUnderConcurrentPlacement(t *testing.T) {
	runParallel(t)
	random := newSeededRandom(t)
	c := prepareCluster(t, options{
		entries:  3,
		hosts:    3,
		zones:    []string{"a", "b", "c"},
		capacity: smallCapacity,
		document: taskDocument,
	})
	c.startAll()
	var tasks []string
	submit := func(count int, entries ...*entry) {
		for range count {
			r := taskRequest(fmt.Sprintf("ledger-%d", len(tasks)), time.Duration(100+random.IntN(500))*time.Millisecond)
			r.Resources = client.Resources{
				Millicores:   int64(500 + random.IntN(2_500)),
				MemoryBytes:  int64(1+random.IntN(5)) << 30,
				Accelerators: int64(random.IntN(3)),
			}
			tasks = append(tasks, c.submitTo(entries[len(tasks)%len(entries)], r))
		}
	}
	submit(20, c.entries...)
	c.entries[0].pause()
	submit(20, c.entries[1:]...)
	c.hosts[0].kill()
	c.entries[0].resume()
	submit(15, c.entries...)
	c.entries[1].kill()
	c.hosts[0].start()
	c.hosts[1].kill()
	submit(10, c.entries[0], c.entries[2])
	c.entries[2].pause()
	time.Sleep(time.Duration(random.IntN(2_000)) * time.Millisecond)
	c.entries[2].resume()
	c.entries[1].start()
	c.hosts[1].start()
	submit(10, c.entries[0], c.entries[2])
	c.checkFinished(tasks...)
	c.checkCapacity()
}
