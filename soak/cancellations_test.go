package soak_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskspread.example/damaskspread/emulator"
)

const (
	// cancelBound is the time after the acknowledgement of a cancellation in which tasks of
	// the job may start.
	cancelBound = 3000 * time.Millisecond
	// ackBound is the time without faults after which a cancellation that an entry has read
	// counts as acknowledged.
	ackBound = 4000 * time.Millisecond
	// stopBound is the longest stop of the executors.
	stopBound = maxStopTime
)

// cancellation is an unacknowledged request to cancel a job.
type cancellation struct {
	at    time.Time
	entry string
	// life is that of the entry at the time.
	life int
}

// contact is whether a process is in touch.
type contact struct {
	// faults is the number of its faults in progress, since when the last one ended.
	faults int
	since  time.Time
	// life counts its ends, stopped its ends and pauses in progress.
	life, stopped int
}

// cancelChecker checks that nothing of a canceled job starts or runs on.
type cancelChecker struct {
	clock clockwork.Clock
	// pending has the requests that an entry has read, acknowledged when each job's
	// cancellation was acknowledged or counts as such.
	pending      map[string][]cancellation
	acknowledged map[string]time.Time
	contacts     map[string]*contact
	// lateStarts has when the runs started that an executor started late.
	lateStarts map[run]time.Time
	// reported has the runs that are known to run on.
	reported map[run]bool
	// unanswered has the jobs whose cancellation counts as acknowledged only.
	unanswered map[string]bool
	// latestStart is the longest time from the acknowledgement of a cancellation to a start of
	// the job that no executor carried out late.
	latestStart time.Duration
	// excused has the late starts of processes that were not in touch.
	excused []string
}

func newCancelChecker(clock clockwork.Clock) cancelChecker {
	return cancelChecker{
		clock:        clock,
		pending:      map[string][]cancellation{},
		acknowledged: map[string]time.Time{},
		contacts:     map[string]*contact{},
		lateStarts:   map[run]time.Time{},
		reported:     map[run]bool{},
		unanswered:   map[string]bool{},
	}
}

func (c *cancelChecker) contact(process string) *contact {
	if c.contacts[process] == nil {
		c.contacts[process] = &contact{}
	}
	return c.contacts[process]
}

func (c *cancelChecker) inTouch(process string) bool {
	contact := c.contact(process)
	return contact.faults == 0 && c.clock.Since(contact.since) >= contactTime
}

// disturb records the begin of a fault of a process or its links, and whether the process
// stands still meanwhile.
func (c *checker) disturb(process string, stops bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	contact := c.cancels.contact(process)
	contact.faults++
	if stops {
		contact.stopped++
	}
}

// settle records the end of a fault that disturb has recorded.
func (c *checker) settle(process string, stops bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	contact := c.cancels.contact(process)
	contact.faults--
	contact.since = c.cancels.clock.Now()
	if stops {
		contact.stopped--
	}
}

// endLife records that a process ends.
func (c *checker) endLife(process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels.contact(process).life++
}

// beginCancellation returns the cancellation that a caller is about to send to an entry, or
// nil if the entry may not read it.
func (c *checker) beginCancellation(job, entry string) *cancellation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled[job] = true
	contact := c.cancels.contact(entry)
	if contact.stopped > 0 {
		return nil
	}
	return &cancellation{
		at:    c.cancels.clock.Now(),
		entry: entry,
		life:  contact.life,
	}
}

// endCancellation records what the caller has learned of its cancellation. One that an
// entry has refused has no effect.
func (c *checker) endCancellation(job string, sent *cancellation, answer response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.cancels.acknowledged[job]
	unknown := answer.status == 0 || answer.status == timedOut || answer.status == http.StatusGatewayTimeout
	switch {
	case known:
	case answer.accepted() || answer.status == http.StatusGone:
		c.cancels.acknowledged[job] = c.cancels.clock.Now()
	case unknown && sent != nil:
		c.cancels.pending[job] = append(c.cancels.pending[job], *sent)
	}
}

// countPending lets the pending cancellations count as acknowledged whose entry goes on and
// had ackBound without faults.
func (c *checker) countPending() {
	if !c.lasting.calmFor(ackBound) {
		return
	}
	for job, requests := range c.cancels.pending {
		for _, request := range requests {
			_, known := c.cancels.acknowledged[job]
			if !known && c.cancels.contact(request.entry).life == request.life && c.cancels.clock.Since(request.at) >= ackBound {
				c.cancels.acknowledged[job] = c.cancels.clock.Now()
				c.cancels.unanswered[job] = true
			}
		}
	}
}

// checkStartAfterCancel adds a violation for a start too long after the cancellation of its
// job, by an agent in touch.
func (c *checker) checkStartAfterCancel(job string, start emulator.RunEvent) {
	c.countPending()
	started := run{start.Task, start.Run}
	if c.ends.late[started] {
		c.cancels.lateStarts[started] = c.cancels.clock.Now()
		return
	}
	acknowledged, known := c.cancels.acknowledged[job]
	wait := c.cancels.clock.Since(acknowledged)
	if !known {
		return
	}
	c.cancels.latestStart = max(c.cancels.latestStart, wait)
	if wait <= cancelBound {
		return
	}
	text := fmt.Sprintf("run %d of %s starts on %s %s after the cancellation of its job (without an answer: %t)", start.Run, start.Task, start.Executor, wait, c.cancels.unanswered[job])
	if c.cancels.inTouch(agentOf(start.Executor)) {
		c.addViolation("%s", text)
	} else {
		c.cancels.excused = append(c.cancels.excused, text)
	}
}

// agentOf returns the name of the agent that calls an executor.
func agentOf(executor string) string {
	host, _, _ := strings.Cut(strings.TrimPrefix(executor, "i-"), "-")
	return "agent-" + host
}

// checkCanceled adds a violation for each run that goes on too long after the cancellation
// of its job, in a calm time.
func (c *checker) checkCanceled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countPending()
	if !c.lasting.calmFor(cancelBound + stopBound) {
		return
	}
	for _, runs := range c.running {
		for _, event := range runs {
			job, _, _ := strings.Cut(event.Task, ".")
			running := run{event.Task, event.Run}
			since, known := c.cancels.acknowledged[job]
			if late := c.cancels.lateStarts[running]; !late.IsZero() && late.Add(contactTime).After(since) {
				since = late.Add(contactTime)
			}
			if wait := c.cancels.clock.Since(since); known && wait > cancelBound+stopBound && !c.cancels.reported[running] {
				c.cancels.reported[running] = true
				c.addViolation("run %d of %s goes on on %s %s after the cancellation of its job (without an answer: %t)", event.Run, event.Task, event.Executor, wait, c.cancels.unanswered[job])
			}
		}
	}
}

// runsCanceled reports whether a task of a job runs whose cancellation was requested.
func (c *checker) runsCanceled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, runs := range c.running {
		if job, _, _ := strings.Cut(task, "."); len(runs) > 0 && c.canceled[job] {
			return true
		}
	}
	return false
}

// sendCancellation lets the checker judge a request to cancel a job.
func (f *fleet) sendCancellation(p *process, id string, send func() response) response {
	begun := time.Now()
	sent := f.checker.beginCancellation(id, p.name)
	answer := send()
	f.checker.endCancellation(id, sent, answer)
	f.executorLog.Printf("cancellation of %s at %s: %d %s after %s", id, p.name, answer.status, answer.text, time.Since(begun))
	return answer
}

// awaitStops waits for the runs of the canceled jobs, for as long as they may take.
func (f *fleet) awaitStops() {
	deadline := time.Now().Add(contactTime + cancelBound + stopBound + time.Second)
	for f.checker.runsCanceled() && time.Now().Before(deadline) {
		time.Sleep(lastingInterval)
	}
}
