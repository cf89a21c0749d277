package e2e_test

import "syscall"

// keyFailure is a failure while a request with a key runs at host-0.
type keyFailure struct {
	name string
	// during is called while the first attempt runs at host-0, and undo after
	// the second retries. during may be nil.
	during func() (undo func())
	// mustRun means that the last retry must get the response of the execution.
	mustRun bool
}

func (c *cluster) keyLinkFailures() []keyFailure {
	return []keyFailure{
		{
			name:    "retried at once through both entries",
			mustRun: true,
		},
		{
			name: "primary unreachable, secondary reachable for the primary",
			during: func() func() {
				c.proxies.refuse("agent/host-0")
				return func() { c.proxies.restore("agent/host-0") }
			},
			mustRun: true,
		},
		{
			name:    "responses of the primary lost",
			during:  func() func() { return c.addToxic("agent/host-0", "timeout", toCaller, `"timeout":0`) },
			mustRun: true,
		},
		{
			name: "secondary unreachable for entries and the primary",
			during: func() func() {
				c.proxies.refuse("agent/host-1")
				return func() { c.proxies.restore("agent/host-1") }
			},
			mustRun: true,
		},
		{
			name: "endpoint unreachable",
			during: func() func() {
				c.proxies.refuse("endpoint/host-0")
				return func() { c.proxies.restore("endpoint/host-0") }
			},
		},
	}
}

// keyProcessFailures returns failures of which the last one loses the history of
// the shards, so nothing may follow it.
func (c *cluster) keyProcessFailures() []keyFailure {
	return []keyFailure{
		{
			name:    "endpoint leaves",
			during:  func() func() { return c.signalUntilUndone("host-0", syscall.SIGTERM) },
			mustRun: true,
		},
		{
			name:   "primary killed and restarted with empty memory",
			during: func() func() { return c.signalUntilUndone("host-0", syscall.SIGKILL) },
		},
		{
			// The request's deadline passes during the pause. After it, the agent may
			// return the response or outcome unknown.
			name:   "primary paused until its membership expires",
			during: func() func() { return c.signalUntilUndone("host-0", syscall.SIGSTOP) },
		},
		{
			name:    "secondary killed",
			during:  func() func() { return c.signalUntilUndone("host-1", syscall.SIGKILL) },
			mustRun: true,
		},
		{
			name: "primary killed, then the agent that replaced it",
			during: func() func() {
				c.signalUntilUndone("host-0", syscall.SIGKILL)()
				c.waitEndpoints(2)
				return c.signalUntilUndone("host-1", syscall.SIGKILL)
			},
		},
		{
			name: "zone removed, entry killed",
			during: func() func() {
				c.setZone("a", false)
				restart := c.signalUntilUndone("entry-0", syscall.SIGKILL)
				return func() { restart(); c.setZone("a", true) }
			},
		},
		{
			name: "primary and secondary killed",
			during: func() func() {
				first, second := c.signalUntilUndone("host-0", syscall.SIGKILL), c.signalUntilUndone("host-1", syscall.SIGKILL)
				return func() { first(); second() }
			},
		},
	}
}
