package emulator

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread/wire"
)

// appendLog implements LogService. The platform's lock guards it.
type appendLog struct {
	platform        *Platform
	streams         map[string]*stream
	windowStart     time.Time
	appendsInWindow int
	changed         chan struct{}
}

type stream struct {
	firstOffset int64
	entries     []logEntry
}

type logEntry struct {
	data []byte
	at   time.Time
}

func newAppendLog(p *Platform) *appendLog {
	return &appendLog{
		platform: p,
		streams:  map[string]*stream{},
		changed:  make(chan struct{}),
	}
}

func (s *stream) nextOffset() int64 { return s.firstOffset + int64(len(s.entries)) }

func (s *stream) dropOldest(count int) {
	s.firstOffset += int64(count)
	s.entries = append([]logEntry(nil), s.entries[count:]...)
}

// stream returns a stream after it dropped the entries past retention.
func (l *appendLog) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{}
	}
	s := l.streams[name]
	drop := 0
	if keep := l.platform.RetainEntries; keep > 0 && len(s.entries) > keep {
		drop = len(s.entries) - keep
	}
	if keep := l.platform.RetainFor; keep > 0 {
		oldest := l.platform.Clock.Now().Add(-keep)
		for drop < len(s.entries) && s.entries[drop].at.Before(oldest) {
			drop++
		}
	}
	if drop > 0 {
		s.dropOldest(drop)
	}
	return s
}

// LogEnd returns the offset of the next entry appended to a stream. Unlike a read, it
// is not subject to the faults of the log.
func (p *Platform) LogEnd(name string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.stream(name).nextOffset()
}

func (l *appendLog) dropAll() {
	for _, s := range l.streams {
		s.dropOldest(len(s.entries))
	}
}

// allowAppend enforces the limit on appends in windows of one second.
func (l *appendLog) allowAppend(now time.Time) bool {
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart = now
		l.appendsInWindow = 0
	}
	l.appendsInWindow++
	return l.platform.AppendsPerSecond == 0 || l.appendsInWindow <= l.platform.AppendsPerSecond
}

func (l *appendLog) AppendEntry(
	_ context.Context, r *connect.Request[wire.AppendEntryRequest],
) (*connect.Response[wire.AppendEntryResponse], error) {
	l.platform.mu.Lock()
	defer l.platform.mu.Unlock()
	now := l.platform.Clock.Now()
	if !l.allowAppend(now) {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("too many appends in this second"))
	}
	s := l.stream(r.Msg.GetStream())
	s.entries = append(s.entries, logEntry{
		data: r.Msg.GetData(),
		at:   now,
	})
	close(l.changed)
	l.changed = make(chan struct{})
	return connect.NewResponse(&wire.AppendEntryResponse{
		Offset: s.nextOffset() - 1,
	}), nil
}

func (l *appendLog) ReadEntries(
	ctx context.Context, r *connect.Request[wire.ReadEntriesRequest],
) (*connect.Response[wire.ReadEntriesResponse], error) {
	deadline := l.platform.Clock.After(time.Duration(r.Msg.GetWaitMs()) * time.Millisecond)
	final := r.Msg.GetWaitMs() <= 0
	for {
		response, changed := l.read(r.Msg)
		if final || len(response.GetEntries()) > 0 || response.GetFirstOffset() > r.Msg.GetFromOffset() {
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
		case <-deadline:
			final = true
		case <-l.platform.logFaults.closed:
			final = true
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

func (l *appendLog) read(r *wire.ReadEntriesRequest) (*wire.ReadEntriesResponse, <-chan struct{}) {
	l.platform.mu.Lock()
	defer l.platform.mu.Unlock()
	s := l.stream(r.GetStream())
	response := &wire.ReadEntriesResponse{
		FirstOffset: s.firstOffset,
		NextOffset:  s.nextOffset(),
	}
	for offset := r.GetFromOffset(); offset >= s.firstOffset && offset < s.nextOffset(); offset++ {
		if r.GetMaxEntries() > 0 && len(response.GetEntries()) == int(r.GetMaxEntries()) {
			break
		}
		response.Entries = append(response.Entries, &wire.LogEntry{
			Offset: offset,
			Data:   s.entries[offset-s.firstOffset].data,
		})
	}
	return response, l.changed
}
