package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/tracker"
)

// Guards against an order that counts a job as on time by an estimate which is known
// to be too short, and against an objective that grows with the prediction. The
// objective of both jobs is 3 s.
func TestOrderUsesPredictedRunTimes(t *testing.T) {
	first, second := chainJob("first", 0, 1), chainJob("second", 500, 1)
	assert.DeepEqual(t, order(1500, first, second), []string{"first", "second"})
	first.Predict(func(int) tracker.StepPrediction {
		return tracker.StepPrediction{Task: 1900 * time.Millisecond}
	})
	assert.DeepEqual(t, order(1500, first, second), []string{"second", "first"})
}
