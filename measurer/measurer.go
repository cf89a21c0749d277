// Package measurer measures what each role costs at several sizes and fits a
// line to the medians, from which docs/CAPACITY.md derives the target size.
//
// A Measurer runs the real packages in one process over loopback: replayed
// state, follower and recorder against the emulated log, feeder and
// subscribers, router and deduplicator. With a binary it also starts one real
// entry and three real agents and reads their processor time and memory. It
// owns the processes and goroutines it starts and ends them before it returns.
// Steps run one after another, so that one step's load does not distort
// another's.
//
// Open question: all parties share one machine, so waiting times include the
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

// Point is a quantity at one size, over several runs.
type Point struct {
	Size   float64 `json:"size"`
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
	Runs   int     `json:"runs"`
}

// Series is a quantity over sizes, with the line through its medians.
type Series struct {
	Role     string  `json:"role"`
	Quantity string  `json:"quantity"`
	Unit     string  `json:"unit"`
	Axis     string  `json:"axis"`
	Points   []Point `json:"points"`
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	// Target is the size that the line is extended to.
	Target   float64 `json:"target"`
	AtTarget float64 `json:"at_target"`
}

// Report is what a run measured.
type Report struct {
	Machine string `json:"machine"`
	// Load is the machine's load average before and after; work of others on
	// the machine lengthens times and inflates processor time.
	Load   [2]string `json:"load"`
	Series []Series  `json:"series"`
}

// Measurer measures. Set the exported fields before Run.
type Measurer struct {
	// Binary is the built damaskspread command; without it the steps with real
	// processes are left out.
	Binary string
	// Only names the steps to run; empty runs all.
	Only []string
	// Runs is the number of runs at each size.
	Runs int
	// Divisor shrinks all sizes, for tests; 0 and 1 measure the full sizes.
	Divisor int
	// Window is how long a steady state is observed.
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

// Run measures everything and returns the report.
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
		steps = append(steps, step{name: "daemons", run: m.measureDaemons})
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

// sizes shrinks sizes by the divisor.
func (m *Measurer) sizes(full ...int) []int {
	var sizes []int
	for _, size := range full {
		sizes = append(sizes, max(size/m.Divisor, 1))
	}
	return sizes
}

// observe adds the runs at one size to a series.
func (m *Measurer) observe(key Series, size int, runs []float64) {
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

// fit sets the least-squares line through the medians.
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

// Fit returns the line through points and its value at a target.
func Fit(points []Point, target float64) (base, slope, atTarget float64) {
	s := (&Series{
		Points: points,
		Target: target,
	}).fit()
	return s.Base, s.Slope, s.AtTarget
}

// processorTime is what this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// loadAverage is the load of the last minute, empty if it is unknown.
func loadAverage() string {
	data, _ := os.ReadFile("/proc/loadavg")
	load, _, _ := strings.Cut(string(data), " ")
	return load
}

// heapBytes is the memory in use after a collection, with stacks.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// elapsed returns the milliseconds that f took.
func elapsed(f func()) float64 {
	began := time.Now()
	f()
	return milliseconds(time.Since(began))
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// sleep waits unless the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// eventually polls a condition.
func eventually(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for !condition() {
		if err := sleep(ctx, time.Millisecond); err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
	}
	return nil
}

// group runs goroutines that end together.
type group struct {
	tomb tomb.Tomb
}

func newGroup() *group {
	g := &group{}
	// The tomb stays open until stop, also while nothing else runs.
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
