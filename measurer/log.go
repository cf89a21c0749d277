package measurer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// peakStartsPerSecond is the target for task starts.
	peakStartsPerSecond = 370
	// entriesAtTarget is the number of entry processes of a region.
	entriesAtTarget = 4
	cycleInterval   = 100 * time.Millisecond
	workersInLog    = 100
)

// measureLog appends the records of tasks through recorder, log and follower:
// first at rising rates with one entry, then at the peak rate with more entries.
func (m *Measurer) measureLog(ctx context.Context) error {
	for _, rate := range []int{0, peakStartsPerSecond / 4, peakStartsPerSecond / 2, peakStartsPerSecond} {
		if err := m.measureLogAt(ctx, "task starts/s", peakStartsPerSecond, rate, 1, rate); err != nil {
			return err
		}
	}
	for _, entries := range []int{1, 2, 4, 8} {
		if err := m.measureLogAt(ctx, "entries of a region at the peak", entriesAtTarget, entries, entries, peakStartsPerSecond); err != nil {
			return err
		}
	}
	return nil
}

// logQuantities are the measured quantities of the log, with their units.
var logQuantities = []struct{ role, name, unit string }{
	{"log", "appends of all entries", "1/s"},
	{"log", "data appended by all entries", "KB/s"},
	{"log", "largest entry", "KB"},
	{"entry", "appends of one entry", "1/s"},
	{"entry", "bytes written to the log", "KB/s"},
	{"entry", "bytes read from the log", "KB/s"},
	{"entry", "processor time with its share of the log", "% of a core"},
}

func (m *Measurer) measureLogAt(ctx context.Context, axis string, target float64, size, count, rate int) error {
	g := newGroup()
	results := map[string][]float64{}
	err := m.loadLog(ctx, g, count, rate, results)
	if err := errors.Join(err, g.stop()); err != nil {
		return err
	}
	for _, q := range logQuantities {
		m.addPoint(Series{
			Role:     q.role,
			Quantity: q.name,
			Unit:     q.unit,
			Axis:     axis,
			Target:   target,
		}, size, results[q.name])
	}
	return nil
}

// loadLog starts a log and entries in a group, makes the entries append at a rate in total,
// and adds each window to the results.
func (m *Measurer) loadLog(ctx context.Context, g *group, count, rate int, results map[string][]float64) error {
	platform, err := m.startLog(g)
	if err != nil {
		return err
	}
	if err := preloadRecords(ctx, platform.LogURL(), newWorkload().stateBatches(workersInLog, 0, 0)); err != nil {
		return err
	}
	entries, err := m.startEntries(ctx, g, platform.LogURL(), count)
	if err != nil {
		return err
	}
	for i, e := range entries {
		share := rate/count + max(0, min(1, rate%count-i))
		l := &loadGenerator{
			workload:        newWorkload(),
			appender:        e.recorder,
			taskPrefix:      fmt.Sprintf("%016x", i+1),
			startsPerSecond: share,
		}
		g.tomb.Go(func() error { return l.run(g.tomb.Context(ctx)) })
	}
	if err := sleep(ctx, m.Window); err != nil {
		return err
	}
	for range m.Runs {
		if err := m.measureLogWindow(ctx, entries, results); err != nil {
			return err
		}
	}
	return nil
}

// logCounts are totals over all entries since their start.
type logCounts struct {
	appends, bytes, in, out float64
	processor               time.Duration
	at                      time.Time
}

func countLog(entries []*entry) logCounts {
	c := logCounts{
		processor: processorTime(),
		at:        time.Now(),
	}
	for _, e := range entries {
		c.appends += float64(e.log.appends.Load())
		c.bytes += float64(e.log.bytes.Load())
		c.in += float64(e.traffic.in.Load())
		c.out += float64(e.traffic.out.Load())
	}
	return c
}

// measureLogWindow measures a steady state. The processor time is that of this
// whole process, with the log and the load generators, divided by the number of
// entries.
func (m *Measurer) measureLogWindow(ctx context.Context, entries []*entry, results map[string][]float64) error {
	before := countLog(entries)
	if err := sleep(ctx, m.Window); err != nil {
		return err
	}
	after := countLog(entries)
	seconds := after.at.Sub(before.at).Seconds()
	count := float64(len(entries))
	largest := 0.0
	for _, e := range entries {
		largest = max(largest, float64(e.log.largest.Load()))
	}
	add := func(name string, value float64) { results[name] = append(results[name], value) }
	add("appends of all entries", (after.appends-before.appends)/seconds)
	add("data appended by all entries", (after.bytes-before.bytes)/seconds/1000)
	add("largest entry", largest/1000)
	add("appends of one entry", (after.appends-before.appends)/seconds/count)
	add("bytes written to the log", (after.out-before.out)/seconds/count/1000)
	add("bytes read from the log", (after.in-before.in)/seconds/count/1000)
	add("processor time with its share of the log", 100*(after.processor-before.processor).Seconds()/seconds/count)
	return nil
}

// loadGenerator appends the records of tasks at a rate, in requests like those of
// a real system: one for each submission and for each end, and one for all claims
// of a cycle. A task is claimed one cycle after its submission and ends in the next.
type loadGenerator struct {
	workload        *workload
	appender        damaskspread.Appender
	taskPrefix      string
	startsPerSecond int
	// claimWithSubmission puts a task's submission and its claim into one
	// request.
	claimWithSubmission bool
	submitted           int
	pending             []string
	running             []string
}

func (l *loadGenerator) run(ctx context.Context) error {
	ticker := time.NewTicker(cycleInterval)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		l.cycle(ctx, int(time.Since(began).Seconds()*float64(l.startsPerSecond))-l.submitted)
	}
}

// cycle ends the running tasks, claims the pending ones and submits count more.
func (l *loadGenerator) cycle(ctx context.Context, count int) {
	for i, task := range l.running {
		l.append(ctx, l.workload.taskFinished(task, i%workersInLog))
	}
	var claims []*wire.Record
	for i, task := range l.pending {
		claims = append(claims, l.workload.taskClaimed(task, i%workersInLog))
	}
	if len(claims) > 0 && !l.claimWithSubmission {
		l.append(ctx, claims...)
	}
	l.running, l.pending = l.pending, nil
	for i := range count {
		l.submitted++
		task := fmt.Sprintf("%s%016x", l.taskPrefix, l.submitted)
		records := []*wire.Record{l.workload.taskSubmitted(task)}
		if l.claimWithSubmission {
			records = append(records, l.workload.taskClaimed(task, i%workersInLog))
		}
		l.append(ctx, records...)
		l.pending = append(l.pending, task)
	}
}

// append does not wait for the response, because in a real system many callers and
// agents append at the same time.
func (l *loadGenerator) append(ctx context.Context, records ...*wire.Record) {
	go func() { _, _ = l.appender.AppendRecords(ctx, records) }()
}
