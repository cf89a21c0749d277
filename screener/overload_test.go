package screener_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// overloadSeeds is the number of seeds whose outcomes are added up.
const overloadSeeds = 20

// admitAll is the baseline without admission.
func admitAll(uint64) admission {
	return func(*wire.LoadEstimate, time.Duration, *wire.Job) (bool, time.Duration) { return true, 0 }
}

// screen refuses what package screener refuses.
func screen(seed uint64) admission {
	s := newScreener(0)
	s.Random = rand.New(rand.NewPCG(seed, 3)).Float64
	return func(estimate *wire.LoadEstimate, age time.Duration, job *wire.Job) (bool, time.Duration) {
		decision := s.Decide(estimate, age, job)
		return !decision.Refused(), decision.RetryAfter
	}
}

// playSeeds adds up the outcomes of all seeds.
func playSeeds(load float64, sizes mix, in order, policy func(seed uint64) admission) *outcome {
	sum := newOutcome()
	for seed := range uint64(overloadSeeds) {
		sum.add(play(seed, load, sizes, in, policy(seed)))
	}
	return sum
}

// Load: for a minute, 0.3, 1.5 and 2 times the work that 4 processors do; refused callers
// return as told, at most five times. Compared with the admission of everything, in the
// order of arrival, by deadline with late work last, and by the classes of the planner.
// Guards against refusals where all fits, against admission that leaves fewer jobs of
// use or hardly fewer late ones, and against refusals for size.
func TestOverload(t *testing.T) {
	for _, load := range []float64{0.3, 1.5, 2} {
		for _, sizes := range []mix{mixTwoSizes, mixSpread} {
			for _, in := range []order{orderArrival, orderLateLast, orderCost} {
				if sizes == mixSpread && in == orderArrival {
					// A leader starts nothing in the order of arrival.
					continue
				}
				testOverload(t, load, sizes, in)
			}
		}
	}
}

func testOverload(t *testing.T, load float64, sizes mix, in order) {
	t.Helper()
	screened, all := playSeeds(load, sizes, in, screen), playSeeds(load, sizes, in, admitAll)
	t.Logf("load %.1f, %s, order %s: screened %+v", load, sizes, in, screened)
	t.Logf("load %.1f, %s, order %s: all admitted %+v", load, sizes, in, all)
	if load < 1 {
		assert.Equal(t, screened.refusals, 0)
		return
	}
	assert.Assert(t, screened.useful > all.useful)
	assert.Assert(t, screened.late < all.late)
	switch {
	case in == orderArrival:
	case sizes == mixTwoSizes:
		assert.Assert(t, 2*screened.late <= all.late)
	default:
		assert.Assert(t, 5*screened.late <= 4*all.late)
	}
	for size := range screened.totalBySize {
		assert.Assert(t, 2*screened.share(size) >= screened.share("small"), size)
	}
}
