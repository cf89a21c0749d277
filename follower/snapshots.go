package follower

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// chunkBytes keeps log entries small enough that one doesn't delay the
	// appends of batches noticeably.
	chunkBytes      = 256 << 10
	chunkReadLimit  = 16
	chunkAttempts   = 3
	assembledAtOnce = 4
	watchWait       = time.Second
)

func (f *Follower) snapshotStream() string { return "snapshot." + f.Region }

// Chunks compresses a snapshot and splits it into log records.
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

// Assembler puts snapshots together from chunks that may be repeated, mixed
// with those of other snapshots, incomplete or damaged.
type Assembler struct {
	partial []*partialSnapshot
}

type partialSnapshot struct {
	id     string
	first  int64
	chunks map[int32]*wire.SnapshotChunk
}

// Add takes a log entry. It returns the snapshot that the entry completes, or
// nil, and the offset of the snapshot's first chunk.
func (a *Assembler) Add(entry *wire.LogEntry) (*wire.Snapshot, int64) {
	chunk := &wire.SnapshotChunk{}
	if proto.Unmarshal(entry.GetData(), chunk) != nil || chunk.GetIndex() < 0 || chunk.GetIndex() >= chunk.GetCount() {
		return nil, 0
	}
	partial := a.find(chunk.GetId(), entry.GetOffset())
	partial.chunks[chunk.GetIndex()] = chunk
	if len(partial.chunks) < int(chunk.GetCount()) {
		return nil, 0
	}
	return partial.assemble(chunk), partial.first
}

func (a *Assembler) find(id string, offset int64) *partialSnapshot {
	for _, partial := range a.partial {
		if partial.id == id {
			return partial
		}
	}
	partial := &partialSnapshot{
		id:     id,
		first:  offset,
		chunks: map[int32]*wire.SnapshotChunk{},
	}
	a.partial = append(a.partial, partial)
	if len(a.partial) > assembledAtOnce {
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
		log.Error().Str("snapshot", p.id).Msg("snapshot is damaged and ignored")
		return nil
	}
	// Repeated chunks of a complete snapshot must not complete it again.
	p.chunks = map[int32]*wire.SnapshotChunk{}
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

// seenSnapshot is the newest complete snapshot of the stream.
type seenSnapshot struct {
	known  bool
	offset int64
	// position is where its first chunk is in the snapshot stream.
	position int64
	at       time.Time
}

// readSnapshots reads the whole snapshot stream and returns the newest
// complete snapshot, nil if there is none.
func (f *Follower) readSnapshots(ctx context.Context) (*wire.Snapshot, error) {
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

// snapshotCursor is a position in the snapshot stream.
type snapshotCursor struct {
	assembler *Assembler
	next      int64
	first     int64
	// started is set when a chunk of an incomplete snapshot was read.
	started bool
	seen    seenSnapshot
}

// read takes the next chunks and reports whether it reached the end.
func (c *snapshotCursor) read(ctx context.Context, f *Follower, wait time.Duration, found func(*wire.Snapshot)) (bool, error) {
	response, err := f.read(ctx, f.snapshotStream(), c.next, chunkReadLimit, wait)
	var passed *damaskspread.RetentionPassedError
	if errors.As(err, &passed) {
		c.first, c.next = passed.First, passed.First
		return passed.First >= passed.Next, nil
	}
	if err != nil {
		return false, err
	}
	c.first = response.GetFirstOffset()
	c.next = max(c.next, c.first)
	c.started = false
	for _, entry := range response.GetEntries() {
		c.next = entry.GetOffset() + 1
		snapshot, first := c.assembler.Add(entry)
		c.started = snapshot == nil
		if snapshot == nil {
			continue
		}
		if !c.seen.known || snapshot.GetOffset() >= c.seen.offset {
			c.seen = seenSnapshot{
				known:    true,
				offset:   snapshot.GetOffset(),
				position: first,
				at:       f.Clock.Now(),
			}
		}
		found(snapshot)
	}
	return c.next >= response.GetNextOffset(), nil
}

func (f *Follower) runSnapshots(ctx context.Context) error {
	select {
	case <-f.loaded:
	case <-ctx.Done():
		return nil
	}
	w := snapshotWriter{
		follower: f,
		begun:    f.Clock.Now(),
		cursor: snapshotCursor{
			assembler: &Assembler{},
		},
	}
	delay := retryMin
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			log.Debug().Err(err).Msg("snapshot stream failed")
			delay = f.pause(ctx, delay)
			continue
		}
		delay = retryMin
	}
	return nil
}

// snapshotWriter decides when this process writes a snapshot.
type snapshotWriter struct {
	follower *Follower
	cursor   snapshotCursor
	begun    time.Time
	due      time.Time
	// caughtUp is set once the stream was read to its end.
	caughtUp bool
}

func (w *snapshotWriter) step(ctx context.Context) error {
	f := w.follower
	end, err := w.cursor.read(ctx, f, watchWait, func(*wire.Snapshot) {})
	if err != nil {
		return err
	}
	w.caughtUp = w.caughtUp || end
	if !w.caughtUp || !w.wanted() {
		w.due = time.Time{}
		return nil
	}
	now := f.Clock.Now()
	if w.urgent() {
		return w.write(ctx)
	}
	// Another process has begun to write: waits for the rest of its chunks.
	if w.due.IsZero() || w.cursor.started {
		w.due = now.Add(f.jitter(f.SnapshotDelay))
	}
	if now.Before(w.due) {
		return nil
	}
	return w.write(ctx)
}

// wanted reports whether the newest snapshot is too old and this process holds
// a state that can replace it.
func (w *snapshotWriter) wanted() bool {
	f := w.follower
	offset := f.Offset()
	if offset < 0 || !f.Ready() || f.Err() != nil || offset+1 < f.firstKept.Load() {
		return false
	}
	last := w.last()
	return w.urgent() || offset-last.offset >= f.SnapshotEvery || f.Clock.Since(last.at) >= f.Retention/4
}

// urgent reports whether a process that starts now could not rebuild the
// state: records after the newest snapshot, or the snapshot itself, expired.
func (w *snapshotWriter) urgent() bool {
	last := w.last()
	return w.follower.firstKept.Load() > last.offset+1 ||
		(last.known && w.cursor.first > last.position)
}

func (w *snapshotWriter) last() seenSnapshot {
	if w.cursor.seen.known {
		return w.cursor.seen
	}
	return seenSnapshot{
		offset: -1,
		at:     w.begun,
	}
}

func (w *snapshotWriter) write(ctx context.Context) error {
	f := w.follower
	w.due = time.Time{}
	snapshot := f.Snapshot()
	chunks, err := Chunks(newID(), snapshot)
	if err != nil {
		return err
	}
	var first int64
	for i, chunk := range chunks {
		position, err := f.appendChunk(ctx, chunk)
		if err != nil {
			return err
		}
		if i == 0 {
			first = position
		}
	}
	w.cursor.seen = seenSnapshot{
		known:    true,
		offset:   snapshot.GetOffset(),
		position: first,
		at:       f.Clock.Now(),
	}
	log.Info().Int64("offset", snapshot.GetOffset()).Int("chunks", len(chunks)).Msg("snapshot written")
	return nil
}

// appendChunk repeats an append whose response was lost: a chunk that is in
// the stream twice has no effect.
func (f *Follower) appendChunk(ctx context.Context, chunk *wire.SnapshotChunk) (int64, error) {
	data, err := proto.Marshal(chunk)
	if err != nil {
		return 0, err
	}
	delay := retryMin
	for attempt := 1; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, f.CallTimeout)
		offset, err := f.Log.Append(callCtx, f.snapshotStream(), data)
		cancel()
		if err == nil || attempt == chunkAttempts || ctx.Err() != nil {
			return offset, err
		}
		delay = f.pause(ctx, delay)
	}
}

func newID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
