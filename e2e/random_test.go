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

// Environment variables of the randomized run. The seed determines which
// failures occur, when and for how long, and what the callers send. The order in
// which processes react is not reproduced exactly.
const (
	seedVariable   = "DAMASKSPREAD_E2E_SEED"
	lengthVariable = "DAMASKSPREAD_E2E_SECONDS"
	defaultSeconds = 20
)

// workload is what a randomized run does and checks for one or more promises.
type workload struct {
	// begin starts the callers and returns a function that stops them.
	begin func(random *rand.Rand) (stop func())
	// check compares the results with records from outside the system after all
	// failures have ended.
	check func(t *testing.T)
}

// TestRandomFailures guards the promises of all workloads under random failures
// from a seed, up to two at a time.
func TestRandomFailures(t *testing.T) {
	t.Parallel()
	seed := intVariable(t, seedVariable, time.Now().UnixNano())
	length := time.Duration(intVariable(t, lengthVariable, defaultSeconds)) * time.Second
	t.Logf("replay with %s=%d %s=%d", seedVariable, seed, lengthVariable, int(length.Seconds()))
	c := startSerially(t, options{
		hosts:  3,
		limits: quickLimits,
		slots:  4,
	})
	random := rand.New(rand.NewPCG(uint64(seed), 0))
	workloads := []workload{requestWorkload(c)}
	var stops []func()
	for _, w := range workloads {
		stops = append(stops, w.begin(rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))))
	}
	c.injectRandomFaults(random, requestFaults(), time.Now().Add(length))
	for _, stop := range stops {
		stop()
	}
	for _, w := range workloads {
		w.check(t)
	}
	c.assertNoViolation()
}

func intVariable(t *testing.T, name string, fallback int64) int64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseInt(text, 10, 64)
	assert.NilError(t, err, name)
	return value
}

// endPatience is how long the injection of faults waits for the end of one. A removed
// toxic first delivers the data that it holds back, up to 5 s for each chunk of it that
// nobody reads any more: 45 s for a response of 300 KB to a process that was killed.
const endPatience = time.Second

// activeFault is a fault that has begun.
type activeFault struct {
	fault
	end func()
}

// injectRandomFaults injects random failures of different parts, at most two at a
// time, until a given time, and ends them all. A part whose last failure has not
// ended yet gets no other one.
func (c *cluster) injectRandomFaults(random *rand.Rand, faults []fault, until time.Time) {
	var active []activeFault
	ending := map[string]<-chan struct{}{}
	for time.Now().Before(until) {
		f := faults[random.IntN(len(faults))]
		if len(active) == 2 || (len(active) == 1 && (active[0].faultyPart() == f.faultyPart() || !f.independent(active[0].fault))) {
			ending[active[0].faultyPart()] = c.beginEnd(active[0])
			active = active[1:]
		}
		if hasEnded(ending[f.faultyPart()]) && (len(active) == 0 || f.independent(active[0].fault)) {
			c.t.Logf("begin %s", f.name)
			active = append(active, activeFault{
				fault: f,
				end:   f.begin(c),
			})
		}
		time.Sleep(time.Duration(50+random.IntN(500)) * time.Millisecond)
	}
	for _, a := range active {
		a.end()
	}
	for part, ended := range ending {
		waitFor(c.t, readyTimeout+time.Minute, "the failure of "+part+" has ended", func() bool { return hasEnded(ended) })
	}
}

// beginEnd ends a fault and returns a channel that is closed once it has ended. It waits
// for that, at most for endPatience if the fault is one of a link.
func (c *cluster) beginEnd(a activeFault) <-chan struct{} {
	ended := make(chan struct{})
	if !a.ofLink {
		a.end()
		close(ended)
		return ended
	}
	go func() {
		a.end()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(endPatience):
		c.t.Logf("%s takes long to end", a.name)
	}
	return ended
}

// hasEnded reports whether an end is complete; nil stands for no end to wait for.
func hasEnded(ended <-chan struct{}) bool {
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// independent reports whether two failures can start and end in any order.
// Failures of the same part cannot, nor can a change of a zone together with a
// failure of the log or an entry, which it needs.
func (f fault) independent(other fault) bool {
	dependsOn := func(a, b fault) bool {
		return a.faultyPart() == "zone" && (strings.HasPrefix(b.name, "log") || strings.HasPrefix(b.name, "entry"))
	}
	return f.faultyPart() != other.faultyPart() && !dependsOn(f, other) && !dependsOn(other, f)
}

// requestWorkload covers promises 5 to 7.
func requestWorkload(c *cluster) workload {
	j := newJournal(c, "random")
	return workload{
		begin: func(random *rand.Rand) func() { return j.startRandomLoad(random, 8) },
		check: func(t *testing.T) {
			seen := j.checkAll(t)
			assert.Assert(t, seen[client.OutcomeRan] > 0 && seen[client.OutcomeNotRun] > 0, "too few responses for a verdict: %v", seen)
		},
	}
}
