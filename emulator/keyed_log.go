package emulator

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// errInjected is the cause of failures that a test asked for.
var errInjected = errors.New("injected fault")

// newestPage is the number of records in one page of the newest ones.
const newestPage = 50

// KeyedLog is an in-memory keyed log.
type KeyedLog struct {
	Clock damaskspread.Clock
	// Keep is the number of records that a topic keeps besides the newest of
	// each key; 0 keeps all.
	Keep int

	mu     sync.Mutex
	topics map[string]*keyedTopic
}

type keyedTopic struct {
	records   []*wire.KeyedRecord
	end       int64
	first     int64
	newest    map[string]*wire.KeyedRecord
	producers map[string]*producerState
	changed   chan struct{}
}

type producerState struct {
	epoch    int64
	sequence int64
	last     *wire.AppendResult
}

// KeyedLogClient is one process's way to a KeyedLog, with faults of its own.
// It implements damaskspread.KeyedLog.
type KeyedLogClient struct {
	Log *KeyedLog

	mu       sync.Mutex
	down     bool
	silent   bool
	lose     int
	appended int
}

// SetDown makes every call fail without effect.
func (c *KeyedLogClient) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetSilent makes every call wait for its deadline without effect.
func (c *KeyedLogClient) SetSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

// LoseAnswers makes the next appends take effect and fail all the same.
func (c *KeyedLogClient) LoseAnswers(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose = count
}

// Appended is the number of appends that took effect.
func (c *KeyedLogClient) Appended() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.appended
}

func (c *KeyedLogClient) pass(ctx context.Context) error {
	c.mu.Lock()
	down, silent := c.down, c.silent
	c.mu.Unlock()
	if silent {
		<-ctx.Done()
		return &damaskspread.AppendUnknownError{Cause: ctx.Err()}
	}
	if down {
		return &damaskspread.LogUnavailableError{Cause: errInjected}
	}
	return nil
}

func (c *KeyedLogClient) losesAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appended++
	if c.lose == 0 {
		return false
	}
	c.lose--
	return true
}

// Append implements damaskspread.KeyedLog.
func (c *KeyedLogClient) Append(ctx context.Context, topic string, records []*wire.KeyedRecord, condition *wire.AppendCondition) (*wire.AppendResult, error) {
	if err := c.pass(ctx); err != nil {
		return nil, err
	}
	result, err := c.Log.append(topic, records, condition)
	if err == nil && c.losesAnswer() {
		return nil, &damaskspread.AppendUnknownError{Cause: errInjected}
	}
	return result, err
}

// Read implements damaskspread.KeyedLog.
func (c *KeyedLogClient) Read(ctx context.Context, topic string, from int64, wait time.Duration) (*wire.KeyedPage, error) {
	if err := c.pass(ctx); err != nil {
		return nil, err
	}
	return c.Log.read(ctx, topic, from, wait)
}

// Newest implements damaskspread.KeyedLog.
func (c *KeyedLogClient) Newest(ctx context.Context, topic, after string) (*wire.KeyedPage, error) {
	if err := c.pass(ctx); err != nil {
		return nil, err
	}
	return c.Log.newestAfter(topic, after), nil
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
	if condition != nil && condition.End != nil && condition.GetEnd() != t.end {
		return nil, &damaskspread.ConditionFailedError{End: t.end}
	}
	state, repeated, err := t.admit(condition.GetProducer(), len(records) == 0)
	if err != nil || repeated != nil {
		return repeated, err
	}
	result := t.add(records)
	if state != nil && len(records) > 0 {
		state.last = result
	}
	l.expire(t)
	close(t.changed)
	t.changed = make(chan struct{})
	return result, nil
}

// admit checks epoch and sequence. An empty append only sets the epoch.
func (t *keyedTopic) admit(producer *wire.Producer, empty bool) (*producerState, *wire.AppendResult, error) {
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
		return nil, nil, &damaskspread.FencedError{Token: state.epoch}
	case empty:
		return state, nil, nil
	case producer.GetSequence() == state.sequence && state.last != nil:
		return nil, state.last, nil
	case producer.GetSequence() != state.sequence+1:
		return nil, nil, &damaskspread.SequenceError{Expected: state.sequence + 1}
	}
	state.sequence = producer.GetSequence()
	return state, nil, nil
}

func (t *keyedTopic) add(records []*wire.KeyedRecord) *wire.AppendResult {
	result := &wire.AppendResult{Offset: t.end}
	for _, record := range records {
		stored := &wire.KeyedRecord{
			Key:    record.GetKey(),
			Value:  slices.Clone(record.GetValue()),
			Offset: t.end,
		}
		t.records = append(t.records, stored)
		t.end++
		if len(stored.GetValue()) == 0 {
			delete(t.newest, stored.GetKey())
			continue
		}
		t.newest[stored.GetKey()] = stored
	}
	result.End = t.end
	return result
}

func (l *KeyedLog) expire(t *keyedTopic) {
	if l.Keep > 0 && len(t.records) > l.Keep {
		t.records = t.records[len(t.records)-l.Keep:]
		t.first = t.records[0].GetOffset()
	}
}

// Forget drops all records of a topic but the newest of each key.
func (l *KeyedLog) Forget(topic string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(topic)
	t.records = nil
	t.first = t.end
}

func (l *KeyedLog) read(ctx context.Context, topic string, from int64, wait time.Duration) (*wire.KeyedPage, error) {
	timer := l.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		t := l.topic(topic)
		if from < t.first {
			first, end := t.first, t.end
			l.mu.Unlock()
			return nil, &damaskspread.RetentionPassedError{From: from, First: first, Next: end}
		}
		page := t.from(from)
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

func (t *keyedTopic) from(offset int64) *wire.KeyedPage {
	page := &wire.KeyedPage{End: t.end, First: t.first}
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
	page := &wire.KeyedPage{End: t.end, First: t.first}
	for key, record := range t.newest {
		if key > after {
			page.Records = append(page.Records, record)
		}
	}
	slices.SortFunc(page.Records, func(a, b *wire.KeyedRecord) int { return cmp.Compare(a.GetKey(), b.GetKey()) })
	if len(page.Records) > newestPage {
		page.Records = page.Records[:newestPage]
		page.More = true
	}
	return page
}
