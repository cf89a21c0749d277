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
	peakStarts = 370
	// entriesAtTarget is the number of entry processes of a region.
	entriesAtTarget = 4
	loadTick        = 100 * time.Millisecond
	logHosts        = 100
)

// measureLog runs task lifecycles through recorder, log and follower: first at
// rising rates with one entry, then at the peak with more entries.
func (m *Measurer) measureLog(ctx context.Context) error {
	for _, rate := range []int{0, peakStarts / 4, peakStarts / 2, peakStarts} {
		if err := m.logOf(ctx, "task starts/s", peakStarts, rate, 1, rate); err != nil {
			return err
		}
	}
	for _, entries := range []int{1, 2, 4, 8} {
		if err := m.logOf(ctx, "entries of a region at the peak", entriesAtTarget, entries, entries, peakStarts); err != nil {
			return err
		}
	}
	return nil
}

func (m *Measurer) logOf(ctx context.Context, axis string, target float64, size, count, rate int) error {
	g := newGroup()
	results := map[string][]float64{}
	err := func() error {
		platform, err := m.startLog(g)
		if err != nil {
			return err
		}
		if err := preload(ctx, platform.LogURL(), newWorkload().history(logHosts, 0, 0)); err != nil {
			return err
		}
		entries, err := m.startEntries(ctx, g, platform.LogURL(), count)
		if err != nil {
			return err
		}
		for i, e := range entries {
			share := rate/count + max(0, min(1, rate%count-i))
			l := &lifecycles{
				workload: newWorkload(),
				appender: e.recorder,
				prefix:   fmt.Sprintf("%016x", i+1),
				rate:     share,
			}
			g.tomb.Go(func() error { return l.run(g.tomb.Context(ctx)) })
		}
		if err := sleep(ctx, m.Window); err != nil {
			return err
		}
		for range m.Runs {
			if err := m.logWindow(ctx, entries, results); err != nil {
				return err
			}
		}
		return nil
	}()
	if err := errors.Join(err, g.stop()); err != nil {
		return err
	}
	for _, q := range []struct{ role, name, unit string }{
		{"log", "appends of all entries", "1/s"},
		{"log", "data appended by all entries", "KB/s"},
		{"log", "largest entry", "KB"},
		{"entry", "appends of one entry", "1/s"},
		{"entry", "bytes written to the log", "KB/s"},
		{"entry", "bytes read from the log", "KB/s"},
		{"entry", "processor time with its share of the log", "% of a core"},
	} {
		m.observe(Series{
			Role:     q.role,
			Quantity: q.name,
			Unit:     q.unit,
			Axis:     axis,
			Target:   target,
		}, size, results[q.name])
	}
	return nil
}

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

// logWindow observes a steady state. The processor time is that of the whole
// process, log and load included, divided by the entries.
func (m *Measurer) logWindow(ctx context.Context, entries []*entry, results map[string][]float64) error {
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

// lifecycles appends the records of tasks at a rate, as the parties do: each
// submission and each end by itself, the claims of a planner's round together.
// A task is claimed one round after its submission and ends one round later.
type lifecycles struct {
	workload *workload
	appender damaskspread.Appender
	prefix   string
	rate     int
	// claimed puts a task's submission and claim into one request.
	claimed bool
	next    int
	waiting []string
	running []string
}

func (l *lifecycles) run(ctx context.Context) error {
	ticker := time.NewTicker(loadTick)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		l.round(ctx, int(time.Since(began).Seconds()*float64(l.rate))-l.next)
	}
}

func (l *lifecycles) round(ctx context.Context, count int) {
	for i, task := range l.running {
		l.append(ctx, l.workload.finished(task, i%logHosts))
	}
	var claims []*wire.Record
	for i, task := range l.waiting {
		claims = append(claims, l.workload.claimed(task, i%logHosts))
	}
	if len(claims) > 0 && !l.claimed {
		l.append(ctx, claims...)
	}
	l.running, l.waiting = l.waiting, nil
	for i := range count {
		l.next++
		task := fmt.Sprintf("%s%016x", l.prefix, l.next)
		records := []*wire.Record{l.workload.submitted(task)}
		if l.claimed {
			records = append(records, l.workload.claimed(task, i%logHosts))
		}
		l.append(ctx, records...)
		l.waiting = append(l.waiting, task)
	}
}

// append does not wait: the callers and agents of a real system are many.
func (l *lifecycles) append(ctx context.Context, records ...*wire.Record) {
	go func() { _, _ = l.appender.AppendRecords(ctx, records) }()
}
