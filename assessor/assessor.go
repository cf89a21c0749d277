// Package assessor decides whether the executors that crashed under a task speak
// against the task, or crashed by chance.
//
// It also decides whether failures of tasks speak against the executors that ran them or
// against the tasks, see Failures.
//
// Evidence is what is known of one task: how many executors have crashed shortly
// after they had started it, and how probable that is if the task is healthy.
// Crashes estimates that probability from the crashes of a service's executors. The
// types are plain data without clocks, locks or goroutines, and are not safe for
// concurrent use. Times are readings of the leader's damaskspread.ElapsedClock.
package assessor

import "math"

const (
	// MinCrashes is the number of executors that crash under a task before it may be
	// given up. Two are too few: a healthy task that starts together with one that
	// crashes executors is lost with it, and may meet another such task at its next
	// start.
	MinCrashes = 3
	// maxFurtherStarts is the number of starts after MinCrashes crashes. The rule
	// allows three; the last one is left for a crash that no agent has reported.
	maxFurtherStarts = 2
	// maxChance is the probability of its crashes by chance at which a task is given up.
	// An estimate at half of the true chance makes it 2e-5 of the healthy tasks.
	maxChance = 1e-6
	// CalmChance is the chance of a crash that applies where none was estimated.
	CalmChance = 0.001
)

// Verdict is the conclusion from the evidence about a task.
type Verdict string

// The verdicts.
const (
	// Undecided means that the task is started again.
	Undecided Verdict = "undecided"
	// Improbable means that the task is given up, because its crashes by chance are
	// too improbable.
	Improbable Verdict = "improbable_by_chance"
	// StartsUsedUp means that the task is given up whatever the evidence is, because
	// it may not be started again.
	StartsUsedUp Verdict = "starts_used_up"
)

// GivenUp reports whether the task is not started again.
func (v Verdict) GivenUp() bool { return v != Undecided }

// Evidence is what speaks against a task.
type Evidence struct {
	// Crashes counts the crashes shortly after a start of the task, since a run has
	// outlived its start.
	Crashes int32
	// Counted counts these crashes over all runs, and after MinCrashes of them all
	// starts that have ended without success.
	Counted int32
	// LogChance is the natural logarithm of the probability that a healthy task has as
	// many crashes.
	LogChance float64
}

// Chance returns the probability that a healthy task has as many crashes.
func (e Evidence) Chance() float64 { return math.Exp(e.LogChance) }

// Limited reports whether the number of further starts is limited.
func (e Evidence) Limited() bool { return e.Counted >= MinCrashes }

// StartsLeft returns how often the task may be started before it is given up whatever
// the evidence is. It means nothing while the starts are not limited.
func (e Evidence) StartsLeft() int32 { return max(0, MinCrashes+maxFurtherStarts-e.Counted) }

// Verdict returns the conclusion.
func (e Evidence) Verdict() Verdict {
	switch {
	case e.Crashes >= MinCrashes && e.LogChance <= math.Log(maxChance):
		return Improbable
	case e.Limited() && e.StartsLeft() == 0:
		return StartsUsedUp
	default:
		return Undecided
	}
}
