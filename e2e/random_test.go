package e2e_test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/client"
)

// Environment variables of the randomized run. The seed decides which failures
// occur, when and how long, and what the callers send; the order in which
// processes react to them is not repeated exactly.
const (
	seedVariable   = "DAMASKSPREAD_E2E_SEED"
	lengthVariable = "DAMASKSPREAD_E2E_SECONDS"
	defaultSeconds = 20
)

// workload is what a randomized run does and checks for one or more promises.
type workload struct {
	// start begins the work and returns its end.
	start func(random *rand.Rand) (stop func())
	// check judges by outside records after all failures were repaired.
	check func(t *testing.T)
}

// TestRandomFailures guards all listed promises together against failures that
// a seed draws, up to two at a time.
func TestRandomFailures(t *testing.T) {
	t.Parallel()
	seed := variable(t, seedVariable, time.Now().UnixNano())
	length := time.Duration(variable(t, lengthVariable, defaultSeconds)) * time.Second
	t.Logf("replay with %s=%d %s=%d", seedVariable, seed, lengthVariable, int(length.Seconds()))
	c := startAlone(t, options{
		hosts:  3,
		limits: quickLimits,
		slots:  4,
	})
	random := rand.New(rand.NewPCG(uint64(seed), 0))
	workloads := []workload{requestWorkload(c)}
	var stops []func()
	for _, w := range workloads {
		stops = append(stops, w.start(rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))))
	}
	c.fail(random, requestFaults(), time.Now().Add(length))
	for _, stop := range stops {
		stop()
	}
	for _, w := range workloads {
		w.check(t)
	}
	c.assertNoViolation()
}

func variable(t *testing.T, name string, otherwise int64) int64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	value, err := strconv.ParseInt(text, 10, 64)
	assert.NilError(t, err, name)
	return value
}

// fail begins random failures of different parts, at most two at a time, until
// the time is over, and repairs them.
func (c *cluster) fail(random *rand.Rand, faults []fault, until time.Time) {
	type current struct {
		fault
		end func()
	}
	var active []current
	for time.Now().Before(until) {
		f := faults[random.IntN(len(faults))]
		if len(active) == 2 || (len(active) == 1 && (active[0].part() == f.part() || !f.independent(active[0].fault))) {
			active[0].end()
			active = active[1:]
		}
		if len(active) == 0 || f.independent(active[0].fault) {
			c.t.Logf("begin %s", f.name)
			active = append(active, current{
				fault: f,
				end:   f.begin(c),
			})
		}
		time.Sleep(time.Duration(50+random.IntN(500)) * time.Millisecond)
	}
	for _, a := range active {
		a.end()
	}
}

// independent reports whether two failures can be begun and repaired in any
// order: a change of a zone needs the log and an entry.
func (f fault) independent(other fault) bool {
	needs := func(a, b fault) bool {
		return a.part() == "zone" && (strings.HasPrefix(b.name, "log") || strings.HasPrefix(b.name, "entry"))
	}
	return f.part() != other.part() && !needs(f, other) && !needs(other, f)
}

// requestWorkload covers promises 5 to 7.
func requestWorkload(c *cluster) workload {
	j := newJournal(c, "random")
	return workload{
		start: func(random *rand.Rand) func() { return j.load(random, 8) },
		check: func(t *testing.T) {
			seen := j.check(t)
			assert.Assert(t, seen[client.OutcomeRan] > 0 && seen[client.OutcomeNotRun] > 0, "too few answers to judge: %v", seen)
		},
	}
}
