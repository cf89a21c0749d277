package planner

// weightTable has the interference weights of pairs of images. A plan looks them up for
// each waiting step on each host, which Planner.Weight is too slow for.
type weightTable struct {
	weight func(interfering, serving string) float64
	// servingImages are those with an index, and indexes the index of each.
	servingImages []string
	indexes       map[string]int
	// rows has the weights of an interfering image by the index of the serving image.
	rows map[string][]float64
}

func newWeightTable(weight func(interfering, serving string) float64) *weightTable {
	return &weightTable{
		weight:  weight,
		indexes: map[string]int{},
		rows:    map[string][]float64{},
	}
}

// servingIndex returns the index of a serving image.
func (t *weightTable) servingIndex(image string) int {
	index, known := t.indexes[image]
	if !known {
		index = len(t.servingImages)
		t.indexes[image] = index
		t.servingImages = append(t.servingImages, image)
	}
	return index
}

// row returns the weights of an interfering image for all serving images that have an
// index.
func (t *weightTable) row(interfering string) []float64 {
	row := t.rows[interfering]
	if len(row) == len(t.servingImages) {
		return row
	}
	for _, serving := range t.servingImages[len(row):] {
		row = append(row, t.weight(interfering, serving))
	}
	t.rows[interfering] = row
	return row
}

// shareWeights gives all hosts of a plan one table.
func (p *Planner) shareWeights(hosts []*Host) {
	if p.Weight == nil {
		return
	}
	weights := newWeightTable(p.Weight)
	for _, host := range hosts {
		host.weights = weights
		host.interference = nil
	}
}

// weightsFor returns the table of the host, a new one if the host is not part of a plan.
func (p *Planner) weightsFor(host *Host) *weightTable {
	if host.weights == nil {
		host.weights = newWeightTable(p.Weight)
	}
	return host.weights
}
