package follower

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// chunkBytes keeps log entries small, so that the append of a chunk does
	// not noticeably delay the appends of batches.
	chunkBytes          = 256 << 10
	maxChunksPerRead    = 16
	maxChunkAttempts    = 3
	maxPartialSnapshots = 4
	snapshotReadWait    = time.Second
)

func (f *Follower) snapshotStream() string { return "snapshot." + f.Region }

// Chunks compresses a snapshot and splits it into the entries of the snapshot
// stream. id distinguishes it from other snapshots in the stream.
func Chunks(id string, snapshot *wire.Snapshot) ([]*wire.SnapshotChunk, error) {
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return nil, err
	}
	data = deflate(data)
	checksum := sha256.Sum256(data)
	count := max(1, (len(data)+chunkBytes-1)/chunkBytes)
	chunks := make([]*wire.SnapshotChunk, 0, count)
	for i := range count {
		chunks = append(chunks, &wire.SnapshotChunk{
			Id:       id,
			Offset:   snapshot.GetOffset(),
			Index:    int32(i),
			Count:    int32(count),
			Data:     data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)],
			Checksum: checksum[:],
			Deflated: true,
		})
	}
	return chunks, nil
}

// Assembler assembles snapshots from the entries of the snapshot stream, where
// chunks may be repeated, missing, damaged, or interleaved with those of other
// snapshots. It is not safe for concurrent use.
type Assembler struct {
	partial []*partialSnapshot
	// unfinished is set if the last entry belongs to a snapshot that is not
	// complete yet.
	unfinished bool
}

type partialSnapshot struct {
	id string
	// firstOffset is the stream offset of the first chunk that was read.
	firstOffset int64
	chunks      map[int32]*wire.SnapshotChunk
	complete    bool
}

// Add adds an entry of the snapshot stream. If the entry completes a valid
// snapshot, Add returns the snapshot and the stream offset of its first chunk,
// otherwise nil. It ignores entries that are not valid chunks.
func (a *Assembler) Add(entry *wire.LogEntry) (*wire.Snapshot, int64) {
	chunk := &wire.SnapshotChunk{}
	if proto.Unmarshal(entry.GetData(), chunk) != nil || chunk.GetIndex() < 0 || chunk.GetIndex() >= chunk.GetCount() {
		return nil, 0
	}
	partial := a.findOrAdd(chunk.GetId(), entry.GetOffset())
	if partial.complete {
		// Repeated chunks of a complete snapshot must not complete it again.
		a.unfinished = false
		return nil, 0
	}
	partial.chunks[chunk.GetIndex()] = chunk
	a.unfinished = true
	if len(partial.chunks) < int(chunk.GetCount()) {
		return nil, 0
	}
	snapshot := partial.assemble(chunk)
	a.unfinished = snapshot == nil
	return snapshot, partial.firstOffset
}

// Unfinished reports whether the last added chunk belongs to a snapshot that is
// not complete, so that another process may still be writing it.
func (a *Assembler) Unfinished() bool { return a.unfinished }

func (a *Assembler) findOrAdd(id string, offset int64) *partialSnapshot {
	for _, partial := range a.partial {
		if partial.id == id {
			return partial
		}
	}
	partial := &partialSnapshot{
		id:          id,
		firstOffset: offset,
		chunks:      map[int32]*wire.SnapshotChunk{},
	}
	a.partial = append(a.partial, partial)
	if len(a.partial) > maxPartialSnapshots {
		a.partial = a.partial[1:]
	}
	return partial
}

func (p *partialSnapshot) assemble(last *wire.SnapshotChunk) *wire.Snapshot {
	var data []byte
	for i := range last.GetCount() {
		data = append(data, p.chunks[i].GetData()...)
	}
	checksum := sha256.Sum256(data)
	snapshot := &wire.Snapshot{}
	if !bytes.Equal(checksum[:], last.GetChecksum()) || unmarshalSnapshot(data, last.GetDeflated(), snapshot) != nil {
		log.Error().Str("snapshot", p.id).Msg("damaged snapshot ignored")
		return nil
	}
	p.complete = true
	p.chunks = nil
	return snapshot
}

func unmarshalSnapshot(data []byte, deflated bool, snapshot *wire.Snapshot) error {
	if deflated {
		var err error
		if data, err = inflate(data, maxSnapshotBytes); err != nil {
			return err
		}
	}
	return proto.Unmarshal(data, snapshot)
}

// snapshotInfo describes a complete snapshot of the snapshot stream.
type snapshotInfo struct {
	// known is false while no complete snapshot was read or written.
	known bool
	// offset is the last batch that the snapshot covers.
	offset int64
	// position is the offset of its first chunk in the snapshot stream.
	position int64
	// seenAt is when this process read or wrote the snapshot.
	seenAt time.Time
}

// readNewestSnapshot reads the whole snapshot stream and returns the newest
// complete snapshot, nil if there is none.
func (f *Follower) readNewestSnapshot(ctx context.Context) (*wire.Snapshot, error) {
	var newest *wire.Snapshot
	cursor := snapshotCursor{
		assembler: &Assembler{},
	}
	for {
		done, err := cursor.read(ctx, f, 0, func(snapshot *wire.Snapshot) {
			if newest == nil || snapshot.GetOffset() >= newest.GetOffset() {
				newest = snapshot
			}
		})
		if err != nil || done {
			return newest, err
		}
	}
}

// snapshotCursor reads the snapshot stream in order.
type snapshotCursor struct {
	assembler *Assembler
	// next is the offset of the next read.
	next int64
	// firstOffset is the oldest offset that the stream still holds.
	firstOffset int64
	// unfinished is set if the last entry of the latest read did not complete a
	// snapshot: another process is still writing one.
	unfinished bool
	newest     snapshotInfo
}

// read reads the next chunks, calls found for each completed snapshot, and
// reports whether it reached the end of the stream. At the end it waits up to
// wait for the next chunk.
func (c *snapshotCursor) read(ctx context.Context, f *Follower, wait time.Duration, found func(*wire.Snapshot)) (bool, error) {
	response, err := f.read(ctx, f.snapshotStream(), c.next, maxChunksPerRead, wait)
	var passed *damaskspread.RetentionPassedError
	if errors.As(err, &passed) {
		c.firstOffset, c.next = passed.First, passed.First
		return passed.First >= passed.Next, nil
	}
	if err != nil {
		return false, err
	}
	c.firstOffset = response.GetFirstOffset()
	c.next = max(c.next, c.firstOffset)
	c.unfinished = false
	for _, entry := range response.GetEntries() {
		c.next = entry.GetOffset() + 1
		snapshot, firstOffset := c.assembler.Add(entry)
		c.unfinished = c.assembler.Unfinished()
		if snapshot == nil {
			continue
		}
		if !c.newest.known || snapshot.GetOffset() >= c.newest.offset {
			c.newest = snapshotInfo{
				known:    true,
				offset:   snapshot.GetOffset(),
				position: firstOffset,
				seenAt:   f.Clock.Now(),
			}
		}
		found(snapshot)
	}
	return c.next >= response.GetNextOffset(), nil
}
