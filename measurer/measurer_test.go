package measurer_test

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/measurer"
)

// Guards against a step that fails after a change in a package that it measures,
// and against a role without values. The sizes are too small for meaningful values.
func TestRun(t *testing.T) {
	m := &measurer.Measurer{
		Runs:    1,
		Divisor: 200,
		Window:  50 * time.Millisecond,
	}
	report, err := m.Run(t.Context())
	assert.NilError(t, err)
	roles := map[string]int{}
	for _, s := range report.Series {
		roles[s.Role]++
		assert.Assert(t, len(s.Points) >= 3, "%s over %s has %d sizes", s.Quantity, s.Axis, len(s.Points))
		for _, p := range s.Points {
			assert.Assert(t, p.Min <= p.Median && p.Median <= p.Max && p.Runs > 0, "%s: %v", s.Quantity, p)
		}
		assert.Assert(t, !math.IsNaN(s.AtTarget), s.Quantity)
	}
	for _, role := range []string{"entry", "agent", "log", "operator's client"} {
		assert.Assert(t, roles[role] > 0, role)
	}
	for _, s := range report.Series {
		assert.Assert(t, strings.Contains(report.Markdown(), s.Quantity), s.Quantity)
	}
}

// Guards against a wrong extrapolation to the target size.
func TestFit(t *testing.T) {
	base, slope, at := measurer.Fit([]measurer.Point{
		{Size: 1, Median: 5},
		{Size: 2, Median: 7},
		{Size: 4, Median: 11},
	}, 10)
	assert.Equal(t, [3]float64{base, slope, at}, [3]float64{3, 2, 23})
}

// Guards against the loss of text outside the markers when a report is inserted.
func TestReplaceBlock(t *testing.T) {
	page := "before\n" + measurer.BeginMarker + "\nold\n" + measurer.EndMarker + "\nafter\n"
	got, err := measurer.ReplaceBlock(page, "new\n")
	assert.NilError(t, err)
	assert.Equal(t, got, "before\n"+measurer.BeginMarker+"\nnew\n"+measurer.EndMarker+"\nafter\n")
	for _, lacking := range []string{"no markers", "only " + measurer.BeginMarker, measurer.EndMarker + measurer.BeginMarker} {
		_, err = measurer.ReplaceBlock(lacking, "new")
		var marker *measurer.MarkerError
		assert.Assert(t, errors.As(err, &marker), lacking)
	}
}
