package estimator

import (
	"math"
	"slices"
	"sync"
	"time"

	"damaskspread.example/damaskspread/wire"
)

const (
	// baselineShare is the weight of a new sample in the baseline of a serving
	// task. The baseline follows the task's own load, which changes over tens of
	// seconds.
	baselineShare = 0.1
	// commonShare is the weight of a residual in commonLevel. Residuals are clamped
	// to lowestResidual and highestResidual, because larger ones come from
	// interference and not from the load that all serving tasks share.
	commonShare     = 0.02
	lowestResidual  = -0.5
	highestResidual = 0.25
	// ridge is the regularization term. It keeps the weights of pairs with few
	// observations near zero.
	ridge = 0.01
	// The weight of a pair counts as known once the squares of the changes of
	// processor use, as shares of the host, add up to minEvidence.
	minEvidence = 0.05
	// unobservedWeight is the weight that is assumed for a pair before it was
	// observed.
	unobservedWeight = 2.0
	// solveInterval is the shortest time between two solutions of a model, which
	// bounds their cost.
	solveInterval = 500 * time.Millisecond
	// maxImages bounds the interfering images of a model. It ignores further ones.
	maxImages = 64
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
	models map[string]*pressureModel
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

// pressureModel is the regression for one serving image. Its rows and columns are
// the interfering images.
type pressureModel struct {
	// index has the column of each image, images the image of each column.
	index  map[string]int
	images []string
	// useProducts sums the products of the changes of two images' processor use,
	// and latencyProducts those of the change of an image's use and the change of
	// the logarithm of the latency.
	useProducts     [][]float64
	latencyProducts []float64
	weights         []float64
	// Baselines by serving task.
	baselines map[string]*baseline
	solvedAt  time.Duration
}

// baseline is the moving average of a serving task's measurements: the logarithm
// of its latency and the processor use of each interfering image. Changes are
// differences from it.
type baseline struct {
	level float64
	use   []float64
}

// Observe learns from the measurements of one host. Samples that equal the host's
// previous ones are from the same measurement window and count once. It keeps the
// slice of samples. now is a reading of a monotonic clock.
func (p *InterferenceModel) Observe(host string, capacity *wire.Resources, samples []RunSample, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.models == nil {
		p.models = map[string]*pressureModel{}
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

func (p *InterferenceModel) modelOrNew(serving string) *pressureModel {
	m := p.models[serving]
	if m == nil {
		m = &pressureModel{
			index:     map[string]int{},
			baselines: map[string]*baseline{},
		}
		p.models[serving] = m
	}
	return m
}

// observe learns from the measurement of a serving task while best-effort images
// use the given shares of the host. It returns the change of the common level.
func (m *pressureModel) observe(s RunSample, use map[string]float64, commonLevel float64, now time.Duration) float64 {
	for image := range use {
		m.addColumn(image)
	}
	row := make([]float64, len(m.images))
	for image, share := range use {
		if i, known := m.index[image]; known {
			row[i] = share
		}
	}
	level := math.Log(float64(s.LatencyMs)) - commonLevel
	b := m.baselines[s.Task]
	if b == nil {
		m.baselines[s.Task] = &baseline{
			level: level,
			use:   row,
		}
		return 0
	}
	b.grow(len(row))
	m.accumulate(row, level, b)
	change := commonShare * min(max(m.residual(row, level, b), lowestResidual), highestResidual)
	b.follow(row, level)
	if now-m.solvedAt >= solveInterval {
		m.solvedAt = now
		m.solve()
	}
	return change
}

// residual returns the part of level, a logarithm of a latency, that the baseline
// and the weights don't explain.
func (m *pressureModel) residual(row []float64, level float64, b *baseline) float64 {
	unexplained := level - b.level
	for i := range row {
		unexplained -= m.weights[i] * (row[i] - b.use[i])
	}
	return unexplained
}

// addColumn adds an image to the model unless it is known or the model is full.
func (m *pressureModel) addColumn(image string) {
	if _, known := m.index[image]; known || len(m.images) == maxImages {
		return
	}
	m.index[image] = len(m.images)
	m.images = append(m.images, image)
	for i := range m.useProducts {
		m.useProducts[i] = append(m.useProducts[i], 0)
	}
	m.useProducts = append(m.useProducts, make([]float64, len(m.images)))
	m.latencyProducts = append(m.latencyProducts, 0)
	m.weights = append(m.weights, 0)
}

// accumulate adds the changes from the baseline to the sums of the regression.
func (m *pressureModel) accumulate(row []float64, level float64, b *baseline) {
	delta := level - b.level
	for i := range row {
		x := row[i] - b.use[i]
		if x == 0 {
			continue
		}
		m.latencyProducts[i] += x * delta
		for j := range row {
			m.useProducts[i][j] += x * (row[j] - b.use[j])
		}
	}
}

// grow adds images that the model learned of after the baseline was made.
func (b *baseline) grow(size int) {
	for len(b.use) < size {
		b.use = append(b.use, 0)
	}
}

// follow moves the baseline toward a measurement.
func (b *baseline) follow(row []float64, level float64) {
	b.level += baselineShare * (level - b.level)
	for i := range row {
		b.use[i] += baselineShare * (row[i] - b.use[i])
	}
}

// solve computes the weights by Gauss-Jordan elimination. Negative weights become
// 0.
func (m *pressureModel) solve() {
	n := len(m.images)
	matrix := make([][]float64, n)
	for i := range matrix {
		matrix[i] = append(slices.Clone(m.useProducts[i]), m.latencyProducts[i])
		matrix[i][i] += ridge
	}
	for column := range n {
		eliminate(matrix, column)
	}
	for i := range n {
		m.weights[i] = max(0, matrix[i][n]/matrix[i][i])
	}
}

// eliminate clears a column in all rows but the one of the same index. The ridge
// term makes the matrix positive definite, so the diagonal is never zero.
func eliminate(matrix [][]float64, column int) {
	for row := range matrix {
		if row == column {
			continue
		}
		factor := matrix[row][column] / matrix[column][column]
		if factor == 0 {
			continue
		}
		for k := column; k < len(matrix[row]); k++ {
			matrix[row][k] -= factor * matrix[column][k]
		}
	}
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
