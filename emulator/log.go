package emulator

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread/wire"
)

// appendLog serves LogService. The platform's lock guards it.
type appendLog struct {
	platform *Platform
	streams  map[string]*stream
	window   time.Time
	appends  int
	grown    chan struct{}
}

type stream struct {
	first   int64
	entries []entry
}

type entry struct {
	data []byte
	at   time.Time
}

func newAppendLog(p *Platform) *appendLog {
	return &appendLog{
		platform: p,
		streams:  map[string]*stream{},
		grown:    make(chan struct{}),
	}
}

func (s *stream) next() int64 { return s.first + int64(len(s.entries)) }

func (s *stream) drop(count int) {
	s.first += int64(count)
	s.entries = append([]entry(nil), s.entries[count:]...)
}

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
		s.drop(drop)
	}
	return s
}

func (l *appendLog) expire() {
	for _, s := range l.streams {
		s.drop(len(s.entries))
	}
}

// admit enforces the limit on appends in windows of one second.
func (l *appendLog) admit(now time.Time) bool {
	if now.Sub(l.window) >= time.Second {
		l.window = now
		l.appends = 0
	}
	l.appends++
	return l.platform.AppendsPerSecond == 0 || l.appends <= l.platform.AppendsPerSecond
}

func (l *appendLog) AppendEntry(
	_ context.Context, r *connect.Request[wire.AppendEntryRequest],
) (*connect.Response[wire.AppendEntryResponse], error) {
	l.platform.mu.Lock()
	defer l.platform.mu.Unlock()
	now := l.platform.Clock.Now()
	if !l.admit(now) {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("too many appends in this second"))
	}
	s := l.stream(r.Msg.GetStream())
	s.entries = append(s.entries, entry{
		data: r.Msg.GetData(),
		at:   now,
	})
	close(l.grown)
	l.grown = make(chan struct{})
	return connect.NewResponse(&wire.AppendEntryResponse{
		Offset: s.next() - 1,
	}), nil
}

func (l *appendLog) ReadEntries(
	ctx context.Context, r *connect.Request[wire.ReadEntriesRequest],
) (*connect.Response[wire.ReadEntriesResponse], error) {
	deadline := l.platform.Clock.After(time.Duration(r.Msg.GetWaitMs()) * time.Millisecond)
	final := r.Msg.GetWaitMs() <= 0
	for {
		answer, grown := l.read(r.Msg)
		if final || len(answer.GetEntries()) > 0 || answer.GetFirstOffset() > r.Msg.GetFromOffset() {
			return connect.NewResponse(answer), nil
		}
		select {
		case <-grown:
		case <-deadline:
			final = true
		case <-l.platform.logGate.done:
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
	answer := &wire.ReadEntriesResponse{
		FirstOffset: s.first,
		NextOffset:  s.next(),
	}
	for at := r.GetFromOffset(); at >= s.first && at < s.next(); at++ {
		if r.GetMaxEntries() > 0 && len(answer.GetEntries()) == int(r.GetMaxEntries()) {
			break
		}
		answer.Entries = append(answer.Entries, &wire.LogEntry{
			Offset: at,
			Data:   s.entries[at-s.first].data,
		})
	}
	return answer, l.grown
}
