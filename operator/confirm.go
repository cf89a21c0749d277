package operator

import (
	"context"
	"errors"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/auditor"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// effect is what became of a record.
type effect struct {
	// known is false if the record may or may not have had an effect.
	known   bool
	applied bool
	reason  damaskspread.Reason
	detail  string
	at      *wire.Position
}

func (h *Handler) newRecord(actor string) *wire.Record {
	return &wire.Record{
		Id:             h.newID(),
		Actor:          actor,
		RecordedUnixMs: h.Clock.Now().UnixMilli(),
	}
}

// appendAndConfirm appends records and returns the effect of each. The error
// is set if certainly none of them has or will have an effect.
func (h *Handler) appendAndConfirm(ctx context.Context, records []*wire.Record) ([]effect, error) {
	// A caller that goes away must not leave its change unconfirmed in the log
	// of this process, and an append must not be cut off half way.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.confirmTimeout())
	defer cancel()
	offset, err := h.Appender.AppendRecords(ctx, records)
	var unavailable *damaskspread.LogUnavailableError
	var refusal *damaskspread.RefusalError
	switch {
	case errors.As(err, &unavailable):
		return nil, err
	case errors.As(err, &refusal) && refusal.Outcome == wire.Outcome_OUTCOME_NOT_RUN:
		return nil, err
	case err != nil:
		// The answer of the append was lost: only the replayed record can tell.
		offset = -1
	default:
		if err := h.State.Wait(ctx, offset); err != nil {
			return make([]effect, len(records)), nil
		}
	}
	effects := make([]effect, len(records))
	for i, record := range records {
		effects[i] = h.observe(ctx, record, offset)
	}
	return effects, nil
}

// observe looks a record up among the observed changes, and in the state if
// the auditor missed it. A negative offset means that it is not known.
func (h *Handler) observe(ctx context.Context, record *wire.Record, offset int64) effect {
	if offset >= 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, min(auditTimeout, h.confirmTimeout()/5))
		defer cancel()
	}
	if entry, ok := h.Audit.Await(ctx, record.GetId()); ok {
		return effectOf(entry)
	}
	if offset < 0 {
		return effect{}
	}
	var e effect
	h.State.View(func(state *replayer.State) {
		e = inState(state, record, offset)
	})
	return e
}

func effectOf(entry auditor.Entry) effect {
	return effect{
		known:   true,
		applied: entry.Applied(),
		reason:  entry.Reason(),
		detail:  entry.Detail(),
		at:      entry.Position(),
	}
}

// inState decides from the state alone, where the answer is certain.
func inState(state *replayer.State, record *wire.Record, offset int64) effect {
	switch body := record.GetBody().(type) {
	case *wire.Record_SectionPublished:
		return sectionInState(state, record, body.SectionPublished, offset)
	case *wire.Record_TaskSubmitted:
		_, exists := state.Task(body.TaskSubmitted.GetSpec().GetTask())
		return effect{
			known:   true,
			applied: exists,
			reason:  damaskspread.ReasonConflict,
		}
	case *wire.Record_CancelRequested:
		task, exists := state.Task(body.CancelRequested.GetTask())
		return effect{
			known:   exists,
			applied: task.GetCancelRequested() || task.GetResult() == wire.TaskResult_TASK_RESULT_CANCELED,
			reason:  damaskspread.ReasonConflict,
		}
	default:
		return effect{}
	}
}

func sectionInState(state *replayer.State, record *wire.Record, published *wire.SectionPublished, offset int64) effect {
	section, _ := state.Section(published.GetSection())
	at := section.GetPosition().GetOffset()
	switch {
	case section != nil && at > offset:
		// Changed again since; whether this publication came between is lost.
		return effect{}
	case section != nil && at == offset && section.GetText() == published.GetText() &&
		section.GetRemoved() == published.GetRemoved() && section.GetActor() == record.GetActor() &&
		section.GetPublishedUnixMs() == record.GetRecordedUnixMs():
		return effect{
			known:   true,
			applied: true,
			at:      section.GetPosition(),
		}
	default:
		return effect{
			known:  true,
			reason: damaskspread.ReasonConflict,
		}
	}
}

// err is the typed error of a record without effect.
func (e effect) err(subject string) error {
	switch {
	case !e.known:
		return damaskspread.Unknown(damaskspread.ReasonAppendUnknown,
			"the change of %s may take effect: its record was not confirmed in time", subject)
	case !e.applied:
		return damaskspread.NotRun(e.reason, "the change of %s had no effect: %s", subject, e.detail)
	default:
		return nil
	}
}

func (h *Handler) waitFor(ctx context.Context, offset int64, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	// On a timeout the caller sees the conflict of an older view.
	_ = h.State.Wait(ctx, offset)
}
