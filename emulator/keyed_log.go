package emulator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// newestPageSize is the largest number of records in a response of Newest.
const newestPageSize = 50

// KeyedLog is an in-memory keyed log. Processes call it through a KeyedLogClient
// each.
type KeyedLog struct {
	Clock damaskspread.Clock
	// RetainRecords is the number of records that a topic retains besides the
	// newest of each key; 0 retains all.
	RetainRecords int
	// MaxCallBytes is the largest size of all records of an append that is not
	// refused; 0 takes any.
	MaxCallBytes int
	// MaxRecordBytes is the largest size of a single record; 0 takes any.
	MaxRecordBytes int

	mu     sync.Mutex
	topics map[string]*keyedTopic
}

type keyedTopic struct {
	records     []*wire.KeyedRecord
	nextOffset  int64
	firstOffset int64
	newest      map[string]*wire.KeyedRecord
	producers   map[string]*producerState
	changed     chan struct{}
}

type producerState struct {
	epoch      int64
	sequence   int64
	lastResult *wire.AppendResult
}

func (l *KeyedLog) tooLarge(records []*wire.KeyedRecord) bool {
	for _, record := range records {
		if l.MaxRecordBytes > 0 && damaskspread.RecordBytes(record) > l.MaxRecordBytes {
			return true
		}
	}
	return l.MaxCallBytes > 0 && damaskspread.RecordsBytes(records) > l.MaxCallBytes
}

func (l *KeyedLog) topic(name string) *keyedTopic {
	if l.topics == nil {
		l.topics = map[string]*keyedTopic{}
	}
	t := l.topics[name]
	if t == nil {
		t = &keyedTopic{
			newest:    map[string]*wire.KeyedRecord{},
			producers: map[string]*producerState{},
			changed:   make(chan struct{}),
		}
		l.topics[name] = t
	}
	return t
}

func (l *KeyedLog) append(topic string, records []*wire.KeyedRecord, condition *wire.AppendCondition) (*wire.AppendResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(topic)
	if condition != nil && condition.End != nil && condition.GetEnd() != t.nextOffset {
		return nil, &damaskspread.ConditionFailedError{End: t.nextOffset}
	}
	state, repeated, err := t.checkProducer(condition.GetProducer(), len(records) == 0)
	if err != nil || repeated != nil {
		return repeated, err
	}
	result := t.add(records)
	if state != nil && len(records) > 0 {
		state.lastResult = result
	}
	l.dropOldest(t)
	close(t.changed)
	t.changed = make(chan struct{})
	return result, nil
}

// checkProducer checks epoch and sequence. For a repetition of the producer's
// latest append it returns the result of that append. An empty append only sets
// the epoch.
func (t *keyedTopic) checkProducer(producer *wire.Producer, empty bool) (*producerState, *wire.AppendResult, error) {
	if producer == nil {
		return nil, nil, nil
	}
	state := t.producers[producer.GetName()]
	if state == nil || producer.GetEpoch() > state.epoch {
		state = &producerState{
			epoch:    producer.GetEpoch(),
			sequence: producer.GetSequence(),
		}
		t.producers[producer.GetName()] = state
		return state, nil, nil
	}
	switch {
	case producer.GetEpoch() < state.epoch:
		return nil, nil, &damaskspread.FencedError{Refused: producer.GetEpoch()}
	case empty:
		return state, nil, nil
	case producer.GetSequence() == state.sequence && state.lastResult != nil:
		return nil, state.lastResult, nil
	case producer.GetSequence() != state.sequence+1:
		return nil, nil, &damaskspread.SequenceError{Expected: state.sequence + 1}
	}
	state.sequence = producer.GetSequence()
	return state, nil, nil
}

func (t *keyedTopic) add(records []*wire.KeyedRecord) *wire.AppendResult {
	result := &wire.AppendResult{Offset: t.nextOffset}
	for _, record := range records {
		stored := &wire.KeyedRecord{
			Key:    record.GetKey(),
			Value:  slices.Clone(record.GetValue()),
			Offset: t.nextOffset,
		}
		t.records = append(t.records, stored)
		t.nextOffset++
		if len(stored.GetValue()) == 0 {
			delete(t.newest, stored.GetKey())
			continue
		}
		t.newest[stored.GetKey()] = stored
	}
	result.End = t.nextOffset
	return result
}

// dropOldest applies RetainRecords to a topic.
func (l *KeyedLog) dropOldest(t *keyedTopic) {
	if l.RetainRecords > 0 && len(t.records) > l.RetainRecords {
		t.records = t.records[len(t.records)-l.RetainRecords:]
		t.firstOffset = t.records[0].GetOffset()
	}
}

// ExpireTopic drops all records of a topic but the newest of each key, so that
// reads from before its end fail.
func (l *KeyedLog) ExpireTopic(topic string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(topic)
	t.records = nil
	t.firstOffset = t.nextOffset
}

func (l *KeyedLog) read(ctx context.Context, topic string, from int64, wait time.Duration) (*wire.KeyedPage, error) {
	timer := l.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		t := l.topic(topic)
		if from < t.firstOffset {
			first, end := t.firstOffset, t.nextOffset
			l.mu.Unlock()
			return nil, &damaskspread.RetentionPassedError{From: from, First: first, Next: end}
		}
		page := t.pageFrom(from)
		changed := t.changed
		l.mu.Unlock()
		if len(page.GetRecords()) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return page, nil
		case <-ctx.Done():
			return nil, &damaskspread.LogUnavailableError{Cause: ctx.Err()}
		}
	}
}

func (t *keyedTopic) pageFrom(offset int64) *wire.KeyedPage {
	page := &wire.KeyedPage{End: t.nextOffset, First: t.firstOffset}
	for _, record := range t.records {
		if record.GetOffset() >= offset {
			page.Records = append(page.Records, record)
		}
	}
	return page
}

func (l *KeyedLog) newestAfter(topic, after string) *wire.KeyedPage {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(topic)
	page := &wire.KeyedPage{End: t.nextOffset, First: t.firstOffset}
	for key, record := range t.newest {
		if key > after {
			page.Records = append(page.Records, record)
		}
	}
	slices.SortFunc(page.Records, func(a, b *wire.KeyedRecord) int { return cmp.Compare(a.GetKey(), b.GetKey()) })
	if len(page.Records) > newestPageSize {
		page.Records = page.Records[:newestPageSize]
		page.More = true
	}
	return page
}
