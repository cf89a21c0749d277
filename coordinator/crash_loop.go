package coordinator

import "time"

const (
	// loopCrashes is how often an executor has crashed within loopWindow, although no task
	// had just started there, if it is in a crash loop.
	loopCrashes = 2
	loopWindow  = 10 * time.Second
	// steadyTime is how long an executor in a crash loop must have a session before it gets
	// tasks. It is longer than the time within which a crash counts against a task.
	steadyTime = time.Second
)

// inCrashLoop reports whether the executor gets no tasks yet, because it has lately crashed
// again and again by itself. The tasks would be lost, and the crashes would be held against
// those that had just started.
func (c *Coordinator) inCrashLoop(view *sessionView, now time.Duration) bool {
	if now-view.session.openedAt >= steadyTime {
		return false
	}
	return c.crashesOf(view.info.GetService()).CountIdle(view.key.ID, now-loopWindow) >= loopCrashes
}
