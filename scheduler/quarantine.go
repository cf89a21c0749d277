package scheduler

import (
	"time"

	"damaskspread.example/damaskspread/placer"
)

const (
	// quarantineAfterFailures is the number of different tasks that have to fail
	// on a worker without a success in between before it is quarantined.
	quarantineAfterFailures = 3
	// faultAfterHealthyHosts is the number of healthy hosts on which a task has to
	// fail before the task is at fault.
	faultAfterHealthyHosts = 2
	// faultAfterHosts is the number of hosts on which a task has to fail before
	// it is at fault even if none of the hosts is known to be healthy, such as
	// after a restart of the cluster.
	faultAfterHosts = 5
	minQuarantine   = 30 * time.Second
	maxQuarantine   = time.Hour
)

// hostHealth is the recent history of a host's worker.
type hostHealth struct {
	// failedTasks holds the tasks that failed here since the last success.
	failedTasks map[string]bool
	// healthy means that failures here count against the tasks. It is set by a
	// success and cleared when a task that failed here succeeds elsewhere. Failures
	// alone don't clear it: otherwise a burst of faulty tasks would quarantine one
	// worker after the other.
	healthy     bool
	quarantined bool
	// duration is the length of the latest quarantine, which ends at until.
	duration time.Duration
	until    time.Time
}

// quarantine decides whether failures are caused by the worker or by the task, by
// comparing the results of each task on several hosts. It excludes failing
// workers for a time that doubles with each further failure, and then probes
// them with one task at a time.
type quarantine struct {
	hosts map[string]*hostHealth
	// watched holds the hosts that are or were quarantined and whose admission is
	// updated in every scheduling cycle until it is open again.
	watched map[string]bool
	// failedOn maps each unfinished task to the hosts on which it failed.
	failedOn map[string][]string
}

func newQuarantine() *quarantine {
	return &quarantine{
		hosts:    map[string]*hostHealth{},
		watched:  map[string]bool{},
		failedOn: map[string][]string{},
	}
}

func (q *quarantine) healthOf(id string) *hostHealth {
	health := q.hosts[id]
	if health == nil {
		health = &hostHealth{
			failedTasks: map[string]bool{},
		}
		q.hosts[id] = health
	}
	return health
}

// restore quarantines a worker whose failures before this entry started are
// recorded in the state, the first at failingSince and the latest at failedAt. The
// duration is doubled for each failure after those that began the quarantine. The
// failed tasks are not known, and some of these failures may be the fault of their
// tasks or have come at once, so the worker is not excluded for longer than it has
// failed. Probes at the end of each quarantine reach both limits.
func (q *quarantine) restore(host string, failures int32, failingSince, failedAt time.Time) {
	if failures < quarantineAfterFailures {
		return
	}
	duration := minQuarantine
	for n := failures - quarantineAfterFailures; n > 0 && duration < maxQuarantine; n-- {
		duration *= 2
	}
	q.quarantineHost(host, failedAt, min(duration, failedAt.Sub(failingSince)+minQuarantine))
}

// forgetHost drops the history of a host, because its worker restarted.
func (q *quarantine) forgetHost(host string) { delete(q.hosts, host) }

// recordSuccess marks a worker as healthy and ends its quarantine. The success
// also shows that the task is not at fault for its earlier failures, so the
// workers where it failed no longer count as healthy.
func (q *quarantine) recordSuccess(host, task string) {
	for _, id := range q.failedOn[task] {
		q.healthOf(id).healthy = false
	}
	health := q.healthOf(host)
	clear(health.failedTasks)
	health.healthy = true
	health.quarantined = false
	health.duration = 0
}

func (q *quarantine) recordFailure(host, task string, now time.Time) {
	known := false
	for _, id := range q.failedOn[task] {
		known = known || id == host
	}
	if !known {
		q.failedOn[task] = append(q.failedOn[task], host)
	}
	if q.taskAtFault(task) {
		q.clearFailures(task)
		return
	}
	health := q.healthOf(host)
	health.failedTasks[task] = true
	if health.quarantined || len(health.failedTasks) >= quarantineAfterFailures {
		q.quarantineHost(host, now, 2*health.duration)
	}
}

func (q *quarantine) quarantineHost(host string, from time.Time, duration time.Duration) {
	health := q.healthOf(host)
	q.watched[host] = true
	health.quarantined = true
	health.duration = min(max(duration, minQuarantine), maxQuarantine)
	health.until = from.Add(health.duration)
}

// taskAtFault reports whether the task itself causes its failures.
func (q *quarantine) taskAtFault(task string) bool {
	healthy := 0
	for _, id := range q.failedOn[task] {
		if health := q.hosts[id]; health != nil && health.healthy {
			healthy++
		}
	}
	return healthy >= faultAfterHealthyHosts || len(q.failedOn[task]) >= faultAfterHosts
}

// clearFailures removes a task's failures from the hosts that ran it. It ends
// the quarantine of hosts that are left with too few failures.
func (q *quarantine) clearFailures(task string) {
	for _, id := range q.failedOn[task] {
		health := q.healthOf(id)
		delete(health.failedTasks, task)
		if health.quarantined && len(health.failedTasks) < quarantineAfterFailures {
			health.quarantined = false
			health.duration = 0
		}
	}
}

// forgetTask drops the failures of a finished task.
func (q *quarantine) forgetTask(task string) { delete(q.failedOn, task) }

func (q *quarantine) admission(host string, now time.Time) placer.Admission {
	health := q.hosts[host]
	switch {
	case health == nil || !health.quarantined:
		return placer.Open
	case now.Before(health.until):
		return placer.Quarantined
	default:
		return placer.Probing
	}
}
