package indexer_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/wire"
)

// BenchmarkIndexMemory reports the bytes of the live heap for a job of two steps that every
// entry keeps until it is removed, without the specification and with the largest one.
func BenchmarkIndexMemory(b *testing.B) {
	const count = 2000
	for name, spec := range map[string]string{"no specification": "", "4,000 bytes": strings.Repeat("s", 4000)} {
		var records []*wire.KeyedRecord
		for i := range count {
			record, err := indexer.JobRecord(&wire.Job{
				Id:      fmt.Sprintf("%016x", i),
				Queue:   "renders",
				Service: "plieur",
				Spec:    spec,
				Steps: []*wire.JobStep{
					{Count: 4, Image: "img", Resources: &wire.Resources{Millicores: 500, MemoryBytes: 1 << 28}},
					{Count: 20, Image: "img", After: []int32{0}, Resources: &wire.Resources{Millicores: 500, MemoryBytes: 1 << 28}},
				},
			})
			assert.NilError(b, err)
			records = append(records, record)
		}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := liveBytes()
				index := &indexer.Index{}
				index.Apply(records, true)
				b.ReportMetric(float64(liveBytes()-before)/count, "live_bytes")
				runtime.KeepAlive(index)
			}
		})
	}
}

func liveBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
