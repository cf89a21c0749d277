package damaskspread

import (
	"context"
	"sync/atomic"
	"time"
)

// Limits of reads of a keyed log, see BeginRead.
const (
	logResponseTimeout = 900 * time.Millisecond
	logStallTimeout    = 2 * time.Second
	maxLogReadTime     = 30 * time.Second
)

// Progress bounds a call by its progress instead of its duration, so that a large
// response over a slow link is not taken for an unresponsive peer. Without it, the
// call would be aborted and repeated, which loads the link even more. The fields
// are set before the call; the methods are safe for concurrent use.
type Progress struct {
	// Response is the time within which the response has to begin.
	Response time.Duration
	// Stall is the time within which each further part of it has to arrive.
	Stall time.Duration

	parent *Progress
	begun  atomic.Bool
}

type progressKey struct{}

// WithProgress returns a context whose call the client bounds and reports to p.
func WithProgress(ctx context.Context, p *Progress) context.Context {
	return context.WithValue(ctx, progressKey{}, p)
}

// ProgressOf returns the progress of the context's call, or nil.
func ProgressOf(ctx context.Context) *Progress {
	p, _ := ctx.Value(progressKey{}).(*Progress)
	return p
}

// Begin records that the response has begun. Clients call it.
func (p *Progress) Begin() {
	for ; p != nil; p = p.parent {
		p.begun.Store(true)
	}
}

// Begun reports whether the response has begun. It is false for nil.
func (p *Progress) Begun() bool { return p != nil && p.begun.Load() }

// Part returns the progress of one of several calls that p stands for, or nil for
// nil. p has begun once one of them has.
func (p *Progress) Part() *Progress {
	if p == nil {
		return nil
	}
	return &Progress{
		Response: p.Response,
		Stall:    p.Stall,
		parent:   p,
	}
}

// BeginRead returns the context for a read of a keyed log that waits up to wait
// for records, with the progress that bounds it.
func BeginRead(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc, *Progress) {
	p := &Progress{
		Response: wait + logResponseTimeout,
		Stall:    logStallTimeout,
	}
	limited, cancel := context.WithTimeout(ctx, wait+maxLogReadTime)
	return WithProgress(limited, p), cancel, p
}
