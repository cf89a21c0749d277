package predictor

import (
	"cmp"
	"math"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

const (
	// MaxRecordBytes bounds the encoded size of the record.
	MaxRecordBytes = 64 << 10
	// maxKinds bounds the memory. About as many kinds with names of 100 bytes fit in
	// one record.
	maxKinds = 512
	// maxNameBytes is the length of queue and image together above which a kind is
	// not learned.
	maxNameBytes = 4096
)

// ratiosField is the field number of RunTimes.ratios.
const ratiosField = 1

// Record returns the learned run times for Restore, those observed last first. It
// leaves out the ones that don't fit in MaxRecordBytes.
func (r *RunTimes) Record() *wire.RunTimes {
	keys := make([]kind, 0, len(r.kinds))
	for key := range r.kinds {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b kind) int {
		return cmp.Compare(r.kinds[b].lastObserved, r.kinds[a].lastObserved)
	})
	record := &wire.RunTimes{}
	size := 0
	for _, key := range keys {
		ratio := &wire.RunTimeRatio{
			Queue:  key.queue,
			Image:  key.image,
			Weight: r.kinds[key].weight,
			Mean:   r.kinds[key].mean,
		}
		size += protowire.SizeTag(ratiosField) + protowire.SizeBytes(proto.Size(ratio))
		if size > MaxRecordBytes {
			break
		}
		record.Ratios = append(record.Ratios, ratio)
	}
	return record
}

// Restore replaces the learned run times by those of a record. Ratios with
// impossible values are ignored.
func (r *RunTimes) Restore(record *wire.RunTimes) {
	*r = RunTimes{}
	// The first ratio of the record was observed last.
	for _, ratio := range slices.Backward(record.GetRatios()) {
		if !plausible(ratio) {
			continue
		}
		key := kind{ratio.GetQueue(), ratio.GetImage()}
		known := r.kinds[key]
		if known == nil {
			known = r.add(key)
		}
		r.sequence++
		known.lastObserved = r.sequence
		known.weight = min(ratio.GetWeight(), maxWeight)
		known.mean = boundedLog(ratio.GetMean())
	}
}

func plausible(ratio *wire.RunTimeRatio) bool {
	return ratio.GetWeight() > 0 && !math.IsInf(ratio.GetWeight(), 0) &&
		!math.IsNaN(ratio.GetMean()) && !math.IsInf(ratio.GetMean(), 0) &&
		len(ratio.GetQueue())+len(ratio.GetImage()) <= maxNameBytes
}
