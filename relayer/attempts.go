package relayer

import (
	"context"
	"errors"
	"time"

	"damaskspread.example/damaskspread"
)

// callFunc calls one method of a keyed log. A read waits up to wait for new
// records; other methods ignore it.
type callFunc[T any] func(ctx context.Context, keyed damaskspread.KeyedLog, wait time.Duration) (T, error)

// hedgeResult is the result of the call to the log or to the peers.
type hedgeResult[T any] struct {
	value T
	err   error
	// direct is set for the call to the log itself.
	direct bool
}

// hedgedCall is a call that is sent to the log itself and to peers, possibly at
// the same time.
type hedgedCall[T any] struct {
	relayer *Relayer
	call    callFunc[T]
	wait    time.Duration
	started time.Duration
	results chan hedgeResult[T]
	running int

	// progress is that of the direct call; nil if the call has none.
	progress *damaskspread.Progress

	triedDirect, triedPeers bool
	// directTimedOut is set once the log has not responded within hedgeDelay.
	directTimedOut bool
	// failure is the error so far, chosen by damaskspread.MergeAppendErrors.
	failure error
}

// callHedged calls the log, and a peer if the log fails or does not begin to respond
// within hedgeDelay. While the log is unreachable, a peer is called at once. The
// first response is returned and the other call is canceled.
func callHedged[T any](ctx context.Context, r *Relayer, wait time.Duration, call callFunc[T]) (T, error) {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedgedCall[T]{
		relayer: r,
		call:    call,
		wait:    wait,
		started: r.Elapsed.Elapsed(),
		results: make(chan hedgeResult[T], 2),

		progress: damaskspread.ProgressOf(ctx).Part(),
	}
	direct, peers := r.firstTargets()
	if direct {
		h.startDirect(limited)
	}
	if peers {
		h.startPeers(limited)
	}
	return h.await(limited)
}

// await returns the first response, or an error once the log and the peers have
// failed.
func (h *hedgedCall[T]) await(ctx context.Context) (T, error) {
	timeout := h.relayer.Clock.NewTimer(h.wait + hedgeDelay)
	defer timeout.Stop()
	for {
		select {
		case result := <-h.results:
			h.running--
			if !noLogResponse(result.err) {
				h.relayer.recordResponse(result.direct, h.directTimedOut)
				return result.value, result.err
			}
			h.failure = damaskspread.MergeAppendErrors(h.failure, result.err)
			h.startPeers(ctx)
			h.startDirect(ctx)
			if h.running == 0 {
				return result.value, h.failure
			}
		case <-timeout.Chan():
			if h.progress.Begun() {
				// The response is large or the link slow. A second copy of it
				// would take the same link.
				continue
			}
			h.directTimedOut = h.triedDirect
			h.startPeers(ctx)
		}
	}
}

func (h *hedgedCall[T]) startDirect(ctx context.Context) {
	if h.triedDirect {
		return
	}
	h.triedDirect = true
	h.running++
	wait := h.remainingWait()
	if h.progress != nil {
		ctx = damaskspread.WithProgress(ctx, h.progress)
	}
	go func() {
		value, err := h.call(ctx, h.relayer.Direct, wait)
		if noLogResponse(err) && !errors.Is(ctx.Err(), context.Canceled) {
			h.relayer.markUnreachable(err)
		}
		h.results <- hedgeResult[T]{value: value, err: err, direct: true}
	}()
}

func (h *hedgedCall[T]) startPeers(ctx context.Context) {
	if h.triedPeers {
		return
	}
	h.triedPeers = true
	h.running++
	wait := h.remainingWait()
	go func() {
		value, err := h.tryPeers(ctx, wait)
		h.results <- hedgeResult[T]{value: value, err: err}
	}()
}

// remainingWait is the part of wait that is left, so that the second call ends
// within the wait of the first.
func (h *hedgedCall[T]) remainingWait() time.Duration {
	return max(0, h.wait-(h.relayer.Elapsed.Elapsed()-h.started))
}

// tryPeers calls up to maxPeerTries peers, one after the other.
func (h *hedgedCall[T]) tryPeers(ctx context.Context, wait time.Duration) (T, error) {
	var value T
	var failure error
	for range maxPeerTries {
		peer, err := h.relayer.peer()
		if err != nil {
			return value, err
		}
		value, err = h.call(ctx, peer, wait)
		if !noLogResponse(err) {
			return value, err
		}
		h.relayer.advancePeer()
		failure = damaskspread.MergeAppendErrors(failure, err)
		if ctx.Err() != nil {
			break
		}
	}
	return value, failure
}

// noLogResponse reports whether an error means that no response of the log was
// received. Other errors, such as passed retention, are responses of the log.
func noLogResponse(err error) bool {
	var unavailable *damaskspread.LogUnavailableError
	var unknown *damaskspread.AppendUnknownError
	return errors.As(err, &unavailable) || errors.As(err, &unknown)
}
