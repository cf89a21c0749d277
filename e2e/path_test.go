package e2e_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWholePath is a smoke test: a request gets its response through every entry
// and runs once, and a batch task runs once.
func TestWholePath(t *testing.T) {
	c := startCluster(t, options{
		hosts: 3,
	})
	for i, e := range c.entries {
		key := fmt.Sprintf("coat-%d", i)
		a := e.send(t, callOptions{
			key:  key,
			body: "coat",
		})
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusOK, "%s", a.body)
		assert.Equal(t, string(a.body), "coat")
		assert.Equal(t, c.countExecutions(key), 1)
	}
	task := c.submit("ledger-1", map[string]string{
		"run_ms": "200",
	})
	waitFor(t, readyTimeout, "the task succeeds", func() bool { return c.task(task.Task).Result == "succeeded" })
	assert.Equal(t, len(c.events(task.Task, "start")), 1)
	c.assertNoViolation()
}
