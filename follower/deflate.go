package follower

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

const (
	// deflateMin is the size from which compression outweighs its framing.
	deflateMin = 512
	// maxBatchBytes and maxSnapshotBytes bound what a damaged entry may inflate
	// to. Every reader must use the same bound for batches, since it decides
	// whether an entry counts.
	maxBatchBytes    = 256 << 20
	maxSnapshotBytes = 2 << 30
)

// writers are reused because each holds more than half a megabyte of tables.
var writers = sync.Pool{
	New: func() any {
		// The level is valid.
		w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
		return w
	},
}

func deflate(data []byte) []byte {
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	// Writes to a buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

func inflate(data []byte, limit int64) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), limit+1))
	if err == nil && int64(len(out)) > limit {
		err = fmt.Errorf("more than %d bytes after decompression", limit)
	}
	return out, err
}

// EncodeBatch returns the log entry of a batch. Every entry process of a region
// reads all entries, so their size decides what the peak costs each of them.
func EncodeBatch(batch *wire.RecordBatch) ([]byte, error) {
	data, err := proto.Marshal(batch)
	if err != nil || len(data) < deflateMin {
		return data, err
	}
	small, err := proto.Marshal(&wire.RecordBatch{
		Deflated: deflate(data),
	})
	if err != nil || len(small) >= len(data) {
		return data, err
	}
	return small, nil
}

// unmarshalBatch decodes a log entry, compressed or not.
func unmarshalBatch(data []byte) (*wire.RecordBatch, error) {
	batch := &wire.RecordBatch{}
	if err := proto.Unmarshal(data, batch); err != nil || len(batch.GetDeflated()) == 0 {
		return batch, err
	}
	plain, err := inflate(batch.GetDeflated(), maxBatchBytes)
	if err != nil {
		return nil, err
	}
	batch = &wire.RecordBatch{}
	return batch, proto.Unmarshal(plain, batch)
}
