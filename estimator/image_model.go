package estimator

import (
	"math"
	"slices"
	"time"
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
	// solveInterval is the shortest time between two solutions of a model, which
	// bounds their cost.
	solveInterval = 500 * time.Millisecond
	// maxImages bounds the interfering images of a model. It ignores further ones.
	maxImages = 64
)

// imageModel is the regression for one serving image. Its rows and columns are
// the interfering images.
type imageModel struct {
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

// observe learns from the measurement of a serving task while best-effort images
// use the given shares of the host. It returns the change of the common level.
func (m *imageModel) observe(s RunSample, use map[string]float64, commonLevel float64, now time.Duration) float64 {
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
func (m *imageModel) residual(row []float64, level float64, b *baseline) float64 {
	unexplained := level - b.level
	for i := range row {
		unexplained -= m.weights[i] * (row[i] - b.use[i])
	}
	return unexplained
}

// addColumn adds an image to the model unless it is known or the model is full.
func (m *imageModel) addColumn(image string) {
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
func (m *imageModel) accumulate(row []float64, level float64, b *baseline) {
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
func (m *imageModel) solve() {
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
