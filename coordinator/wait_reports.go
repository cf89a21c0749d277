package coordinator

import "time"

const (
	// waitReportDelay is how long tasks wait before the reason is traced.
	waitReportDelay = time.Second
	// waitReportInterval is the time between two reports of the same wait.
	waitReportInterval = 2 * time.Second
	// maxWaitReports bounds the reports in one cycle.
	maxWaitReports = 5
)

// waitReports limits the reports of waits that go on over many cycles.
type waitReports struct {
	now time.Duration
	// waits are those of the last cycle, present those found in this one, by name.
	waits, present map[string]*reportedWait
	// reports is the number of those in this cycle.
	reports int
}

// reportedWait is a wait and when it was last reported.
type reportedWait struct {
	since, reportedAt time.Duration
}

// begin begins a cycle.
func (r *waitReports) begin(now time.Duration) {
	r.now = now
	r.present = map[string]*reportedWait{}
	r.reports = 0
}

// due records that a wait is in progress, and reports whether to report it, and for how long
// it has lasted.
func (r *waitReports) due(name string) (waited time.Duration, due bool) {
	wait := r.waits[name]
	if wait == nil {
		wait = &reportedWait{since: r.now}
	}
	r.present[name] = wait
	waited = r.now - wait.since
	if r.reports == maxWaitReports || waited < waitReportDelay || r.now-wait.reportedAt < waitReportInterval {
		return waited, false
	}
	wait.reportedAt = r.now
	r.reports++
	return waited, true
}

// end ends a cycle, and with it the waits that were not found in it.
func (r *waitReports) end() { r.waits = r.present }

// since returns when a wait of the last cycle began, and false if there is none by that name.
func (r *waitReports) since(name string) (time.Duration, bool) {
	wait := r.waits[name]
	if wait == nil {
		return 0, false
	}
	return wait.since, true
}

// count is the number of waits in the last cycle.
func (r *waitReports) count() int { return len(r.waits) }
