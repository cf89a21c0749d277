// Package measurer measures the resource use and the latencies of each role (log,
// entry, agent, operator's client) at several sizes. Through the medians it fits a
// line, which docs/CAPACITY.md extends to the target size. It measures for capacity
// planning only; package monitor serves the metrics of a process in operation.
//
// A Measurer runs the packages of the roles in its own process over loopback:
// replayed state, follower and recorder against the emulated log, feeder and
// subscribers, router and deduplicator. With a binary it also starts one real
// entry process and three real agent processes and reads their processor time and
// memory. It owns the processes and goroutines that it starts and stops them
// before it returns. Steps run one after another, so that the load of one does not
// distort another.
//
// Known limitation: everything runs on one machine, so waiting times include the
// load of the log and of the emulated agents.
package measurer

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
)

// Point summarizes the runs at one size.
type Point struct {
	Size   float64 `json:"size"`
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
	Runs   int     `json:"runs"`
}

// Series is one quantity measured at several sizes along Axis, with the line
// fitted to the medians: Base + Slope * size, in Unit.
type Series struct {
	Role     string  `json:"role"`
	Quantity string  `json:"quantity"`
	Unit     string  `json:"unit"`
	Axis     string  `json:"axis"`
	Points   []Point `json:"points"`
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	// Target is the size that the line is extended to; AtTarget is its value there.
	Target   float64 `json:"target"`
	AtTarget float64 `json:"at_target"`
}

// Report is the result of Measurer.Run.
type Report struct {
	Machine string `json:"machine"`
	// Load is the load average of the machine before and after the run. Other
	// work on the machine raises latencies and processor time.
	Load   [2]string `json:"load"`
	Series []Series  `json:"series"`
}

// Measurer runs the measurements. Set the exported fields before Run, and call Run
// once.
type Measurer struct {
	// Binary is the built damaskspread command; without it the steps with real
	// processes are skipped.
	Binary string
	// Only names the steps to run; empty runs all.
	Only []string
	// Runs is the number of runs at each size, at least 1.
	Runs int
	// Divisor divides all sizes, for short runs; 0 and 1 measure the full sizes.
	Divisor int
	// Window is how long a steady state is measured in each run.
	Window time.Duration
	// Progress is called before each step; it may be nil.
	Progress func(step string)

	clock  clockwork.Clock
	series []*Series
}

type step struct {
	name string
	run  func(context.Context) error
}

// Run runs the selected steps. It stops at the first error, and returns no report
// then.
func (m *Measurer) Run(ctx context.Context) (*Report, error) {
	m.clock = clockwork.NewRealClock()
	m.Runs = max(m.Runs, 1)
	m.Divisor = max(m.Divisor, 1)
	steps := []step{
		{name: "state", run: m.measureState},
		{name: "replay", run: m.measureReplay},
		{name: "requests", run: m.measureRequests},
		{name: "log", run: m.measureLog},
		{name: "joins", run: m.measureJoins},
		{name: "configuration", run: m.measureConfiguration},
	}
	if m.Binary != "" {
		steps = append(steps, step{name: "daemons", run: m.measureProcesses})
	}
	load := loadAverage()
	for _, s := range steps {
		if len(m.Only) > 0 && !slices.Contains(m.Only, s.name) {
			continue
		}
		if m.Progress != nil {
			m.Progress(s.name)
		}
		if err := s.run(ctx); err != nil {
			return nil, fmt.Errorf("%s: %w", s.name, err)
		}
		runtime.GC()
	}
	report := &Report{
		Machine: fmt.Sprintf("%d processors, %s, %s/%s", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH),
		Load:    [2]string{load, loadAverage()},
	}
	for _, s := range m.series {
		report.Series = append(report.Series, *s.fit())
	}
	return report, nil
}

// sizes divides sizes by the divisor; each stays at least 1.
func (m *Measurer) sizes(full ...int) []int {
	var sizes []int
	for _, size := range full {
		sizes = append(sizes, max(size/m.Divisor, 1))
	}
	return sizes
}

// addPoint adds the runs at one size to the series with the role, quantity and
// axis of key, which it creates if there is none.
func (m *Measurer) addPoint(key Series, size int, runs []float64) {
	if len(runs) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(runs))
	point := Point{
		Size:   float64(size),
		Min:    sorted[0],
		Median: sorted[len(sorted)/2],
		Max:    sorted[len(sorted)-1],
		Runs:   len(sorted),
	}
	for _, s := range m.series {
		if s.Role == key.Role && s.Quantity == key.Quantity && s.Axis == key.Axis {
			s.Points = append(s.Points, point)
			return
		}
	}
	key.Points = []Point{point}
	m.series = append(m.series, &key)
}

// fit sets Base, Slope and AtTarget by least squares over the medians.
func (s *Series) fit() *Series {
	n, sumX, sumY, sumXX, sumXY := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, p := range s.Points {
		n++
		sumX += p.Size
		sumY += p.Median
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Median
	}
	if spread := n*sumXX - sumX*sumX; spread != 0 {
		s.Slope = (n*sumXY - sumX*sumY) / spread
	}
	s.Base = (sumY - s.Slope*sumX) / n
	s.AtTarget = s.Base + s.Slope*s.Target
	return s
}

// Fit returns the least-squares line through the medians of points and its value
// at target. With a single size the slope is 0.
func Fit(points []Point, target float64) (base, slope, atTarget float64) {
	s := (&Series{
		Points: points,
		Target: target,
	}).fit()
	return s.Base, s.Slope, s.AtTarget
}

// processorTime returns the processor time of this process, user and system.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// loadAverage returns the one-minute load average, empty if it is unknown.
func loadAverage() string {
	data, _ := os.ReadFile("/proc/loadavg")
	load, _, _ := strings.Cut(string(data), " ")
	return load
}

// memoryInUse returns the bytes of heap and stacks in use after garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// elapsedMs returns the milliseconds that f took.
func elapsedMs(f func()) float64 {
	began := time.Now()
	f()
	return milliseconds(time.Since(began))
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// sleep returns early, with an error, if the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitUntil polls a condition for up to a minute.
func waitUntil(ctx context.Context, description string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for !condition() {
		if err := sleep(ctx, time.Millisecond); err != nil {
			return fmt.Errorf("wait for %s: %w", description, err)
		}
	}
	return nil
}

// group is a set of goroutines that are stopped together.
type group struct {
	tomb tomb.Tomb
}

func newGroup() *group {
	g := &group{}
	// A tomb dies when its last goroutine returns; this one keeps it alive until
	// stop.
	g.tomb.Go(func() error {
		<-g.tomb.Dying()
		return nil
	})
	return g
}

func (g *group) run(f func(*tomb.Tomb) error) {
	g.tomb.Go(func() error { return f(&g.tomb) })
}

func (g *group) stop() error {
	g.tomb.Kill(nil)
	return g.tomb.Wait()
}
