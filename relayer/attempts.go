package relayer

import (
	"context"
	"errors"
	"time"

	"damaskspread.example/damaskspread"
)

// callFunc is one call of a keyed log that may wait there for news.
type callFunc[T any] func(ctx context.Context, keyed damaskspread.KeyedLog, wait time.Duration) (T, error)

// answer is the outcome of one attempt.
type answer[T any] struct {
	value  T
	err    error
	direct bool
}

// attempts are the concurrent attempts of one call: one at the log itself and
// one at peers.
type attempts[T any] struct {
	relayer *Relayer
	call    callFunc[T]
	wait    time.Duration
	began   time.Duration
	answers chan answer[T]
	running int

	askedDirect, askedPeers bool
	// silent is set once the log has not answered in time.
	silent bool
	// failure is the least certain failure so far.
	failure error
}

// relay calls the log, and a peer if the log fails or is silent. While the log
// is away, the peer comes first. The first attempt that is served wins.
func relay[T any](ctx context.Context, r *Relayer, wait time.Duration, call callFunc[T]) (T, error) {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempts[T]{
		relayer: r,
		call:    call,
		wait:    wait,
		began:   r.Elapsed.Elapsed(),
		answers: make(chan answer[T], 2),
	}
	direct, peers := r.first()
	if direct {
		a.startDirect(limited)
	}
	if peers {
		a.startPeers(limited)
	}
	return a.await(limited)
}

func (a *attempts[T]) await(ctx context.Context) (T, error) {
	silence := a.relayer.Clock.NewTimer(a.wait + silentAfter)
	defer silence.Stop()
	for {
		select {
		case got := <-a.answers:
			a.running--
			if !unserved(got.err) {
				a.relayer.noteServed(got.direct, a.silent)
				return got.value, got.err
			}
			a.failure = damaskspread.LessCertain(a.failure, got.err)
			a.startPeers(ctx)
			a.startDirect(ctx)
			if a.running == 0 {
				return got.value, a.failure
			}
		case <-silence.Chan():
			a.silent = a.askedDirect
			a.startPeers(ctx)
		}
	}
}

func (a *attempts[T]) startDirect(ctx context.Context) {
	if a.askedDirect {
		return
	}
	a.askedDirect = true
	a.running++
	wait := a.waitLeft()
	go func() {
		value, err := a.call(ctx, a.relayer.Direct, wait)
		if unserved(err) && !errors.Is(ctx.Err(), context.Canceled) {
			a.relayer.noteAway(err)
		}
		a.answers <- answer[T]{value: value, err: err, direct: true}
	}()
}

func (a *attempts[T]) startPeers(ctx context.Context) {
	if a.askedPeers {
		return
	}
	a.askedPeers = true
	a.running++
	wait := a.waitLeft()
	go func() {
		value, err := a.askPeers(ctx, wait)
		a.answers <- answer[T]{value: value, err: err}
	}()
}

// waitLeft keeps a second attempt within the time of the call.
func (a *attempts[T]) waitLeft() time.Duration {
	return max(0, a.wait-(a.relayer.Elapsed.Elapsed()-a.began))
}

// askPeers tries one peer after the other.
func (a *attempts[T]) askPeers(ctx context.Context, wait time.Duration) (T, error) {
	var value T
	var failure error
	for range peerTries {
		peer, err := a.relayer.peer()
		if err != nil {
			return value, err
		}
		value, err = a.call(ctx, peer, wait)
		if !unserved(err) {
			return value, err
		}
		a.relayer.skipPeer()
		failure = damaskspread.LessCertain(failure, err)
		if ctx.Err() != nil {
			break
		}
	}
	return value, failure
}

// unserved reports whether an error says nothing about the contents of the log.
func unserved(err error) bool {
	var unavailable *damaskspread.LogUnavailableError
	var unknown *damaskspread.AppendUnknownError
	return errors.As(err, &unavailable) || errors.As(err, &unknown)
}
