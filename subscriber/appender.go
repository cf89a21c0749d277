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

// appendTimeout covers the limits of the entry process for an append (2 s) and
// for finding the records in the log after a lost response (2 s).
const appendTimeout = 5 * time.Second

// AppendRecords appends records through an entry process and returns their
// offset. It tries another entry process only if the records certainly did not
// reach the first. Errors are RefusalErrors. It sets the id, actor and time of
// records without them; the id lets the caller repeat a record after an unknown
// outcome.
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
	first := s.entryIndex
	s.mu.Unlock()
	refusal := damaskspread.NotRun(damaskspread.ReasonLogUnavailable, "no addresses of entry processes are configured")
	for i := range s.Entries {
		response, err := s.client(first+i).Append(ctx, connect.NewRequest(&wire.AppendRequest{
			Records: records,
		}))
		if err == nil {
			return response.Msg.GetOffset(), nil
		}
		refusal = toRefusal(err)
		if refusal.Outcome != wire.Outcome_OUTCOME_NOT_RUN || refusal.Reason != damaskspread.ReasonConnectionLost {
			return 0, refusal
		}
	}
	return 0, refusal
}

// toRefusal converts an error of Append to a refusal, whose outcome says whether
// the records may have taken effect.
func toRefusal(err error) *damaskspread.RefusalError {
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

// LeaveCalled reports whether Leave was called: the host leaves because this agent
// stops, and not because an operator drains the host.
func (s *Subscriber) LeaveCalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Leave records that the host is leaving and waits until the record is applied or
// the host is no longer a member. It repeats a failed append until ctx ends.
func (s *Subscriber) Leave(ctx context.Context) error {
	s.prepare()
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	delay := retryMin
	for {
		if done, _ := s.isLeaveApplied(); done {
			return nil
		}
		if err := s.appendLeave(ctx); err != nil {
			if ctx.Err() != nil {
				return err
			}
			delay = s.backOff(ctx, delay)
			continue
		}
		done, changed := s.isLeaveApplied()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-s.Clock.After(appendTimeout):
		case <-ctx.Done():
			return damaskspread.Unknown(damaskspread.ReasonDeadline, "the host_leaving record is appended but not applied yet")
		}
	}
}

// isLeaveApplied reports whether the host is leaving or no member, and returns a
// channel that the next change of the view closes.
func (s *Subscriber) isLeaveApplied() (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.leaving || !s.view.joined, s.changed
}

func (s *Subscriber) appendLeave(ctx context.Context) error {
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
