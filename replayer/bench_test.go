package replayer_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// The size that the scheduler is designed for.
const (
	targetHosts   = 3100
	targetClaimed = 35_400
	targetPending = 36_000
	batchRecords  = 1000
)

var sizes = []struct {
	name    string
	divisor int
}{
	{"quarter", 4},
	{"half", 2},
	{"full", 1},
}

// buildBatches returns the batches for a state with 1/divisor of the target's
// hosts and tasks.
func buildBatches(divisor int) []*wire.RecordBatch {
	var records []*wire.Record
	hosts := targetHosts / divisor
	for i := range hosts {
		record := hostJoined(fmt.Sprintf("host-%d", i), "i1", "b1", fmt.Sprintf("z%d", i%10))
		spec := record.GetHostJoined().GetSpec()
		spec.Capacity.Millicores = 64_000
		spec.Endpoint.Service = fmt.Sprintf("service-%d", i%40)
		records = append(records, record)
	}
	for i := range (targetClaimed + targetPending) / divisor {
		records = append(records, taskSubmitted(fmt.Sprintf("task-%d", i), fmt.Sprintf("key-%d", i), 1000))
	}
	for i := range targetClaimed / divisor {
		records = append(records, taskClaimed(fmt.Sprintf("task-%d", i), 1, fmt.Sprintf("host-%d", i%hosts), "b1"))
	}
	var batches []*wire.RecordBatch
	for len(records) > 0 {
		count := min(len(records), batchRecords)
		batches = append(batches, &wire.RecordBatch{
			Records: records[:count],
		})
		records = records[count:]
	}
	return batches
}

func replayAll(batches []*wire.RecordBatch) *replayer.State {
	state := replayer.New()
	for i, batch := range batches {
		state.Apply(int64(i), batch)
	}
	return state
}

func forEachSize(b *testing.B, run func(b *testing.B, batches []*wire.RecordBatch)) {
	for _, size := range sizes {
		b.Run(size.name, func(b *testing.B) {
			batches := buildBatches(size.divisor)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, batches)
		})
	}
}

func BenchmarkReplay(b *testing.B) {
	forEachSize(b, func(b *testing.B, batches []*wire.RecordBatch) {
		for b.Loop() {
			replayAll(batches)
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	forEachSize(b, func(b *testing.B, batches []*wire.RecordBatch) {
		state := replayAll(batches)
		var snapshot *wire.Snapshot
		for b.Loop() {
			snapshot = state.Snapshot()
		}
		b.ReportMetric(float64(proto.Size(snapshot))/(1<<20), "MiB")
	})
}

func BenchmarkRestore(b *testing.B) {
	forEachSize(b, func(b *testing.B, batches []*wire.RecordBatch) {
		snapshot := replayAll(batches).Snapshot()
		for b.Loop() {
			replayer.Restore(snapshot)
		}
	})
}
