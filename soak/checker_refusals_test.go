package soak_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
)

// Checks that the checker detects each violation of what responses promise, and that it
// accepts runs that the responses allow.
func TestCheckerSeesPlantedRefusals(t *testing.T) {
	accepted := response{status: http.StatusOK}
	refused := response{status: http.StatusTooManyRequests, retryAfter: "1"}
	unavailable := response{status: http.StatusServiceUnavailable, retryAfter: "2"}
	unknown := response{status: http.StatusGatewayTimeout}
	for _, test := range []struct {
		name       string
		attempts   [][]response
		starts     bool
		violations int
	}{
		{"refused job runs", [][]response{{refused}}, true, 1},
		{"job that is refused twice runs", [][]response{{refused}, {unavailable}}, true, 1},
		{"job that two entries refuse runs", [][]response{{refused, refused}}, true, 1},
		{"job runs while the log is unavailable", [][]response{{unavailable}}, true, 1},
		{"job runs that was refused after an unknown outcome", [][]response{{unknown}, {refused}}, true, 1},
		{"job runs that was refused after a broken connection", [][]response{{{}}, {refused}}, true, 1},
		{"accepted job never ends", [][]response{{accepted}}, false, 1},
		{"accepted job never ends after it was refused", [][]response{{refused}, {accepted}}, true, 1},
		{"accepted job is refused", [][]response{{unknown, accepted}, {refused}}, false, 2},
		{"no retry time", [][]response{{{status: http.StatusTooManyRequests}}}, false, 1},
		{"retry time of zero", [][]response{{{status: http.StatusServiceUnavailable, retryAfter: "0"}}}, false, 1},
		{"fractional retry time", [][]response{{{status: http.StatusTooManyRequests, retryAfter: "1.5"}}}, false, 1},
		{"retry time that is a date", [][]response{{{status: http.StatusTooManyRequests, retryAfter: "Fri, 04 Dec 2026 17:00:00 GMT"}}}, false, 1},
		{"unknown outcome beside a refusal", [][]response{{unknown, refused}}, true, 0},
		{"unknown outcome after a refusal", [][]response{{refused}, {unknown}, {unavailable}}, true, 0},
		{"request that an entry reads after the refusal", [][]response{{{status: timedOut}}, {refused}}, true, 0},
	} {
		c := newChecker()
		for _, responses := range test.attempts {
			c.recordAttempts("a", responses...)
		}
		if test.starts {
			c.capacities.Booted("x", defaultCapacity)
			c.observe(emulator.RunEvent{Task: "a.0.0.0", Executor: "x"})
		}
		assert.Equal(t, len(c.report()), test.violations, "%s: %v", test.name, c.report())
	}
}
