package damaskspread

import (
	"context"
	"time"
)

// Pause blocks until the duration has passed on the clock or ctx is done.
func Pause(ctx context.Context, clock Clock, duration time.Duration) {
	timer := clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
