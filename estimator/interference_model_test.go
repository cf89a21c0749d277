package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/pacer"
	"damaskspread.example/damaskspread/wire"
)

// Guards against a model that attributes interference to the wrong image. Two
// best-effort images run on the hosts of two serving ones while the load
// oscillates, and one pair interferes.
func TestPressureFindsInterferingPair(t *testing.T) {
	const seed, hosts, seconds, trueWeight = 7, 6, 20, 5.0
	random := rand.New(rand.NewPCG(seed, seed))
	p := &estimator.InterferenceModel{}
	capacity := &wire.Resources{Millicores: 16000}
	for tick := range seconds * 2 {
		now := time.Duration(tick) * 500 * time.Millisecond
		loadOscillation := 0.5 * math.Sin(2*math.Pi*now.Seconds()/10)
		for host := range hosts {
			noisy, quiet := random.Int64N(3)*2000, random.Int64N(3)*2000
			var samples []estimator.RunSample
			for _, image := range []string{"sensitive", "insensitive"} {
				level := math.Log(40) + loadOscillation + 0.05*random.NormFloat64()
				if image == "sensitive" {
					level += trueWeight * float64(noisy) / 16000
				}
				samples = append(samples, estimator.RunSample{
					Task:      fmt.Sprint(image, host),
					Image:     image,
					Serving:   true,
					LatencyMs: int64(math.Exp(level)),
				})
			}
			samples = append(
				samples,
				estimator.RunSample{Task: "l", Image: "noisy", Millicores: noisy},
				estimator.RunSample{Task: "q", Image: "quiet", Millicores: quiet},
			)
			p.Observe(fmt.Sprint(host), capacity, samples, now)
		}
	}
	weights := map[string]float64{}
	for _, pair := range p.Weights() {
		weights[pair.Disturbing+">"+pair.Serving] = pair.Weight
	}
	assert.Equal(t, len(weights), 4)
	assert.Assert(t, math.Abs(weights["noisy>sensitive"]-trueWeight) < 1.5, "%v", weights)
	for _, harmless := range []string{"noisy>insensitive", "quiet>sensitive", "quiet>insensitive"} {
		assert.Assert(t, weights[harmless] < 0.8, "%v", weights)
	}
}

// Guards against unobserved pairs that count as harmless, so that their tasks
// would be placed there first, and against pairs that still count as unobserved
// after enough evidence.
func TestUnobservedPairs(t *testing.T) {
	p := &estimator.InterferenceModel{}
	before := p.Weight("quiet", "sensitive")
	assert.Assert(t, before > pacer.MinWeight, "%f", before)
	for tick := range 40 {
		p.Observe("host", &wire.Resources{Millicores: 16000}, []estimator.RunSample{
			{Task: "s", Image: "sensitive", Serving: true, LatencyMs: 50},
			{Task: "q", Image: "quiet", Millicores: int64(tick % 2 * 4000)},
		}, time.Duration(tick)*500*time.Millisecond)
	}
	assert.Assert(t, p.Weight("quiet", "sensitive") < pacer.MinWeight)
	assert.Equal(t, p.Weight("other", "sensitive"), before)
}

// Guards against a measurement window that counts as often as it is reported.
func TestPressureCountsWindowsOnce(t *testing.T) {
	p := &estimator.InterferenceModel{}
	samples := []estimator.RunSample{
		{Task: "s", Image: "sensitive", Serving: true, LatencyMs: 50},
		{Task: "l", Image: "noisy", Millicores: 8000},
	}
	for range 1000 {
		p.Observe("host", &wire.Resources{Millicores: 16000}, samples, 0)
	}
	assert.Equal(t, len(p.Weights()), 0)
}

// Guards against memory that grows with each serving task that ever ran, also of
// hosts that were replaced.
func TestEndedTasksAreForgotten(t *testing.T) {
	p := &estimator.InterferenceModel{}
	capacity := &wire.Resources{Millicores: 16000}
	for run := range 100 {
		for _, host := range []string{"a", "b"} {
			p.Observe(host, capacity, []estimator.RunSample{
				{Task: fmt.Sprint(host, run), Image: "web", Serving: true, LatencyMs: 40},
				{Task: host, Image: "web", Serving: true, LatencyMs: int64(40 + run)},
			}, time.Duration(run)*time.Second)
		}
	}
	assert.Equal(t, p.Baselines(), 4)
	p.RetainHosts(func(host string) bool { return host == "a" })
	assert.Equal(t, p.Baselines(), 2)
}
