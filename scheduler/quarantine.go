package scheduler

import (
	"time"

	"damaskspread.example/damaskspread/placer"
)

const (
	// condemnAfter is the number of different tasks that have to fail in a
	// row before a worker is set aside.
	condemnAfter = 3
	// culpritAfter is the number of healthy hosts on which a task has to fail
	// before the failures count against the task.
	culpritAfter = 2
	// hopelessAfter ends a task that failed on that many hosts even if none of
	// them has shown that it is healthy, e.g. after a restart of the cluster.
	hopelessAfter = 5
	firstPause    = 30 * time.Second
	longestPause  = time.Hour
)

// conduct is what is known of a worker.
type conduct struct {
	// streak holds the tasks that failed since the last success.
	streak map[string]bool
	// healthy is set by a success and stays until a task that failed here
	// succeeds elsewhere. A mere streak does not clear it: a burst of bad jobs
	// would otherwise set aside one worker after the other.
	healthy bool
	aside   bool
	pause   time.Duration
	until   time.Time
}

// quarantine decides whether a failure is the worker's or the task's by
// comparing results.
type quarantine struct {
	hosts map[string]*conduct
	// watched holds the hosts whose admission may have to change.
	watched map[string]bool
	// failed holds the hosts on which each unfinished task failed.
	failed map[string][]string
}

func newQuarantine() *quarantine {
	return &quarantine{
		hosts:   map[string]*conduct{},
		watched: map[string]bool{},
		failed:  map[string][]string{},
	}
}

func (q *quarantine) host(id string) *conduct {
	c := q.hosts[id]
	if c == nil {
		c = &conduct{
			streak: map[string]bool{},
		}
		q.hosts[id] = c
	}
	return c
}

// restore sets a worker aside that had failed before this entry started. The
// tasks are not known any more, so the first pause has to be enough.
func (q *quarantine) restore(host string, failures int32, now time.Time) {
	if failures >= condemnAfter {
		q.setAside(host, now)
	}
}

// restarted forgets what a worker did before its restart.
func (q *quarantine) restarted(host string) { delete(q.hosts, host) }

// succeeded clears a worker. It also proves that the workers on which the
// task failed before, and not the task, were to blame.
func (q *quarantine) succeeded(host, task string) {
	for _, id := range q.failed[task] {
		q.host(id).healthy = false
	}
	c := q.host(host)
	clear(c.streak)
	c.healthy = true
	c.aside = false
	c.pause = 0
}

func (q *quarantine) failure(host, task string, now time.Time) {
	seen := false
	for _, id := range q.failed[task] {
		seen = seen || id == host
	}
	if !seen {
		q.failed[task] = append(q.failed[task], host)
	}
	if q.culprit(task) {
		q.acquit(task)
		return
	}
	c := q.host(host)
	c.streak[task] = true
	if c.aside || len(c.streak) >= condemnAfter {
		q.setAside(host, now)
	}
}

func (q *quarantine) setAside(host string, now time.Time) {
	c := q.host(host)
	q.watched[host] = true
	c.aside = true
	c.pause = min(max(2*c.pause, firstPause), longestPause)
	c.until = now.Add(c.pause)
}

// culprit reports whether the task itself is to blame.
func (q *quarantine) culprit(task string) bool {
	healthy := 0
	for _, id := range q.failed[task] {
		if c := q.hosts[id]; c != nil && c.healthy {
			healthy++
		}
	}
	return healthy >= culpritAfter || len(q.failed[task]) >= hopelessAfter
}

// acquit takes a task's failures off the workers that ran it.
func (q *quarantine) acquit(task string) {
	for _, id := range q.failed[task] {
		c := q.host(id)
		delete(c.streak, task)
		if c.aside && len(c.streak) < condemnAfter {
			c.aside = false
			c.pause = 0
		}
	}
}

// ended forgets a finished task.
func (q *quarantine) ended(task string) { delete(q.failed, task) }

func (q *quarantine) admission(host string, now time.Time) placer.Admission {
	c := q.hosts[host]
	switch {
	case c == nil || !c.aside:
		return placer.Open
	case now.Before(c.until):
		return placer.Quarantined
	default:
		return placer.Probing
	}
}
