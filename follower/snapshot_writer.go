package follower

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

func (f *Follower) runSnapshotWriter(ctx context.Context) error {
	select {
	case <-f.loaded:
	case <-ctx.Done():
		return nil
	}
	w := snapshotWriter{
		follower:  f,
		startedAt: f.Clock.Now(),
		cursor: snapshotCursor{
			assembler: &Assembler{},
		},
	}
	delay := retryMin
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			log.Debug().Err(err).Msg("snapshot step failed")
			delay = f.pause(ctx, delay)
			continue
		}
		delay = retryMin
	}
	return nil
}

// snapshotWriter watches the snapshot stream and writes a snapshot when the
// newest one is too old.
type snapshotWriter struct {
	follower  *Follower
	cursor    snapshotCursor
	startedAt time.Time
	// writeAt is when the next snapshot is written unless another process
	// writes one before; zero if none is needed.
	writeAt time.Time
	// caughtUp is set once the snapshot stream was read to its end.
	caughtUp bool
}

func (w *snapshotWriter) step(ctx context.Context) error {
	f := w.follower
	end, err := w.cursor.read(ctx, f, snapshotReadWait, func(*wire.Snapshot) {})
	if err != nil {
		return err
	}
	w.caughtUp = w.caughtUp || end
	if !w.caughtUp || !w.needsSnapshot() {
		w.writeAt = time.Time{}
		return nil
	}
	now := f.Clock.Now()
	if w.urgent() {
		return w.write(ctx)
	}
	// While another process writes a snapshot, the delay starts again, to wait
	// for the rest of its chunks.
	if w.writeAt.IsZero() || w.cursor.unfinished {
		w.writeAt = now.Add(f.jitter(f.SnapshotDelay))
	}
	if now.Before(w.writeAt) {
		return nil
	}
	return w.write(ctx)
}

// needsSnapshot reports whether the newest snapshot is too old and the state of
// this process is complete enough to replace it.
func (w *snapshotWriter) needsSnapshot() bool {
	f := w.follower
	offset := f.Offset()
	if offset < 0 || !f.Ready() || f.Err() != nil || offset+1 < f.firstRetained.Load() {
		return false
	}
	newestSnapshot := w.newestSnapshot()
	return w.urgent() || offset-newestSnapshot.offset >= f.SnapshotEvery || f.Clock.Since(newestSnapshot.seenAt) >= f.Retention/4
}

// urgent reports whether a process that starts now would be unable to restore
// the state, because the newest snapshot or records after it have expired.
func (w *snapshotWriter) urgent() bool {
	newestSnapshot := w.newestSnapshot()
	return w.follower.firstRetained.Load() > newestSnapshot.offset+1 ||
		(newestSnapshot.known && w.cursor.firstOffset > newestSnapshot.position)
}

// newestSnapshot returns the newest snapshot. While none is known, its offset is
// -1 and seenAt is the start of the writer.
func (w *snapshotWriter) newestSnapshot() snapshotInfo {
	if w.cursor.newest.known {
		return w.cursor.newest
	}
	return snapshotInfo{
		offset: -1,
		seenAt: w.startedAt,
	}
}

func (w *snapshotWriter) write(ctx context.Context) error {
	f := w.follower
	w.writeAt = time.Time{}
	snapshot := f.Snapshot()
	chunks, err := Chunks(newID(), snapshot)
	if err != nil {
		return err
	}
	var firstOffset int64
	for i, chunk := range chunks {
		position, err := f.appendChunk(ctx, chunk)
		if err != nil {
			return err
		}
		if i == 0 {
			firstOffset = position
		}
	}
	w.cursor.newest = snapshotInfo{
		known:    true,
		offset:   snapshot.GetOffset(),
		position: firstOffset,
		seenAt:   f.Clock.Now(),
	}
	log.Info().Int64("offset", snapshot.GetOffset()).Int("chunks", len(chunks)).Msg("snapshot written")
	return nil
}

// appendChunk appends a chunk and returns its offset. It repeats a failed
// append up to maxChunkAttempts times in all, even if the chunk may have been
// appended: a repeated chunk has no effect.
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
		if err == nil || attempt == maxChunkAttempts || ctx.Err() != nil {
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
