package planner

import (
	"slices"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// latencyReports is the number of a host's reports of which the median decides
// whether a serving task is near its target. Three tolerate one that deviates; a
// report comes each 0.5 to 1 s, and a target may be missed for 4 s at most.
const latencyReports = 3

// UnmeasuredRatio stands for the ratio of latency to target latency of a serving task
// without a measurement. It is exp(-typicalHeadroom).
const UnmeasuredRatio = 0.74

// LatencyHistory has the latest reports of a host on its serving tasks. It also
// follows the forced start of the host until its effect was measured. The zero value
// is the history of a host without reports. It is not safe for concurrent use.
type LatencyHistory struct {
	ratios []float64
	// measured counts the reports since the last forced start, or all without one.
	measured int
	// forced and forcedRun are the last forced start; forced is nil without one.
	forced    *tracker.Task
	forcedRun int32
}

// Observe adds a report: the largest ratio of latency to target latency among the
// host's serving tasks, and its list of runs. A report that doesn't list the run of
// a forced start yet, because the run hasn't begun, doesn't show its effect.
func (l *LatencyHistory) Observe(ratio float64, running []*wire.TaskRun) {
	l.ratios = append(l.ratios, ratio)
	if len(l.ratios) > latencyReports {
		l.ratios = l.ratios[1:]
	}
	if l.forcedStartPending() && !l.listsForced(running) {
		return
	}
	l.measured++
}

// Ratio returns the median of the latest reports. Of two it returns the larger one,
// of one that one, and 0 without a report.
func (l *LatencyHistory) Ratio() float64 {
	if len(l.ratios) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(l.ratios))
	return sorted[len(sorted)/2]
}

// Measured reports whether all reports that Ratio considers show the effect of the
// last forced start. A new leader doesn't know the forced starts of the one before,
// so a history that is not full counts as not measured.
func (l *LatencyHistory) Measured() bool { return l.measured >= latencyReports }

// Force records the forced start of the task's present run on the host.
func (l *LatencyHistory) Force(task *tracker.Task) {
	l.measured = 0
	l.forced = task
	l.forcedRun = task.Run()
}

// forcedStartPending reports whether the run of the forced start may still begin or
// be in progress.
func (l *LatencyHistory) forcedStartPending() bool {
	return l.forced != nil && l.forced.Assigned() && l.forced.Run() == l.forcedRun
}

func (l *LatencyHistory) listsForced(running []*wire.TaskRun) bool {
	name := l.forced.ID().String()
	return slices.ContainsFunc(running, func(run *wire.TaskRun) bool {
		return run.GetTask() == name && run.GetRun() == l.forcedRun
	})
}
