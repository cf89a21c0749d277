package follower_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// fakeLog is an in-memory log. Reads wait in real time, at most maxWait.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string]*fakeStream
	changed chan struct{}
	// onRead is called before each read of a stream.
	onRead func(stream string)
}

type fakeStream struct {
	first   int64
	entries []*wire.LogEntry
}

const maxWait = 5 * time.Millisecond

func newLog() *fakeLog {
	return &fakeLog{
		streams: map[string]*fakeStream{},
		changed: make(chan struct{}),
	}
}

func (l *fakeLog) stream(name string) *fakeStream {
	if l.streams[name] == nil {
		l.streams[name] = &fakeStream{}
	}
	return l.streams[name]
}

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	offset := s.first + int64(len(s.entries))
	s.entries = append(s.entries, &wire.LogEntry{
		Offset: offset,
		Data:   data,
	})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*wire.ReadEntriesResponse, error) {
	if l.onRead != nil {
		l.onRead(stream)
	}
	timeout := time.After(min(wait, maxWait))
	for {
		l.mu.Lock()
		s, changed := l.stream(stream), l.changed
		next := s.first + int64(len(s.entries))
		response := &wire.ReadEntriesResponse{
			FirstOffset: s.first,
			NextOffset:  next,
		}
		if from >= s.first && from < next {
			entries := s.entries[from-s.first:]
			response.Entries = entries[:min(limit, len(entries))]
		}
		first := s.first
		l.mu.Unlock()
		if from < first {
			return nil, &damaskspread.RetentionPassedError{
				From:  from,
				First: first,
				Next:  next,
			}
		}
		if len(response.GetEntries()) > 0 || wait == 0 {
			return response, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// expire drops the entries of a stream before an offset.
func (l *fakeLog) expire(stream string, first int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	s.entries = s.entries[first-s.first:]
	s.first = first
}

func (l *fakeLog) next(stream string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	return s.first + int64(len(s.entries))
}

// submit appends a batch with one record.
func (l *fakeLog) submit(task string) int64 {
	batch := &wire.RecordBatch{}
	_ = prototext.Unmarshal(fmt.Appendf(nil, `records {id: "record %[1]s" task_submitted {spec {task: %[1]q}}}`, task), batch)
	data, _ := proto.Marshal(batch)
	offset, _ := l.Append(context.Background(), "state.r", data)
	return offset
}
