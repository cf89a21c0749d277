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
	// minDeflateBytes is the smallest batch for which compression saves more
	// than its framing adds.
	minDeflateBytes = 512
	// maxBatchBytes and maxSnapshotBytes limit the decompressed size, since a
	// damaged entry may inflate to any size. Every process must use the same
	// maxBatchBytes, because a larger entry is applied as an empty batch.
	maxBatchBytes    = 256 << 20
	maxSnapshotBytes = 2 << 30
)

// flateWriters reuses writers because each holds more than 500 kB of tables.
var flateWriters = sync.Pool{
	New: func() any {
		// NewWriter fails only for an invalid level.
		w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
		return w
	},
}

func deflate(data []byte) []byte {
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	// A bytes.Buffer returns no write error.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

func inflate(data []byte, limit int64) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), limit+1))
	if err == nil && int64(len(out)) > limit {
		err = fmt.Errorf("decompressed size exceeds the limit of %d bytes", limit)
	}
	return out, err
}

// EncodeBatch returns the log entry of a batch, compressed if that makes it
// smaller. Every entry process of a region reads all log entries, so their size
// determines the peak read load of each process.
func EncodeBatch(batch *wire.RecordBatch) ([]byte, error) {
	data, err := proto.Marshal(batch)
	if err != nil || len(data) < minDeflateBytes {
		return data, err
	}
	compressed, err := proto.Marshal(&wire.RecordBatch{
		Deflated: deflate(data),
	})
	if err != nil || len(compressed) >= len(data) {
		return data, err
	}
	return compressed, nil
}

// unmarshalBatch decodes a log entry, compressed or not.
func unmarshalBatch(data []byte) (*wire.RecordBatch, error) {
	batch := &wire.RecordBatch{}
	if err := proto.Unmarshal(data, batch); err != nil || len(batch.GetDeflated()) == 0 {
		return batch, err
	}
	inflated, err := inflate(batch.GetDeflated(), maxBatchBytes)
	if err != nil {
		return nil, err
	}
	batch = &wire.RecordBatch{}
	return batch, proto.Unmarshal(inflated, batch)
}
