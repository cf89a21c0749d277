package assessor_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// maxFurther is the number of starts that a task may have after three crashes.
const maxFurther = 3

// chanceDay is a minute in which 40% of the executors crash every 2 s.
func chanceDay(seed uint64, together bool) scenario {
	return scenario{
		seed:     seed,
		hosts:    20,
		duration: time.Minute,
		share:    0.4,
		period:   2 * time.Second,
		together: together,
		openJobs: 200,
		minRun:   200 * time.Millisecond,
		maxRun:   time.Second,
	}
}

// check compares who was given up with who has to be, and the starts with the budget.
func (w *world) check(t *testing.T) {
	t.Helper()
	healthy := 0
	for id := range w.givenUp {
		if !deadly(id) {
			healthy++
		}
	}
	assert.Check(t, healthy == 0, "seed %d: %d of %d healthy jobs were given up", w.seed, healthy, healthy+w.healthyDone)
	assert.Check(t, w.deadlyLeft == 0, "seed %d: %d jobs whose task crashes executors are left", w.seed, w.deadlyLeft)
	most := 0
	for _, further := range w.further {
		most = max(most, further)
	}
	assert.Check(t, most <= maxFurther, "seed %d: %d starts after three crashes", w.seed, most)
	t.Logf("seed %d: %d jobs done, %d given up, at most %d starts after three crashes", w.seed, w.healthyDone, len(w.givenUp), most)
}

// Guards against healthy jobs that are given up because executors crash by chance
// shortly after the starts of their tasks.
func TestHealthyTasksUnderCrashesByChance(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		newWorld(chanceDay(seed, seed%2 == 0)).play().check(t)
	}
}

// Guards against a task that crashes its executors and is started beyond its budget
// because others crash by chance, and against healthy jobs given up beside it.
func TestDeadlyTasksBesideCrashesByChance(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		s := chanceDay(seed, seed%2 == 0)
		s.totalJobs = 200
		s.openJobs = 40
		s.deadlyEach = 10
		newWorld(s).play().check(t)
	}
}

// Guards against evidence, or a count of starts, that a new leader loses.
func TestCrashesUnderChangingLeaders(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		s := chanceDay(seed, seed%2 == 0)
		s.totalJobs = 200
		s.openJobs = 40
		s.deadlyEach = 10
		s.leaderEach = 1500 * time.Millisecond
		newWorld(s).play().check(t)
	}
}

// Guards against a budget that is exceeded because reports of crashes arrive after the
// next start, or one of them never does.
func TestCrashesWithLostReports(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		s := chanceDay(seed, seed%2 == 0)
		s.totalJobs = 200
		s.openJobs = 40
		s.deadlyEach = 10
		s.lateReports = 0.3
		s.losesReports = true
		s.leaderEach = 4 * time.Second
		newWorld(s).play().check(t)
	}
}

// Guards against a share of healthy jobs given up above the bound of the design note,
// over drawn rates of crashes by chance.
func TestShareGivenUpIsBounded(t *testing.T) {
	expected, given, jobs := 0.0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := chanceDay(rapid.Uint64().Draw(t, "seed"), false)
		s.duration = 10 * time.Second
		s.hosts = rapid.IntRange(4, 16).Draw(t, "hosts")
		s.openJobs = 10 * s.hosts
		s.share = 0
		s.rate = rapid.Float64Range(0, 0.5).Draw(t, "rate")
		s.maxRun = time.Duration(rapid.IntRange(200, 1000).Draw(t, "maxRunMs")) * time.Millisecond
		w := newWorld(s).play()
		ended := w.healthyDone + len(w.givenUp)
		expected += shareBound(s) * float64(ended)
		given += len(w.givenUp)
		jobs += ended
	})
	t.Logf("%d of %d healthy jobs were given up, bound %.1f", given, jobs, expected)
	// Three standard deviations of a Poisson count.
	assert.Assert(t, float64(given) <= expected+3*math.Sqrt(expected))
}

// shareBound is the bound of docs/design/crash_evidence.md on the share of healthy tasks
// that are given up.
func shareBound(s scenario) float64 {
	crashed := -math.Expm1(-s.rate * min(s.maxRun, crashWindow).Seconds())
	failed := -math.Expm1(-s.rate * s.maxRun.Seconds())
	first := crashed / (crashed + 1 - failed)
	return 2e-5 + first*first*first*failed*failed
}
