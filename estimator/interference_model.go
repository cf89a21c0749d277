package estimator

import (
	"slices"
	"sync"
	"time"

	"damaskspread.example/damaskspread/wire"
)

const (
	// The weight of a pair counts as known once the squares of the changes of
	// processor use, as shares of the host, add up to minEvidence.
	minEvidence = 0.05
	// unobservedWeight is the weight that is assumed for a pair before it was
	// observed.
	unobservedWeight = 2.0
)

// RunSample is one measurement of a run.
type RunSample struct {
	Task  string
	Image string
	// Serving tells serving tasks, which have LatencyMs, from best-effort tasks,
	// which have Millicores: their processor use.
	Serving    bool
	LatencyMs  int64
	Millicores int64
}

// InterferenceModel learns how much best-effort tasks of one image interfere with
// serving tasks of another. Interference multiplies the latency of a serving task,
// so the model works with the logarithm of the latency.
//
// The effect differs by pair of images. The model of a serving image is a ridge
// regression of the changes of this logarithm on the changes of the processor use
// of each best-effort image.
//
// The zero value is ready to use. InterferenceModel is safe for concurrent use.
type InterferenceModel struct {
	mu sync.Mutex
	// Models by serving image.
	models map[string]*imageModel
	// The latest samples by host.
	last map[string][]RunSample
	// commonLevel is the part of the logarithm of the latency that all serving
	// tasks share. It follows their load over the day.
	commonLevel float64
}

// PairWeight is the interference weight of a pair of images: what one host's
// worth of processors, used by the interfering image, adds to the logarithm of
// the serving image's latency.
type PairWeight struct {
	Disturbing, Serving string
	Weight              float64
}

// Observe learns from the measurements of one host. Samples that equal the host's
// previous ones are from the same measurement window and count once. It keeps the
// slice of samples. now is a reading of a monotonic clock.
func (p *InterferenceModel) Observe(host string, capacity *wire.Resources, samples []RunSample, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.models == nil {
		p.models = map[string]*imageModel{}
		p.last = map[string][]RunSample{}
	}
	if capacity.GetMillicores() <= 0 || slices.Equal(p.last[host], samples) {
		return
	}
	p.forgetEnded(p.last[host], samples)
	p.last[host] = samples
	use := map[string]float64{}
	for _, s := range samples {
		if !s.Serving {
			use[s.Image] += float64(s.Millicores) / float64(capacity.GetMillicores())
		}
	}
	for _, s := range samples {
		if s.Serving && s.LatencyMs > 0 {
			p.commonLevel += p.modelOrNew(s.Image).observe(s, use, p.commonLevel, now)
		}
	}
}

// forgetEnded drops the baselines of serving tasks that a host no longer runs.
func (p *InterferenceModel) forgetEnded(before, now []RunSample) {
	for _, s := range before {
		if !s.Serving || slices.ContainsFunc(now, func(other RunSample) bool { return other.Task == s.Task }) {
			continue
		}
		if m := p.models[s.Image]; m != nil {
			delete(m.baselines, s.Task)
		}
	}
}

// RetainHosts forgets the hosts for which present returns false, with the
// baselines of their serving tasks.
func (p *InterferenceModel) RetainHosts(present func(host string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for host, samples := range p.last {
		if !present(host) {
			p.forgetEnded(samples, nil)
			delete(p.last, host)
		}
	}
}

// Baselines returns the number of serving tasks that the model remembers.
func (p *InterferenceModel) Baselines() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, m := range p.models {
		count += len(m.baselines)
	}
	return count
}

func (p *InterferenceModel) modelOrNew(serving string) *imageModel {
	m := p.models[serving]
	if m == nil {
		m = &imageModel{
			index:     map[string]int{},
			baselines: map[string]*baseline{},
		}
		p.models[serving] = m
	}
	return m
}

// Weight returns the interference weight of a pair of images. A pair without
// enough evidence counts as interfering: its weight is at least unobservedWeight
// times the share of minEvidence that is missing.
func (p *InterferenceModel) Weight(interfering, serving string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[serving]
	if m == nil {
		return unobservedWeight
	}
	i, known := m.index[interfering]
	if !known {
		return unobservedWeight
	}
	uncertainty := max(0, 1-m.useProducts[i][i]/minEvidence)
	return max(uncertainty*unobservedWeight, m.weights[i])
}

// Weights returns the weights of the pairs with enough evidence, in no particular
// order.
func (p *InterferenceModel) Weights() []PairWeight {
	p.mu.Lock()
	defer p.mu.Unlock()
	var pairs []PairWeight
	for serving, m := range p.models {
		for i, image := range m.images {
			if m.useProducts[i][i] < minEvidence {
				continue
			}
			pairs = append(pairs, PairWeight{
				Disturbing: image,
				Serving:    serving,
				Weight:     m.weights[i],
			})
		}
	}
	return pairs
}
