package subscriber_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/subscriber"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// fakeEntry is an entry process whose responses come from functions of the test.
type fakeEntry struct {
	wireconnect.UnimplementedEntryServiceHandler
	sync   func(*wire.SyncRequest) *wire.SyncResponse
	append func() error
}

func (e *fakeEntry) Sync(_ context.Context, request *connect.Request[wire.SyncRequest]) (*connect.Response[wire.SyncResponse], error) {
	return connect.NewResponse(e.sync(request.Msg)), nil
}

func (e *fakeEntry) Append(context.Context, *connect.Request[wire.AppendRequest]) (*connect.Response[wire.AppendResponse], error) {
	if err := e.append(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.AppendResponse{
		Offset: 7,
	}), nil
}

func serveEntry(t *testing.T, e *fakeEntry) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewEntryServiceHandler(e))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func section(text string, offset int64) *wire.SectionState {
	return &wire.SectionState{
		Section: "zone z1",
		Text:    text,
		Position: &wire.Position{
			Offset: offset,
		},
	}
}

// viewAfter sends a response to a Sync call of the subscriber, waits until it is
// applied, and returns the view.
func viewAfter(s *subscriber.Subscriber, responses chan<- *wire.SyncResponse, response *wire.SyncResponse) *subscriber.View {
	responses <- response
	// The next call begins after the response is applied.
	responses <- &wire.SyncResponse{
		AgeUs:     damaskspread.AgeMicros(damaskspread.MaxAge),
		Unchanged: true,
	}
	return s.View()
}

// Guards against an age that is too low and a view that reverts to an earlier
// state. The age must cover the whole call and the age of the entry process. A
// response of an entry process that is behind must be ignored, and a section must
// never be replaced by one with a lower position.
func TestResponseHandling(t *testing.T) {
	clock := clockwork.NewFakeClock()
	responses := make(chan *wire.SyncResponse)
	e := &fakeEntry{
		sync: func(*wire.SyncRequest) *wire.SyncResponse {
			response := <-responses
			clock.Advance(time.Second)
			return response
		},
	}
	s := &subscriber.Subscriber{
		Clock:       clock,
		Entries:     []string{serveEntry(t, e)},
		CallTimeout: time.Minute,
		Spec: &wire.HostSpec{
			Host: "h1",
		},
	}
	assert.Equal(t, s.Age(), damaskspread.MaxAge)
	var running tomb.Tomb
	running.Go(func() error { return s.Run(&running) })
	apply := func(response *wire.SyncResponse) *subscriber.View {
		return viewAfter(s, responses, response)
	}
	claim := &wire.TaskState{
		Host: "h1",
	}
	view := apply(&wire.SyncResponse{
		Offset:   5,
		AgeUs:    2_000_000,
		Claims:   []*wire.TaskState{claim},
		Sections: []*wire.SectionState{section("new", 4)},
	})
	assert.Assert(t, s.Age() >= 3*time.Second && s.Age() < damaskspread.MaxAge, "%v", s.Age())
	assert.Equal(t, len(view.Claims()), 1)
	// The entry process read its age after it had held the call for a second. The
	// agent adds the time since then and the margin for different clock rates.
	apply(&wire.SyncResponse{
		Offset:    5,
		Unchanged: true,
		HeldUs:    1_000_000,
	})
	assert.Assert(t, s.Age() >= 100*time.Millisecond && s.Age() < 2*time.Second, "%v", s.Age())
	view = apply(&wire.SyncResponse{
		Offset:   4,
		Sections: []*wire.SectionState{section("from an entry process that is behind", 9)},
	})
	assert.Equal(t, view.Sections()[0].GetText(), "new")
	view = apply(&wire.SyncResponse{
		Offset:    6,
		Unchanged: true,
		Sections:  []*wire.SectionState{section("old", 3)},
	})
	assert.Equal(t, view.Offset(), int64(6))
	assert.Equal(t, len(view.Claims()), 1)
	assert.Equal(t, view.Sections()[0].GetText(), "new")
	running.Kill(nil)
	close(responses)
	assert.NilError(t, running.Wait())
}

// Guards against wrong outcomes: only an append that never left the agent, or that
// the entry process itself refused, is not_run.
func TestAppendOutcomes(t *testing.T) {
	refused := connect.NewError(connect.CodeUnavailable, errors.New("the log is down"))
	refused.Meta().Set(damaskspread.MetaOutcome, "not_run")
	refused.Meta().Set(damaskspread.MetaReason, string(damaskspread.ReasonLogUnavailable))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable := listener.Addr().String()
	assert.NilError(t, listener.Close())
	for name, tc := range map[string]struct {
		append      func() error
		unreachable bool
		outcome     wire.Outcome
	}{
		"accepted":             {append: func() error { return nil }},
		"first is unreachable": {append: func() error { return nil }, unreachable: true},
		"refused":              {append: func() error { return refused }, outcome: wire.Outcome_OUTCOME_NOT_RUN},
		"untyped error":        {append: func() error { return errors.New("failed") }, outcome: wire.Outcome_OUTCOME_UNKNOWN},
		"connection lost":      {append: func() error { panic(http.ErrAbortHandler) }, outcome: wire.Outcome_OUTCOME_UNKNOWN},
		"all are unreachable":  {unreachable: true, outcome: wire.Outcome_OUTCOME_NOT_RUN},
	} {
		t.Run(name, func(t *testing.T) {
			s := &subscriber.Subscriber{
				Clock: clockwork.NewRealClock(),
				Spec: &wire.HostSpec{
					Host: "h1",
				},
			}
			if tc.unreachable {
				s.Entries = append(s.Entries, unreachable)
			}
			if tc.append != nil {
				s.Entries = append(s.Entries, serveEntry(t, &fakeEntry{
					append: tc.append,
				}))
			}
			offset, err := s.AppendRecords(t.Context(), []*wire.Record{{}})
			if tc.outcome == wire.Outcome_OUTCOME_UNSPECIFIED {
				assert.NilError(t, err)
				assert.Equal(t, offset, int64(7))
				return
			}
			var refusal *damaskspread.RefusalError
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Equal(t, refusal.Outcome, tc.outcome)
		})
	}
}
