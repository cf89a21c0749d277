package assessor_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/assessor"
)

// outcome is the end of runs of a job's only step on an executor.
type outcome struct {
	executor, job string
	failed, done  int
}

func weigh(outcomes []outcome) *assessor.Failures {
	f := &assessor.Failures{}
	for _, o := range outcomes {
		executor := assessor.Executor{ID: o.executor}
		step := assessor.Step{Job: o.job}
		for range o.done {
			f.AddSuccess(executor, step, time.Hour)
		}
		for range o.failed {
			f.AddFailure(executor, step, true, time.Hour)
		}
	}
	f.Weigh(nil, time.Hour)
	return f
}

// everywhere returns failures of a job on several executors.
func everywhere(job string, failures int, executors ...string) []outcome {
	var outcomes []outcome
	for _, executor := range executors {
		outcomes = append(outcomes, outcome{executor: executor, job: job, failed: failures})
	}
	return outcomes
}

// Guards against sound executors that are suspect because of a job whose tasks all fail,
// and against broken ones that are not found, alone or beside such a job.
func TestSuspectExecutors(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e"}
	for _, test := range []struct {
		name     string
		outcomes []outcome
		want     string
	}{
		{
			name:     "one failure",
			outcomes: []outcome{{executor: "a", job: "1", failed: 1}},
			want:     "",
		},
		{
			name:     "two failures of the first job on one executor",
			outcomes: []outcome{{executor: "a", job: "1", failed: 2}},
			want:     "a",
		},
		{
			name:     "two failures of two jobs",
			outcomes: []outcome{{executor: "a", job: "1", failed: 1}, {executor: "a", job: "2", failed: 1}},
			want:     "a",
		},
		{
			name:     "a job that fails on two executors",
			outcomes: everywhere("1", 30, "a", "b"),
			want:     "",
		},
		{
			name:     "a job that fails on all executors",
			outcomes: everywhere("1", 30, all...),
			want:     "",
		},
		{
			name:     "three jobs that fail on all executors",
			outcomes: append(everywhere("1", 30, all...), append(everywhere("2", 30, all...), everywhere("3", 30, all...)...)...),
			want:     "",
		},
		{
			name:     "a broken executor beside a job that fails on all",
			outcomes: append(everywhere("1", 30, all...), outcome{executor: "a", job: "2", failed: 2}),
			want:     "a",
		},
		{
			name: "a broken executor, and other jobs are done on all",
			outcomes: append(everywhere("1", 30, all...),
				outcome{executor: "b", job: "2", done: 1}, outcome{executor: "c", job: "2", done: 1}, outcome{executor: "a", job: "2", failed: 2}),
			want: "a",
		},
		{
			name: "two broken executors of five at their first job",
			outcomes: []outcome{
				{executor: "a", job: "1", failed: 4},
				{executor: "b", job: "1", failed: 4},
				{executor: "c", job: "1", done: 1},
				{executor: "d", job: "1", done: 1},
				{executor: "e", job: "1", done: 1},
			},
			want: "ab",
		},
		{
			name:     "two broken executors at their third job, before any run is done",
			outcomes: append(everywhere("1", 2, "a", "b"), append(everywhere("2", 2, "a", "b"), everywhere("3", 2, "a", "b")...)...),
			want:     "ab",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := weigh(test.outcomes)
			suspects := ""
			for _, executor := range all {
				if f.Suspect(assessor.Executor{ID: executor}) {
					suspects += executor
				}
			}
			assert.Equal(t, suspects, test.want)
		})
	}
}

// Guards against an executor that stays suspect after a success, or for good, and against
// evidence that grows without end.
func TestFailuresAreForgotten(t *testing.T) {
	executor := assessor.Executor{ID: "a"}
	broken := []outcome{{executor: "a", job: "1", failed: 5}}
	f := weigh(append(broken, outcome{executor: "a", job: "2", done: 1}))
	assert.Equal(t, f.Evidence(executor), 0.0)

	f = weigh(broken)
	f.Weigh(nil, time.Hour+assessor.FailureMemory+time.Second)
	assert.Equal(t, f.Evidence(executor), 0.0)

	f = weigh(broken)
	f.Clear(executor)
	f.Weigh(nil, time.Hour)
	assert.Equal(t, f.Evidence(executor), 0.0)
}

// Guards against ends that take memory for good while nothing has to be weighed.
func TestOldEndsAreRemovedWithoutWeighing(t *testing.T) {
	step := assessor.Step{Job: "1"}
	f := weigh(append(everywhere("1", 1, "a", "b"), outcome{executor: "a", job: "2", done: 1}, outcome{executor: "b", job: "2", done: 1}))
	assert.Equal(t, f.Doubtful(step), true)
	f.AddSuccess(assessor.Executor{ID: "c"}, assessor.Step{Job: "3"}, time.Hour+assessor.FailureMemory+time.Second)
	assert.Equal(t, f.Doubtful(step), false)
}

// Guards against an executor that is not suspect although it says that it is unhealthy,
// because steps that it fails fail elsewhere too.
func TestRefusalsCountInFull(t *testing.T) {
	f := weigh(everywhere("1", 9, "a", "b", "c"))
	for i := range 2 {
		assert.Equal(t, f.Suspect(assessor.Executor{ID: "a"}), false, "after %d refusals", i)
		f.AddRefusal(assessor.Executor{ID: "a"}, time.Hour)
		f.Weigh(nil, time.Hour)
	}
	assert.Equal(t, f.Suspect(assessor.Executor{ID: "a"}), true)
}

// Guards against later failures of a task that count against the executors which repeat it.
func TestLaterFailuresOfATask(t *testing.T) {
	f := &assessor.Failures{}
	for i := range 5 {
		f.AddFailure(assessor.Executor{ID: "a"}, assessor.Step{Job: fmt.Sprint(i)}, false, time.Hour)
	}
	f.Weigh(nil, time.Hour)
	assert.Equal(t, f.Evidence(assessor.Executor{ID: "a"}), 0.0)
}

func TestDoubtfulSteps(t *testing.T) {
	step := assessor.Step{Job: "1"}
	assert.Equal(t, weigh([]outcome{{executor: "a", job: "1", failed: 9}}).Doubtful(step), false)
	assert.Equal(t, weigh(everywhere("1", 1, "a", "b")).Doubtful(step), true)
	f := weigh(append(everywhere("1", 1, "a", "b"), outcome{executor: "c", job: "1", done: 1}, outcome{executor: "d", job: "1", done: 1}, outcome{executor: "e", job: "1", done: 1}))
	assert.Equal(t, f.Doubtful(step), false)
}
