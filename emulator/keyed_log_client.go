package emulator

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// errInjected is the cause of errors that a test asked for.
var errInjected = errors.New("injected fault")

var errTooLarge = errors.New("append is larger than the log takes in one call")

// KeyedLogClient is the client of one process for a KeyedLog; its faults affect
// only this process. It implements damaskspread.KeyedLog and is safe for
// concurrent use.
type KeyedLogClient struct {
	Log *KeyedLog

	mu              sync.Mutex
	down            bool
	unresponsive    bool
	responsesToLose int
	appended        int
	// uploadRate is in bytes a second; 0 is unlimited.
	uploadRate int
}

// SetDown makes every call fail at once, without effect.
func (c *KeyedLogClient) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetUnresponsive makes every call wait for its deadline and fail, without effect.
func (c *KeyedLogClient) SetUnresponsive(unresponsive bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive = unresponsive
}

// SetUploadRate limits the bytes of records that an append sends in a second. An append
// whose deadline passes before has no effect. With 0 appends take no time.
func (c *KeyedLogClient) SetUploadRate(bytesPerSecond int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uploadRate = bytesPerSecond
}

// LoseResponses makes the next count appends take effect and fail with an unknown
// outcome.
func (c *KeyedLogClient) LoseResponses(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsesToLose = count
}

// Appended returns the number of successful appends, repetitions included.
func (c *KeyedLogClient) Appended() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.appended
}

func (c *KeyedLogClient) injectFault(ctx context.Context) error {
	c.mu.Lock()
	down, unresponsive := c.down, c.unresponsive
	c.mu.Unlock()
	if unresponsive {
		return &damaskspread.AppendUnknownError{Cause: c.awaitTimeout(ctx)}
	}
	if down {
		return &damaskspread.LogUnavailableError{Cause: errInjected}
	}
	return nil
}

// awaitTimeout waits until a call without a response times out and returns the
// error.
func (c *KeyedLogClient) awaitTimeout(ctx context.Context) error {
	progress := damaskspread.ProgressOf(ctx)
	if progress == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.Log.Clock.After(progress.Response):
		return context.DeadlineExceeded
	}
}

// recordAppend counts an append and reports whether its response is to be lost.
func (c *KeyedLogClient) recordAppend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appended++
	if c.responsesToLose == 0 {
		return false
	}
	c.responsesToLose--
	return true
}

// Append implements damaskspread.KeyedLog.
func (c *KeyedLogClient) Append(ctx context.Context, topic string, records []*wire.KeyedRecord, condition *wire.AppendCondition) (*wire.AppendResult, error) {
	if err := c.injectFault(ctx); err != nil {
		return nil, err
	}
	if err := c.upload(ctx, records); err != nil {
		return nil, err
	}
	if c.Log.tooLarge(records) {
		return nil, &damaskspread.AppendRejectedError{Cause: errTooLarge}
	}
	result, err := c.Log.append(topic, records, condition)
	if err == nil && c.recordAppend() {
		return nil, &damaskspread.AppendUnknownError{Cause: errInjected}
	}
	return result, err
}

// upload takes as long as sending the records does.
func (c *KeyedLogClient) upload(ctx context.Context, records []*wire.KeyedRecord) error {
	c.mu.Lock()
	rate := c.uploadRate
	c.mu.Unlock()
	if rate == 0 {
		return nil
	}
	size := damaskspread.RecordsBytes(records)
	select {
	case <-ctx.Done():
		return &damaskspread.AppendUnknownError{Cause: ctx.Err()}
	case <-c.Log.Clock.After(time.Duration(size) * time.Second / time.Duration(rate)):
		return nil
	}
}

// Read implements damaskspread.KeyedLog.
func (c *KeyedLogClient) Read(ctx context.Context, topic string, from int64, wait time.Duration) (*wire.KeyedPage, error) {
	if err := c.injectFault(ctx); err != nil {
		return nil, err
	}
	return c.Log.read(ctx, topic, from, wait)
}

// Newest implements damaskspread.KeyedLog.
func (c *KeyedLogClient) Newest(ctx context.Context, topic, after string) (*wire.KeyedPage, error) {
	if err := c.injectFault(ctx); err != nil {
		return nil, err
	}
	return c.Log.newestAfter(topic, after), nil
}
