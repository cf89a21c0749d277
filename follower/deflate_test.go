package follower_test

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/wire"
)

func batchOf(records int) *wire.RecordBatch {
	batch := &wire.RecordBatch{}
	for i := range records {
		batch.Records = append(batch.Records, &wire.Record{
			Id:    fmt.Sprint("id-", i),
			Actor: "caller atelier",
		})
	}
	return batch
}

// Guards against batches that are lost or changed by compression, of sizes on
// both sides of the limit, and against entries of the uncompressed form that a
// log still holds.
func TestBatchEncoding(t *testing.T) {
	for _, records := range []int{0, 1, 100, 10_000} {
		batch := batchOf(records)
		plain, err := proto.Marshal(batch)
		assert.NilError(t, err)
		data, err := follower.EncodeBatch(batch)
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= len(plain))
		assert.Assert(t, records < 100 || len(data) < len(plain)/2, "%d of %d bytes", len(data), len(plain))
		for _, entry := range [][]byte{data, plain} {
			decoded, err := follower.DecodeBatch(entry)
			assert.NilError(t, err)
			assert.Assert(t, proto.Equal(decoded, batch))
		}
	}
}

// Guards against a damaged entry that is applied in part by some readers.
func TestDamagedBatchIsEmpty(t *testing.T) {
	data, err := follower.EncodeBatch(batchOf(1_000))
	assert.NilError(t, err)
	whole := &wire.RecordBatch{}
	assert.NilError(t, proto.Unmarshal(data, whole))
	truncated := whole.GetDeflated()[:len(whole.GetDeflated())-10]
	for name, deflated := range map[string][]byte{
		"truncated": truncated, "no stream": []byte("damaged"),
	} {
		t.Run(name, func(t *testing.T) {
			entry, err := proto.Marshal(&wire.RecordBatch{
				Records:  batchOf(3).GetRecords(),
				Deflated: deflated,
			})
			assert.NilError(t, err)
			decoded, err := follower.DecodeBatch(entry)
			assert.ErrorContains(t, err, "not a valid batch")
			assert.Equal(t, len(decoded.GetRecords()), 0)
		})
	}
}

// Guards against snapshots of the uncompressed form that a log still holds.
func TestSnapshotForms(t *testing.T) {
	snapshot := &wire.Snapshot{
		Offset: 7,
	}
	for i := range 10_000 {
		snapshot.Sections = append(snapshot.Sections, &wire.SectionState{
			Section: fmt.Sprint("team ", i),
		})
	}
	chunks, err := follower.Chunks("s1", snapshot)
	assert.NilError(t, err)
	plain, err := proto.Marshal(snapshot)
	assert.NilError(t, err)
	size := 0
	for _, chunk := range chunks {
		size += len(chunk.GetData())
	}
	assert.Assert(t, size < len(plain)/2, "%d of %d bytes", size, len(plain))
	old := &wire.SnapshotChunk{
		Id:       "s0",
		Count:    1,
		Data:     plain,
		Checksum: checksum(plain),
	}
	for _, form := range [][]*wire.SnapshotChunk{chunks, {old}} {
		assembler := &follower.Assembler{}
		var whole *wire.Snapshot
		for i, chunk := range form {
			data, err := proto.Marshal(chunk)
			assert.NilError(t, err)
			whole, _ = assembler.Add(&wire.LogEntry{
				Offset: int64(i),
				Data:   data,
			})
		}
		assert.Assert(t, proto.Equal(whole, snapshot))
	}
}

func checksum(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:]
}
