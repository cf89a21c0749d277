package estimator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/wire"
)

func taskSpec(id, kind string) *wire.TaskSpec {
	return &wire.TaskSpec{
		Task:               id,
		Team:               "team",
		Kind:               kind,
		Class:              wire.TaskClass_TASK_CLASS_BATCH,
		CanCheckpoint:      true,
		ExpectedDurationMs: 60_000,
		Resources: &wire.Resources{
			Millicores:  4_000,
			MemoryBytes: 8 << 30,
		},
	}
}

func newEstimator(clock clockwork.Clock, o damaskspread.Objective) *estimator.Estimator {
	e := &estimator.Estimator{
		Clock:     clock,
		Objective: o,
		LoadLag:   5 * time.Second,
	}
	for i := range 4 {
		e.SetHost(&wire.HostSpec{
			Host: fmt.Sprint("h", i),
			Capacity: &wire.Resources{
				Millicores:  16_000,
				MemoryBytes: 60 << 30,
			},
			Endpoint: &wire.EndpointSpec{
				Service: "tags",
			},
		})
	}
	return e
}

// Guards against host use that leaves out tasks without a sample yet, and against
// samples of an earlier attempt.
func TestHostUseCountsTasksWithoutSample(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newEstimator(clock, damaskspread.Objective{})
	for i := range 50 {
		id := fmt.Sprint("t", i)
		e.Started(taskSpec(id, "render"), "h1", 7)
		clock.Advance(30 * time.Second)
		e.ObserveUsage("h1", []*wire.UsageSample{{
			Task:        id,
			Token:       7,
			Millicores:  1_000,
			MemoryBytes: 16 << 30,
		}})
		e.Ended(id, true)
	}
	estimate := e.Estimate(taskSpec("next", "render"))
	assert.Assert(t, estimate.Mean.GetMillicores() < 1_300, "%v", estimate.Mean)
	assert.Assert(t, estimate.Mean.GetMemoryBytes() > 15<<30, "%v", estimate.Mean)
	assert.Assert(t, estimate.Duration < 35*time.Second, "%v", estimate.Duration)
	assert.Assert(t, estimate.Deviation.GetMillicores() < 1_000, "%v", estimate.Deviation)

	e.Started(taskSpec("a", "render"), "h0", 9)
	e.ObserveUsage("h0", []*wire.UsageSample{{
		Task:       "a",
		Token:      8,
		Millicores: 3_999,
	}})
	withoutSample := e.HostUse("h0").GetMillicores()
	assert.Equal(t, withoutSample, estimate.Mean.GetMillicores()+estimate.Deviation.GetMillicores())
	for i := range 9 {
		e.Started(taskSpec(fmt.Sprint("b", i), "unknown"), "h0", 10)
	}
	assert.Equal(t, e.HostUse("h0").GetMillicores(), int64(16_000))
}

// observe runs random kinds on four hosts for some rounds of 5 s and reports
// service times that are 5 s old. effect is the relative slowdown by each kind.
func observe(e *estimator.Estimator, clock *clockwork.FakeClock, rounds int, effect map[string]float64) {
	random := rand.New(rand.NewPCG(3, 0))
	previous := map[string][]string{}
	for round := range rounds {
		for h := range 4 {
			host := fmt.Sprint("h", h)
			for _, kind := range previous[host] {
				e.Ended(host+kind, true)
			}
			now := []string{}
			for _, kind := range []string{"noisy", "quiet"} {
				if random.IntN(2) == 0 {
					e.Started(taskSpec(host+kind, kind), host, int64(round))
					now = append(now, kind)
				}
			}
			previous[host] = now
		}
		clock.Advance(5 * time.Second)
		for h := range 4 {
			host := fmt.Sprint("h", h)
			micros := 2_000.0
			for _, kind := range previous[host] {
				micros *= 1 + effect[kind]
			}
			e.ObserveLoad(host, load(micros*(0.95+0.1*random.Float64())))
		}
	}
}

func load(micros float64) *wire.EndpointLoad {
	return &wire.EndpointLoad{
		Running:       4,
		Limit:         8,
		ServiceTimeUs: int64(micros),
	}
}

// Guards against attributing a slowdown to a quiet kind that often runs on the
// same host as a noisy one.
func TestSlowdownIsAttributedToTheRightKind(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newEstimator(clock, damaskspread.Objective{})
	observe(e, clock, 200, map[string]float64{"noisy": 0.6})
	noisy, quiet := e.Slowdown("h0", "tags", "noisy"), e.Slowdown("h0", "tags", "quiet")
	assert.Assert(t, noisy > 0.4 && noisy < 0.8, "noisy %.2f", noisy)
	assert.Assert(t, quiet < 0.1, "quiet %.2f", quiet)
	clock.Advance(24 * time.Hour)
	assert.Assert(t, e.Slowdown("h0", "tags", "noisy") < 0.1, "effect of a kind has not decayed 24 h after its last measurement")
}

// Guards against objective weights without effect, and against responses that
// alternate while the measurements stay the same.
func TestRespondFollowsTheObjective(t *testing.T) {
	for name, c := range map[string]struct {
		objective damaskspread.Objective
		want      []estimator.Action
	}{
		"tail latency": {
			objective: damaskspread.Objective{TailLatency: 5, BatchThroughput: 1, Evictions: 1},
			want:      []estimator.Action{estimator.Evict},
		},
		"balanced": {
			objective: damaskspread.Objective{TailLatency: 1, BatchThroughput: 1, Evictions: 1},
			want:      []estimator.Action{estimator.Throttle},
		},
		// No action: batch work outweighs the service.
		"batch throughput": {
			objective: damaskspread.Objective{TailLatency: 1, BatchThroughput: 5, Evictions: 5},
		},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			e := newEstimator(clock, c.objective)
			observe(e, clock, 200, map[string]float64{"noisy": 0.6})
			for h := range 4 {
				e.Ended(fmt.Sprint("h", h, "noisy"), true)
				e.Ended(fmt.Sprint("h", h, "quiet"), true)
			}
			e.Started(taskSpec("n", "noisy"), "h0", 1)
			var got []estimator.Action
			for range 60 {
				clock.Advance(5 * time.Second)
				// The task slows requests of 2000 µs by 60%, after an action by
				// 30%.
				micros := 3_200.0
				if len(got) > 0 {
					micros = 2_600
				}
				e.ObserveLoad("h0", load(micros))
				for _, response := range e.Respond() {
					assert.Equal(t, response.Task, "n")
					got = append(got, response.Action)
				}
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}
