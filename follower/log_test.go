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

// fakeLog is an in-memory damaskspread.LogClient. Reads wait in real time for
// new entries, at most maxWait.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string]*fakeStream
	// appended is closed and replaced by each append.
	appended chan struct{}
	// onRead is called before each read of a stream.
	onRead func(stream string)
}

type fakeStream struct {
	firstOffset int64
	entries     []*wire.LogEntry
}

const maxWait = 5 * time.Millisecond

func newLog() *fakeLog {
	return &fakeLog{
		streams:  map[string]*fakeStream{},
		appended: make(chan struct{}),
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
	offset := s.firstOffset + int64(len(s.entries))
	s.entries = append(s.entries, &wire.LogEntry{
		Offset: offset,
		Data:   data,
	})
	close(l.appended)
	l.appended = make(chan struct{})
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*wire.ReadEntriesResponse, error) {
	if l.onRead != nil {
		l.onRead(stream)
	}
	timeout := time.After(min(wait, maxWait))
	for {
		l.mu.Lock()
		s, appended := l.stream(stream), l.appended
		next := s.firstOffset + int64(len(s.entries))
		response := &wire.ReadEntriesResponse{
			FirstOffset: s.firstOffset,
			NextOffset:  next,
		}
		if from >= s.firstOffset && from < next {
			entries := s.entries[from-s.firstOffset:]
			response.Entries = entries[:min(limit, len(entries))]
		}
		firstOffset := s.firstOffset
		l.mu.Unlock()
		if from < firstOffset {
			return nil, &damaskspread.RetentionPassedError{
				From:  from,
				First: firstOffset,
				Next:  next,
			}
		}
		if len(response.GetEntries()) > 0 || wait == 0 {
			return response, nil
		}
		select {
		case <-appended:
		case <-timeout:
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// expire removes the entries before firstOffset.
func (l *fakeLog) expire(stream string, firstOffset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	s.entries = s.entries[firstOffset-s.firstOffset:]
	s.firstOffset = firstOffset
}

func (l *fakeLog) nextOffset(stream string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	return s.firstOffset + int64(len(s.entries))
}

// appendTask appends a batch that submits one task and returns its offset.
func (l *fakeLog) appendTask(task string) int64 {
	batch := &wire.RecordBatch{}
	_ = prototext.Unmarshal(fmt.Appendf(nil, `records {id: "record %[1]s" task_submitted {spec {task: %[1]q}}}`, task), batch)
	data, _ := proto.Marshal(batch)
	offset, _ := l.Append(context.Background(), "state.r", data)
	return offset
}
