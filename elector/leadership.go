package elector

import (
	"context"
	"errors"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// claim appends a claim on the condition that the topic ends at topicEnd, and leads if that
// succeeds.
func (e *Elector) claim(ctx context.Context, topicEnd int64) {
	claim := e.newRecord(topicEnd+1, handoversAfter(e.Leader()))
	started := e.Elapsed.Elapsed()
	result, err := e.append(ctx, claim, topicEnd)
	e.drawJitter()
	if err != nil {
		log.Info().Int64("epoch", claim.GetEpoch()).Err(err).Msg("leadership claim failed")
		return
	}
	e.mu.Lock()
	if e.topicEnd > result.GetEnd() {
		// A later record is applied already, which may be another claim.
		e.mu.Unlock()
		return
	}
	e.leader = claim
	e.epoch = claim.GetEpoch()
	e.topicEnd = result.GetEnd()
	e.lastHeardAt = started
	e.confirmedAt = started
	e.nextRenewal = started + renewInterval
	e.term = term{
		wonAt:       started,
		steadySince: started,
		handovers:   claim.GetHandovers(),
	}
	e.hearOwn(claim, result, started)
	e.mu.Unlock()
	log.Info().Int64("epoch", claim.GetEpoch()).Int64("offset", result.GetOffset()).Msg("leadership won")
	e.OnLeadershipWon(claim.GetEpoch())
}

// renew extends the leadership. If the condition of the append fails, either an
// earlier renewal was appended late or another process leads; the record that
// Apply receives then tells which.
func (e *Elector) renew(ctx context.Context) {
	e.mu.Lock()
	e.reviewTerm(e.Elapsed.Elapsed())
	renewal := e.newRecord(e.epoch, e.term.handovers)
	renewal.Stalled = e.term.stalled
	topicEnd := e.topicEnd
	e.mu.Unlock()
	started := e.Elapsed.Elapsed()
	result, err := e.append(ctx, renewal, topicEnd)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextRenewal = started + renewInterval
	if err != nil {
		var conflict *damaskspread.ConditionFailedError
		if !errors.As(err, &conflict) {
			e.term.steadySince = e.Elapsed.Elapsed()
			log.Debug().Int64("epoch", renewal.GetEpoch()).Err(err).Msg("leadership renewal failed")
		}
		return
	}
	e.topicEnd = max(e.topicEnd, result.GetEnd())
	e.confirmedAt = started
	e.lastHeardAt = started
	e.hearOwn(renewal, result, started)
}

// newRecord returns a record of this process as the leader of an epoch.
func (e *Elector) newRecord(epoch int64, handovers int32) *wire.Leadership {
	return &wire.Leadership{
		Process:   e.Process,
		Address:   e.Address,
		Epoch:     epoch,
		Handovers: handovers,

		StoresSessions: true,
	}
}

// append adds a record on the condition that the topic ends at topicEnd.
func (e *Elector) append(ctx context.Context, leadership *wire.Leadership, topicEnd int64) (*wire.AppendResult, error) {
	value, err := proto.Marshal(leadership)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	record := &wire.KeyedRecord{
		Key:   leaderKey,
		Value: value,
	}
	return e.Log.Append(callCtx, Topic, []*wire.KeyedRecord{record}, &wire.AppendCondition{End: &topicEnd})
}

// Resign gives up the leadership, if this process leads, so that another process
// claims it without waiting for the timeout. This process claims no more.
func (e *Elector) Resign(ctx context.Context) {
	e.mu.Lock()
	epoch, topicEnd, handovers := e.epoch, e.topicEnd, e.term.handovers
	e.epoch = 0
	e.resigned = true
	e.mu.Unlock()
	if epoch == 0 {
		return
	}
	e.OnLeadershipLost()
	resignation := e.newRecord(epoch, handovers)
	resignation.Resigned = true
	_, err := e.append(ctx, resignation, topicEnd)
	var conflict *damaskspread.ConditionFailedError
	if errors.As(err, &conflict) {
		// A concurrent renewal moved the end of the topic.
		_, err = e.append(ctx, resignation, conflict.End)
	}
	if err != nil {
		log.Warn().Int64("epoch", epoch).Err(err).Msg("resignation not recorded: other processes wait for the takeover timeout")
		return
	}
	log.Info().Int64("epoch", epoch).Msg("leadership resigned")
}
