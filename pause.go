package damaskspread

import (
	"context"
	"time"
)

// Pause waits until a duration has passed on the clock or the context ends.
func Pause(ctx context.Context, clock Clock, duration time.Duration) {
	timer := clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
