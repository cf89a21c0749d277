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

// maxAttachBatch is the largest number of hosts in one HostsAlive record.
const maxAttachBatch = 1000

// join appends the HostJoined record that makes a new incarnation a member,
// waits until the record is applied, and opens the session.
func (f *Feeder) join(ctx context.Context, request *wire.SyncRequest) error {
	spec := proto.CloneOf(request.GetSpec())
	if spec.GetHost() != request.GetHost().GetHost() || spec.GetIncarnation() != request.GetHost().GetIncarnation() {
		return refusalError(connect.CodeInvalidArgument, damaskspread.NotRun(damaskspread.ReasonBadRequest, "the specification does not describe the host and incarnation of the request"))
	}
	ctx, cancel := context.WithTimeout(ctx, f.AppendTimeout)
	defer cancel()
	offset, err := f.Recorder.AppendRecords(ctx, []*wire.Record{{
		Actor: "agent " + spec.GetHost(),
		Body: &wire.Record_HostJoined{
			HostJoined: &wire.HostJoined{
				Spec:     spec,
				Entry:    f.Entry.GetEntry(),
				Replaces: request.GetReplaces(),
			},
		},
	}})
	if err != nil {
		return appendError(err)
	}
	if err := f.Follower.Wait(ctx, offset); err != nil {
		return refusalError(connect.CodeUnavailable, damaskspread.Unknown(damaskspread.ReasonDeadline, "the host_joined record is appended but not applied yet: %v", err))
	}
	f.openSession(request)
	return nil
}

// queueAttachment queues a record that the host is attached to this process.
// It does nothing while one is queued already or the queue is full.
func (f *Feeder) queueAttachment(s *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.attaching {
		s.attaching = f.attachments.TryPut(s)
	}
}

// runAttachments appends the queued attachments, many hosts in one record: when
// an entry process fails, all its agents attach elsewhere within a second or two.
func (f *Feeder) runAttachments(ctx context.Context) error {
	for {
		first, err := f.attachments.Get(ctx)
		if err != nil {
			return ignoreCanceled(err)
		}
		batch := []*session{first}
		for len(batch) < maxAttachBatch {
			next, ok := f.attachments.TryGet()
			if !ok {
				break
			}
			batch = append(batch, next)
		}
		if err := f.recordAttachments(ctx, batch); err != nil && ctx.Err() == nil {
			log.Warn().Err(err).Int("hosts", len(batch)).Msg("recording attachments failed")
			select {
			case <-f.Clock.After(attachRetryDelay):
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

// ignoreCanceled returns nil for a wait that ended because the process stops.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
