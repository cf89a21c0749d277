package measurer

import (
	"context"
	"runtime"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// agentsAtTarget is one agent per worker and one per endpoint.
	agentsAtTarget   = 3_100 + 7_400
	sectionsAtTarget = 1_000
	mebibyte         = 1 << 20
	// workersAtTarget is the number of workers that the tasks are claimed for.
	workersAtTarget = 3_100
)

// measureState measures replay, snapshots and memory of states of several sizes.
func (m *Measurer) measureState(ctx context.Context) error {
	for _, hosts := range m.sizes(agentsAtTarget/4, agentsAtTarget/2, agentsAtTarget) {
		if err := m.measureStateAt(ctx, "agents", agentsAtTarget, hosts, hosts, 0, 0); err != nil {
			return err
		}
	}
	for _, tasks := range m.sizes(tasksAtTarget/4, tasksAtTarget/2, tasksAtTarget) {
		if err := m.measureStateAt(ctx, "tasks known", tasksAtTarget, tasks, workersAtTarget/m.Divisor, tasks, 0); err != nil {
			return err
		}
	}
	for _, sections := range m.sizes(sectionsAtTarget/2, sectionsAtTarget, 2*sectionsAtTarget) {
		if err := m.measureStateAt(ctx, "sections", sectionsAtTarget, sections, 0, 0, sections); err != nil {
			return err
		}
	}
	return nil
}

func (m *Measurer) measureStateAt(ctx context.Context, axis string, target float64, size, hosts, tasks, sections int) error {
	batches := newWorkload().stateBatches(hosts, tasks, sections)
	results := map[string][]float64{}
	for range m.Runs {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := measureStateOnce(batches, results); err != nil {
			return err
		}
	}
	for _, quantity := range []struct{ name, unit string }{
		{"state in memory", "MiB"},
		{"replay of its records", "ms"},
		{"copy for a snapshot", "ms"},
		{"encoding of a snapshot", "ms"},
		{"decoding and restoring", "ms"},
		{"snapshot uncompressed", "MiB"},
		{"snapshot in the log", "MiB"},
		{"snapshot appends", "appends"},
	} {
		m.addPoint(Series{
			Role:     "entry",
			Quantity: quantity.name,
			Unit:     quantity.unit,
			Axis:     axis,
			Target:   target,
		}, size, results[quantity.name])
	}
	return nil
}

// measureStateOnce adds the measured values of one run to results by quantity.
func measureStateOnce(batches []*wire.RecordBatch, results map[string][]float64) error {
	add := func(name string, value float64) { results[name] = append(results[name], value) }
	var state *replayer.State
	before := memoryInUse()
	add("replay of its records", elapsedMs(func() { state = replay(batches) }))
	add("state in memory", (memoryInUse()-before)/mebibyte)
	var snapshot *wire.Snapshot
	add("copy for a snapshot", elapsedMs(func() { snapshot = state.Snapshot() }))
	add("snapshot uncompressed", float64(proto.Size(snapshot))/mebibyte)
	var chunks []*wire.SnapshotChunk
	var err error
	add("encoding of a snapshot", elapsedMs(func() { chunks, err = follower.Chunks("measured", snapshot) }))
	if err != nil {
		return err
	}
	bytes := 0
	for _, chunk := range chunks {
		bytes += proto.Size(chunk)
	}
	add("snapshot in the log", float64(bytes)/mebibyte)
	add("snapshot appends", float64(len(chunks)))
	entries, err := logEntries(chunks)
	if err != nil {
		return err
	}
	add("decoding and restoring", elapsedMs(func() {
		assembler := &follower.Assembler{}
		for _, entry := range entries {
			if whole, _ := assembler.Add(entry); whole != nil {
				state = replayer.Restore(whole)
			}
		}
	}))
	runtime.KeepAlive(state)
	return nil
}

func logEntries(chunks []*wire.SnapshotChunk) ([]*wire.LogEntry, error) {
	var entries []*wire.LogEntry
	for i, chunk := range chunks {
		data, err := proto.Marshal(chunk)
		if err != nil {
			return nil, err
		}
		entries = append(entries, &wire.LogEntry{
			Offset: int64(i),
			Data:   data,
		})
	}
	return entries, nil
}
