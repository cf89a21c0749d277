package feeder_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/feeder"
	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/recorder"
	"damaskspread.example/damaskspread/wire"
)

// BenchmarkSync measures a poll without changes at a quarter, half and all of the
// target size: 3,100 hosts with 11 claims each and 1,000 sections.
func BenchmarkSync(b *testing.B) {
	for _, hosts := range []int{775, 1550, 3100} {
		b.Run(fmt.Sprintf("hosts_%d", hosts), func(b *testing.B) {
			f := benchFeeder(b, hosts)
			offset := f.Follower.Offset()
			poll := func(host int) *wire.SyncResponse {
				response, err := f.Sync(b.Context(), connect.NewRequest(&wire.SyncRequest{
					AppliedOffset: offset,
					Host: &wire.HostRef{
						Host:        fmt.Sprintf("host-%d", host),
						Incarnation: "i1",
					},
				}))
				assert.NilError(b, err)
				return response.Msg
			}
			for host := range hosts {
				poll(host)
			}
			var next atomic.Int64
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if !poll(int(next.Add(1)) % hosts).GetUnchanged() {
						b.Error("a poll without changes sent claims")
					}
				}
			})
		})
	}
}

func benchFeeder(b *testing.B, hosts int) *feeder.Feeder {
	b.Helper()
	batch := &wire.RecordBatch{}
	for i := range hosts {
		host := fmt.Sprintf("host-%d", i)
		batch.Records = append(batch.Records, record(`host_joined {entry: "e1" spec {host: %q incarnation: "i1" worker_boot: "b1"
			endpoint {service: "service-%d"}}}`, host, i%40))
		for j := range 11 {
			task := fmt.Sprintf("task-%d-%d", i, j)
			batch.Records = append(batch.Records, taskSubmitted(task), taskClaimed(task, host))
		}
	}
	for i := range 1000 {
		batch.Records = append(batch.Records, record(`section_published {section: "team %d"}`, i))
	}
	log := &connection{
		fakeLog: newLog(),
	}
	for records := batch.GetRecords(); len(records) > 0; {
		count := min(len(records), 1000)
		data, err := proto.Marshal(&wire.RecordBatch{
			Records: records[:count],
		})
		assert.NilError(b, err)
		_, err = log.Append(b.Context(), "state.r", data)
		assert.NilError(b, err)
		records = records[count:]
	}
	clock := clockwork.NewRealClock()
	f := &feeder.Feeder{
		Clock: clock,
		Entry: &wire.EntryAlive{
			Entry: "e1",
		},
		Follower: &follower.Follower{
			Log:    log,
			Clock:  clock,
			Region: "r",
		},
		Recorder: &recorder.Recorder{
			Log:    log,
			Clock:  clock,
			Region: "r",
		},
	}
	var running tomb.Tomb
	running.Go(func() error { return f.Follower.Run(&running) })
	b.Cleanup(func() {
		running.Kill(nil)
		assert.NilError(b, running.Wait())
	})
	assert.NilError(b, f.Follower.Wait(b.Context(), int64(len(log.streams["state.r"])-1)))
	for !f.Follower.Ready() {
		time.Sleep(time.Millisecond)
	}
	return f
}
