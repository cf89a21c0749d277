package subscriber

import (
	"context"
	"errors"
	"net"
	"time"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// appendTimeout covers the entry's own limits for an append (2 s) and for the
// search after a lost response (2 s).
const appendTimeout = 5 * time.Second

// AppendRecords appends through an entry process and returns the offset. It
// tries another one only if the records certainly did not reach the first.
// Errors are RefusalErrors. Records without an id get one, so that the caller
// can repeat them after an unknown outcome.
func (s *Subscriber) AppendRecords(ctx context.Context, records []*wire.Record) (int64, error) {
	s.prepare()
	for _, record := range records {
		if record.GetId() == "" {
			record.Id = newID()
		}
		if record.GetActor() == "" {
			record.Actor = "agent " + s.Spec.GetHost()
		}
		if record.GetRecordedUnixMs() == 0 {
			record.RecordedUnixMs = s.Clock.Now().UnixMilli()
		}
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	s.mu.Lock()
	first := s.entry
	s.mu.Unlock()
	refusal := damaskspread.NotRun(damaskspread.ReasonLogUnavailable, "no entry addresses are set")
	for i := range s.Entries {
		response, err := s.client(first+i).Append(ctx, connect.NewRequest(&wire.AppendRequest{
			Records: records,
		}))
		if err == nil {
			return response.Msg.GetOffset(), nil
		}
		refusal = refusalOf(err)
		if refusal.Outcome != wire.Outcome_OUTCOME_NOT_RUN || refusal.Reason != damaskspread.ReasonConnectionLost {
			return 0, refusal
		}
	}
	return 0, refusal
}

// refusalOf tells from an error whether the records may have taken effect.
func refusalOf(err error) *damaskspread.RefusalError {
	var remote *connect.Error
	if errors.As(err, &remote) && remote.Meta().Get(damaskspread.MetaOutcome) != "" {
		reason := damaskspread.Reason(remote.Meta().Get(damaskspread.MetaReason))
		if remote.Meta().Get(damaskspread.MetaOutcome) == damaskspread.OutcomeName(wire.Outcome_OUTCOME_NOT_RUN) {
			return damaskspread.NotRun(reason, "%s", remote.Message())
		}
		return damaskspread.Unknown(reason, "%s", remote.Message())
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return damaskspread.NotRun(damaskspread.ReasonConnectionLost, "%v", err)
	}
	return damaskspread.Unknown(damaskspread.ReasonAppendUnknown, "%v", err)
}

// Departing reports whether Leave was called: the departure is this process's
// own and not an operator's order to drain the host.
func (s *Subscriber) Departing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Leave announces the host's departure and waits until it is applied. A host
// that is no longer a member has left.
func (s *Subscriber) Leave(ctx context.Context) error {
	s.prepare()
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	delay := retryMin
	for {
		if done, _ := s.departed(); done {
			return nil
		}
		if err := s.announceLeaving(ctx); err != nil {
			if ctx.Err() != nil {
				return err
			}
			delay = s.pause(ctx, delay)
			continue
		}
		done, changed := s.departed()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-s.Clock.After(appendTimeout):
		case <-ctx.Done():
			return damaskspread.Unknown(damaskspread.ReasonDeadline, "the departure is recorded but not applied yet")
		}
	}
}

func (s *Subscriber) departed() (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.leaving || !s.view.joined, s.changed
}

func (s *Subscriber) announceLeaving(ctx context.Context) error {
	_, err := s.AppendRecords(ctx, []*wire.Record{{
		Body: &wire.Record_HostLeaving{
			HostLeaving: &wire.HostLeaving{
				Host:   s.Ref(),
				Reason: "planned stop",
			},
		},
	}})
	return err
}
