package estimator

import (
	"math"
	"slices"
	"sync"
	"time"

	"damaskspread.example/damaskspread/wire"
)

const (
	// baselineShare is the weight of a new sample in a serving task's
	// baseline; its own load changes over tens of seconds.
	baselineShare = 0.1
	// commonShare is the weight of a residual in the common level; residuals
	// beyond the bounds are disturbances.
	commonShare     = 0.02
	lowestResidual  = -0.5
	highestResidual = 0.25
	// ridge keeps pairs that were hardly observed near zero.
	ridge = 0.01
	// evidence is the sum of squared changes of processor use, as a share of
	// the host, from which a pair counts as known.
	evidence = 0.05
	// unobservedWeight is the effect that a pair is taken to have before it was
	// observed.
	unobservedWeight = 2.0
	// solveInterval bounds the cost of solving.
	solveInterval = 500 * time.Millisecond
	// maxImages bounds the images that a model tells apart.
	maxImages = 64
)

// RunSample is one measurement of a run.
type RunSample struct {
	Task  string
	Image string
	// Serving tasks have a latency, the others use idle processors.
	Serving    bool
	LatencyMs  int64
	Millicores int64
}

// Pressure learns how much tasks of one image disturb serving tasks of
// another. Disturbance multiplies the latency of a serving task, so the model
// works with its logarithm.
//
// The effect differs by pair of images. The model of a serving image is a
// ridge regression of changes of the logarithm on changes of processor use.
type Pressure struct {
	mu     sync.Mutex
	models map[string]*pressureModel
	last   map[string][]RunSample
	// common follows the load that all serving tasks share over the day.
	common float64
}

// PairWeight is what one host's worth of processors, used by the disturbing
// image, adds to the logarithm of the serving image's latency.
type PairWeight struct {
	Disturbing, Serving string
	Weight              float64
}

type pressureModel struct {
	index     map[string]int
	images    []string
	squares   [][]float64
	products  []float64
	weights   []float64
	baselines map[string]*baseline
	solvedAt  time.Duration
}

type baseline struct {
	level float64
	use   []float64
}

// Observe takes the measurements of one host. Measurements that repeat the
// host's previous ones are the same window and count once.
func (p *Pressure) Observe(host string, capacity *wire.Resources, samples []RunSample, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.models == nil {
		p.models = map[string]*pressureModel{}
		p.last = map[string][]RunSample{}
	}
	if capacity.GetMillicores() <= 0 || slices.Equal(p.last[host], samples) {
		return
	}
	p.last[host] = samples
	use := map[string]float64{}
	for _, s := range samples {
		if !s.Serving {
			use[s.Image] += float64(s.Millicores) / float64(capacity.GetMillicores())
		}
	}
	for _, s := range samples {
		if s.Serving && s.LatencyMs > 0 {
			p.common += p.model(s.Image).observe(s, use, p.common, now)
		}
	}
}

func (p *Pressure) model(serving string) *pressureModel {
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

// observe takes one measurement and returns the change of the common level.
func (m *pressureModel) observe(s RunSample, use map[string]float64, common float64, now time.Duration) float64 {
	for image := range use {
		m.column(image)
	}
	row := make([]float64, len(m.images))
	for image, share := range use {
		if i, known := m.index[image]; known {
			row[i] = share
		}
	}
	level := math.Log(float64(s.LatencyMs)) - common
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

// residual is what the baseline and the known effects leave unexplained.
func (m *pressureModel) residual(row []float64, level float64, b *baseline) float64 {
	left := level - b.level
	for i := range row {
		left -= m.weights[i] * (row[i] - b.use[i])
	}
	return left
}

func (m *pressureModel) column(image string) {
	if _, known := m.index[image]; known || len(m.images) == maxImages {
		return
	}
	m.index[image] = len(m.images)
	m.images = append(m.images, image)
	for i := range m.squares {
		m.squares[i] = append(m.squares[i], 0)
	}
	m.squares = append(m.squares, make([]float64, len(m.images)))
	m.products = append(m.products, 0)
	m.weights = append(m.weights, 0)
}

func (m *pressureModel) accumulate(row []float64, level float64, b *baseline) {
	delta := level - b.level
	for i := range row {
		x := row[i] - b.use[i]
		if x == 0 {
			continue
		}
		m.products[i] += x * delta
		for j := range row {
			m.squares[i][j] += x * (row[j] - b.use[j])
		}
	}
}

func (b *baseline) grow(size int) {
	for len(b.use) < size {
		b.use = append(b.use, 0)
	}
}

func (b *baseline) follow(row []float64, level float64) {
	b.level += baselineShare * (level - b.level)
	for i := range row {
		b.use[i] += baselineShare * (row[i] - b.use[i])
	}
}

// solve computes the weights by Gaussian elimination.
func (m *pressureModel) solve() {
	n := len(m.images)
	matrix := make([][]float64, n)
	for i := range matrix {
		matrix[i] = append(slices.Clone(m.squares[i]), m.products[i])
		matrix[i][i] += ridge
	}
	for column := range n {
		eliminate(matrix, column)
	}
	for i := range n {
		m.weights[i] = max(0, matrix[i][n]/matrix[i][i])
	}
}

// eliminate clears a column in all other rows. The matrix is positive definite
// by its ridge, so the diagonal is never zero.
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

// Weight is the effect of a disturbing image on a serving one. Without evidence
// a pair counts as one that disturbs.
func (p *Pressure) Weight(disturbing, serving string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[serving]
	if m == nil {
		return unobservedWeight
	}
	i, known := m.index[disturbing]
	if !known {
		return unobservedWeight
	}
	doubt := max(0, 1-m.squares[i][i]/evidence)
	return max(doubt*unobservedWeight, m.weights[i])
}

// Weights are the effects of the pairs that were observed enough to tell.
func (p *Pressure) Weights() []PairWeight {
	p.mu.Lock()
	defer p.mu.Unlock()
	var pairs []PairWeight
	for serving, m := range p.models {
		for i, image := range m.images {
			if m.squares[i][i] < evidence {
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
