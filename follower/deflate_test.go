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

// Checks that compression neither loses nor changes batches of sizes below and
// above minDeflateBytes, and that uncompressed entries, which a log may still
// hold, can be decoded.
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

// Checks that a damaged entry decodes as an empty batch, so that no process
// applies a part of it.
func TestDamagedBatchIsEmpty(t *testing.T) {
	data, err := follower.EncodeBatch(batchOf(1_000))
	assert.NilError(t, err)
	valid := &wire.RecordBatch{}
	assert.NilError(t, proto.Unmarshal(data, valid))
	truncated := valid.GetDeflated()[:len(valid.GetDeflated())-10]
	for name, deflated := range map[string][]byte{
		"truncated": truncated, "not a DEFLATE stream": []byte("damaged"),
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

// Checks that compressed snapshots and uncompressed ones, which a log may still
// hold, can be read.
func TestSnapshotEncodings(t *testing.T) {
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
	uncompressed := &wire.SnapshotChunk{
		Id:       "s0",
		Count:    1,
		Data:     plain,
		Checksum: checksum(plain),
	}
	for _, encoding := range [][]*wire.SnapshotChunk{chunks, {uncompressed}} {
		assembler := &follower.Assembler{}
		var assembled *wire.Snapshot
		for i, chunk := range encoding {
			data, err := proto.Marshal(chunk)
			assert.NilError(t, err)
			assembled, _ = assembler.Add(&wire.LogEntry{
				Offset: int64(i),
				Data:   data,
			})
		}
		assert.Assert(t, proto.Equal(assembled, snapshot))
	}
}

// Guards against a repeated chunk of a complete snapshot that counts as the
// beginning of another one, which would delay the next snapshot.
func TestRepeatedChunkLeavesNothingUnfinished(t *testing.T) {
	chunks, err := follower.Chunks("s1", &wire.Snapshot{Offset: 1})
	assert.NilError(t, err)
	data, err := proto.Marshal(chunks[0])
	assert.NilError(t, err)
	assembler := &follower.Assembler{}
	for offset := range int64(3) {
		snapshot, _ := assembler.Add(&wire.LogEntry{Offset: offset, Data: data})
		assert.Equal(t, snapshot != nil, offset == 0)
		assert.Assert(t, !assembler.Unfinished())
	}
}

func checksum(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:]
}
