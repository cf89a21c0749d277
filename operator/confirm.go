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

// effect says whether an appended record changed the state.
type effect struct {
	// certain is false if the record may or may not have had an effect, now or
	// later. The other fields mean nothing then.
	certain bool
	applied bool
	// reason and detail say why the record had no effect.
	reason damaskspread.Reason
	detail string
	// position is that of the record; nil if it had no effect or is not known.
	position *wire.Position
}

func (h *Handler) newRecord(actor string) *wire.Record {
	return &wire.Record{
		Id:             h.newID(),
		Actor:          actor,
		RecordedUnixMs: h.Clock.Now().UnixMilli(),
	}
}

// appendAndConfirm appends records, waits for their replay and returns the
// effect of each. An error means that none of them has or will have an effect.
func (h *Handler) appendAndConfirm(ctx context.Context, records []*wire.Record) ([]effect, error) {
	// A client that disconnects must not interrupt the append or the wait for
	// its confirmation.
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
		// The response to the append was lost. The record's effect is known only
		// once the record is replayed, at an offset that is not known.
		offset = -1
	default:
		if err := h.State.Wait(ctx, offset); err != nil {
			return make([]effect, len(records)), nil
		}
	}
	effects := make([]effect, len(records))
	for i, record := range records {
		effects[i] = h.awaitEffect(ctx, record, offset)
	}
	return effects, nil
}

// awaitEffect waits until the auditor has seen the record. If the auditor
// missed the record and its offset is known, the effect is derived from the
// state. A negative offset means that the offset is not known.
func (h *Handler) awaitEffect(ctx context.Context, record *wire.Record, offset int64) effect {
	if offset >= 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, min(auditTimeout, h.confirmTimeout()/5))
		defer cancel()
	}
	if entry, ok := h.Audit.Await(ctx, record.GetId()); ok {
		return effectFromAudit(entry)
	}
	if offset < 0 {
		return effect{}
	}
	var result effect
	h.State.View(func(state *replayer.State) {
		result = effectFromState(state, record, offset)
	})
	return result
}

func effectFromAudit(entry auditor.Entry) effect {
	return effect{
		certain:  true,
		applied:  entry.Applied(),
		reason:   entry.Reason(),
		detail:   entry.Detail(),
		position: entry.Position(),
	}
}

// effectFromState derives the effect of a replayed record from the state. The
// effect is not certain for a record whose state may have changed again since,
// and for record types that are not handled here.
func effectFromState(state *replayer.State, record *wire.Record, offset int64) effect {
	switch body := record.GetBody().(type) {
	case *wire.Record_SectionPublished:
		return sectionEffectFromState(state, record, body.SectionPublished, offset)
	case *wire.Record_TaskSubmitted:
		_, exists := state.Task(body.TaskSubmitted.GetSpec().GetTask())
		return effect{
			certain: true,
			applied: exists,
			reason:  damaskspread.ReasonConflict,
		}
	case *wire.Record_CancelRequested:
		task, exists := state.Task(body.CancelRequested.GetTask())
		return effect{
			certain: exists,
			applied: task.GetCancelRequested() || task.GetResult() == wire.TaskResult_TASK_RESULT_CANCELED,
			reason:  damaskspread.ReasonConflict,
		}
	default:
		return effect{}
	}
}

func sectionEffectFromState(state *replayer.State, record *wire.Record, published *wire.SectionPublished, offset int64) effect {
	section, _ := state.Section(published.GetSection())
	sectionOffset := section.GetPosition().GetOffset()
	switch {
	case section != nil && sectionOffset > offset:
		// A later publication replaced the section. Whether this one took effect
		// before can't be told from the state.
		return effect{}
	case section != nil && sectionOffset == offset && section.GetText() == published.GetText() &&
		section.GetRemoved() == published.GetRemoved() && section.GetActor() == record.GetActor() &&
		section.GetPublishedUnixMs() == record.GetRecordedUnixMs():
		return effect{
			certain:  true,
			applied:  true,
			position: section.GetPosition(),
		}
	default:
		return effect{
			certain: true,
			reason:  damaskspread.ReasonConflict,
		}
	}
}

// asError returns nil for a record that took effect, and a RefusalError for any
// other. subject names the changed object in the message, such as "host h1".
func (e effect) asError(subject string) error {
	switch {
	case !e.certain:
		return damaskspread.Unknown(damaskspread.ReasonAppendUnknown,
			"the change of %s may have taken effect or may still do so: its record was not confirmed in time", subject)
	case !e.applied:
		return damaskspread.NotRun(e.reason, "the change of %s had no effect: %s", subject, e.detail)
	default:
		return nil
	}
}

// waitForOffset waits until the state includes the offset, but not longer than
// limit. After a timeout the caller works on an older state, which at worst
// makes it report a conflict.
func (h *Handler) waitForOffset(ctx context.Context, offset int64, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_ = h.State.Wait(ctx, offset)
}

// waitForViewSince waits until the state covers all records that were appended
// before a time, and refuses the request if that takes longer than CurrencyLimit.
// An entry process that was paused or cut off from the log has an old state, in
// which a change may seem to be in force that was reverted since.
func (h *Handler) waitForViewSince(ctx context.Context, since time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, h.CurrencyLimit)
	defer cancel()
	for {
		elapsed := h.Clock.Since(since)
		age := h.State.Age()
		if age <= elapsed {
			return nil
		}
		select {
		case <-h.Clock.After(viewPollInterval):
		case <-ctx.Done():
			return damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "the entry's configuration is %s", damaskspread.AgeText(age))
		}
	}
}
