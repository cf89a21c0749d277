package e2e_test

import (
	"fmt"
	"strings"

	"damaskspread.example/damaskspread/emulator"
)

// waitStart waits for the start of a task that follows the given number of
// earlier starts, and returns its event.
func (c *cluster) waitStart(task string, earlier int) emulator.Event {
	c.t.Helper()
	waitFor(c.t, settleTimeout, fmt.Sprintf("start %d of %s", earlier+1, task), func() bool {
		return len(c.events(task, "start")) > earlier
	})
	return c.events(task, "start")[earlier]
}

func (c *cluster) waitFinished(tasks ...string) {
	c.t.Helper()
	for _, task := range tasks {
		waitFor(c.t, settleTimeout, task+" finishes: "+c.history(task), func() bool {
			return c.readFinishes(task) > 0
		})
	}
}

// waitRecorded waits until the system has recorded that the tasks are over. Until then
// a task may start again.
func (c *cluster) waitRecorded(tasks ...string) {
	c.t.Helper()
	for _, task := range tasks {
		waitFor(c.t, settleTimeout, "the end of "+task+" is recorded: "+c.history(task), func() bool {
			return c.task(task).Phase == "finished"
		})
	}
}

// readFinishes returns how often a task finished such that a process could read it.
func (c *cluster) readFinishes(task string) int {
	return len(c.events(task, "finish")) - len(c.events(task, "unread"))
}

// history returns the platform's events of a task as text.
func (c *cluster) history(task string) string {
	var b strings.Builder
	for _, event := range c.platform.History().Events {
		if event.Task == task {
			fmt.Fprintf(&b, "%s %s token=%d progress=%dms at=%d; ", event.Kind, event.Host, event.Token, event.ProgressMs, event.WallUnixUs)
		}
	}
	return b.String()
}

// checkTask checks the platform's history of a task: it never runs on two hosts
// at once, each token starts at most once, each start resumes from a checkpoint
// of the task, and there is no start after the task has finished. A finish that no
// process could read before the worker restarted does not count: nobody can know of
// it. With latestOnly each start must resume from the latest checkpoint. Tests in which a
// host stays unreachable cannot require that, as its checkpoints are lost.
func (c *cluster) checkTask(task string, latestOnly bool) {
	c.t.Helper()
	running, finished := "", false
	checkpoint := int64(0)
	tokens, checkpoints := map[int64]bool{}, map[int64]bool{0: true}
	for _, event := range c.platform.History().Events {
		if event.Task != task {
			continue
		}
		switch event.Kind {
		case "start":
			if running != "" {
				c.t.Errorf("%s starts on %s while it runs on %s: %s", task, event.Host, running, c.history(task))
			}
			if finished || tokens[event.Token] {
				c.t.Errorf("%s starts again under token %d: %s", task, event.Token, c.history(task))
			}
			if latestOnly && event.ProgressMs != checkpoint || !checkpoints[event.ProgressMs] {
				c.t.Errorf("%s resumes at %d ms, its last checkpoint is at %d ms: %s", task, event.ProgressMs, checkpoint, c.history(task))
			}
			running, tokens[event.Token] = event.Host, true
		case "checkpoint":
			checkpoint = event.ProgressMs
			checkpoints[checkpoint] = true
		case "unread":
			finished = false
		default:
			running, finished = "", finished || event.Kind == "finish"
		}
	}
}

// checkFinished waits until the tasks have finished and checks that each finished
// once, not counting finishes that nobody could read, and always resumed from its latest checkpoint.
func (c *cluster) checkFinished(tasks ...string) {
	c.t.Helper()
	c.checkTasks(true, tasks...)
}

func (c *cluster) checkTasks(latestOnly bool, tasks ...string) {
	c.t.Helper()
	c.waitFinished(tasks...)
	c.waitRecorded(tasks...)
	for _, task := range tasks {
		c.checkTask(task, latestOnly)
		if count := c.readFinishes(task); count != 1 {
			c.t.Errorf("%s finished %d times: %s", task, count, c.history(task))
		}
	}
	c.assertNoViolation()
}

// checkCapacity checks that no worker ever held more than its capacity.
func (c *cluster) checkCapacity() {
	c.t.Helper()
	capacity := c.options.capacity
	for host, most := range c.platform.History().MaxCommitted {
		if most.GetMillicores() > capacity.GetMillicores() || most.GetMemoryBytes() > capacity.GetMemoryBytes() ||
			most.GetAccelerators() > capacity.GetAccelerators() {
			c.t.Errorf("%s held %v of %v", host, most, capacity)
		}
	}
}
