package replayer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// Guards against elapsed time that runs ahead of the clocks: by two processes that
// count the same time, by late and repeated records, and by outages of the log.
func TestElapsedTimeIsALowerBound(t *testing.T) {
	s := replayer.New()
	offset := int64(0)
	alive := func(entry, incarnation string, uptime time.Duration) {
		offset++
		s.Apply(offset, &wire.RecordBatch{Records: []*wire.Record{{
			Body: &wire.Record_EntryAlive{EntryAlive: &wire.EntryAlive{
				Entry:       entry,
				Incarnation: incarnation,
				UptimeMs:    uptime.Milliseconds(),
			}},
		}}})
	}
	for second := range time.Duration(20) {
		alive("a", "1", (second+1)*time.Second)
		alive("b", "1", (second+100)*time.Second)
		alive("a", "1", (second/2+1)*time.Second)
	}
	assert.Equal(t, s.ElapsedSince(1), 19*time.Second-5*time.Second)
	assert.Equal(t, s.ElapsedSince(0), time.Duration(0), "the time is unknown")
	alive("a", "1", time.Hour)
	assert.Equal(t, s.ElapsedSince(1), 19*time.Second)
	alive("a", "2", 2*time.Hour)
	alive("a", "1", time.Hour)
	alive("c", "1", 0)
	alive("c", "1", time.Hour)
	s = replayer.Restore(s.Snapshot())
	assert.Equal(t, s.ElapsedSince(1), 19*time.Second)
	alive("b", "1", 125*time.Second)
	assert.Equal(t, s.ElapsedSince(1), 19*time.Second, "b counts less than a")
}
