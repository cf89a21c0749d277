package e2e_test

import (
	"fmt"
	"strings"

	"damaskspread.example/damaskspread/emulator"
)

// startOf waits until a task starts after that many earlier starts and
// returns the event.
func (c *cluster) startOf(task string, earlier int) emulator.Event {
	c.t.Helper()
	waitFor(c.t, settleWithin, fmt.Sprintf("start %d of %s", earlier+1, task), func() bool {
		return len(c.events(task, "start")) > earlier
	})
	return c.events(task, "start")[earlier]
}

func (c *cluster) waitFinished(tasks ...string) {
	c.t.Helper()
	for _, task := range tasks {
		waitFor(c.t, settleWithin, task+" finishes: "+c.history(task), func() bool {
			return len(c.events(task, "finish")) > 0
		})
	}
}

// history prints the platform's events of a task.
func (c *cluster) history(task string) string {
	var b strings.Builder
	for _, event := range c.platform.History().Events {
		if event.Task == task {
			fmt.Fprintf(&b, "%s %s token=%d progress=%dms at=%d; ", event.Kind, event.Host, event.Token, event.ProgressMs, event.WallUnixUs)
		}
	}
	return b.String()
}

// judge checks the platform's history of a task: it never runs in two places,
// each token starts at most once, each start resumes from a checkpoint of the
// task, and nothing starts after the task ended. With last set, only the last
// checkpoint will do; a host that stays out of reach takes its own with it.
func (c *cluster) judge(task string, last bool) {
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
			if last && event.ProgressMs != checkpoint || !checkpoints[event.ProgressMs] {
				c.t.Errorf("%s resumes at %d ms, its last checkpoint is at %d ms: %s", task, event.ProgressMs, checkpoint, c.history(task))
			}
			running, tokens[event.Token] = event.Host, true
		case "checkpoint":
			checkpoint = event.ProgressMs
			checkpoints[checkpoint] = true
		default:
			running, finished = "", finished || event.Kind == "finish"
		}
	}
}

// judgeFinished checks the whole history of tasks that have to finish once and
// resume from their last checkpoint.
func (c *cluster) judgeFinished(tasks ...string) {
	c.t.Helper()
	c.judgeAll(true, tasks...)
}

func (c *cluster) judgeAll(last bool, tasks ...string) {
	c.t.Helper()
	c.waitFinished(tasks...)
	for _, task := range tasks {
		c.judge(task, last)
		if count := len(c.events(task, "finish")); count != 1 {
			c.t.Errorf("%s finished %d times: %s", task, count, c.history(task))
		}
	}
	c.assertNoViolation()
}

// judgeCapacity checks what each worker held at most.
func (c *cluster) judgeCapacity() {
	c.t.Helper()
	capacity := c.options.capacity
	for host, most := range c.platform.History().MaxCommitted {
		if most.GetMillicores() > capacity.GetMillicores() || most.GetMemoryBytes() > capacity.GetMemoryBytes() ||
			most.GetAccelerators() > capacity.GetAccelerators() {
			c.t.Errorf("%s held %v of %v", host, most, capacity)
		}
	}
}
