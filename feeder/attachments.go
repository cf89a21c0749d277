package feeder

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// attachBatch bounds the hosts of one record.
const attachBatch = 1000

// join appends the record that makes a new incarnation a member and waits
// until it is applied.
func (f *Feeder) join(ctx context.Context, call *wire.SyncRequest) error {
	spec := proto.CloneOf(call.GetSpec())
	if spec.GetHost() != call.GetHost().GetHost() || spec.GetIncarnation() != call.GetHost().GetIncarnation() {
		return refused(connect.CodeInvalidArgument, damaskspread.NotRun(damaskspread.ReasonBadRequest, "the specification is of another host"))
	}
	ctx, cancel := context.WithTimeout(ctx, f.AppendTimeout)
	defer cancel()
	offset, err := f.Recorder.AppendRecords(ctx, []*wire.Record{{
		Actor: "agent " + spec.GetHost(),
		Body: &wire.Record_HostJoined{
			HostJoined: &wire.HostJoined{
				Spec:     spec,
				Entry:    f.Entry.GetEntry(),
				Replaces: call.GetReplaces(),
			},
		},
	}})
	if err != nil {
		return refusedBy(err)
	}
	if err := f.Follower.Wait(ctx, offset); err != nil {
		return refused(connect.CodeUnavailable, damaskspread.Unknown(damaskspread.ReasonDeadline, "the join is recorded but not applied yet: %v", err))
	}
	f.adopt(call)
	return nil
}

// requestAttachment has the agent recorded as attached to this process.
func (f *Feeder) requestAttachment(s *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.attaching {
		s.attaching = f.attachments.TryPut(s)
	}
}

// runAttachments records attachments, many agents in one record: all agents of
// a lost entry process arrive within a second or two.
func (f *Feeder) runAttachments(ctx context.Context) error {
	for {
		first, err := f.attachments.Get(ctx)
		if err != nil {
			return ignoreDone(err)
		}
		batch := []*session{first}
		for len(batch) < attachBatch {
			next, ok := f.attachments.TryGet()
			if !ok {
				break
			}
			batch = append(batch, next)
		}
		if err := f.recordAttachments(ctx, batch); err != nil && ctx.Err() == nil {
			log.Warn().Err(err).Int("hosts", len(batch)).Msg("attachment not recorded")
			select {
			case <-f.Clock.After(attachRetry):
			case <-ctx.Done():
			}
		}
		for _, s := range batch {
			s.mu.Lock()
			s.attaching = false
			s.mu.Unlock()
		}
	}
}

func (f *Feeder) recordAttachments(ctx context.Context, batch []*session) error {
	alive := &wire.HostsAlive{
		Entry: f.Entry.GetEntry(),
	}
	for _, s := range batch {
		alive.Hosts = append(alive.Hosts, s.ref)
	}
	offset, err := f.append(ctx, &wire.Record{
		Body: &wire.Record_HostsAlive{
			HostsAlive: alive,
		},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.AppendTimeout)
	defer cancel()
	return f.Follower.Wait(ctx, offset)
}

// ignoreDone drops the error of a wait that ended because the process stops.
func ignoreDone(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
