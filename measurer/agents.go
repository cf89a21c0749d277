package measurer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// agentsPerEntry is the target size: a region has a third of the agents, spread over
// its entry processes.
const agentsPerEntry = agentsAtTarget / 3 / entriesAtTarget

// measureJoins starts many agents at the same time at one entry, as happens when
// a rack or a zone returns after an outage.
func (m *Measurer) measureJoins(ctx context.Context) error {
	for _, count := range m.sizes(100, 200, 400) {
		if err := m.measureJoinsAt(ctx, count); err != nil {
			return err
		}
	}
	return nil
}

func (m *Measurer) measureJoinsAt(ctx context.Context, count int) error {
	results := map[string][]float64{}
	for range m.Runs {
		if err := m.measureJoinsOnce(ctx, count, results); err != nil {
			return err
		}
	}
	for _, q := range []struct{ role, name, unit string }{
		{"agent", "all joined after a start at once", "ms"},
		{"log", "appends for the joins", "appends"},
		{"entry", "processor time for the joins, agents included", "ms"},
	} {
		m.addPoint(Series{
			Role:     q.role,
			Quantity: q.name,
			Unit:     q.unit,
			Axis:     "agents that join at one entry",
			Target:   agentsPerEntry,
		}, count, results[q.name])
	}
	return nil
}

func (m *Measurer) measureJoinsOnce(ctx context.Context, count int, results map[string][]float64) error {
	g := newGroup()
	err := func() error {
		platform, err := m.startLog(g)
		if err != nil {
			return err
		}
		e, err := m.startEntry(ctx, g, platform.LogURL(), "entry-1")
		if err != nil {
			return err
		}
		appends, processor, began := e.log.appends.Load(), processorTime(), time.Now()
		a, err := m.startAgents(ctx, &traffic{}, 0, count, 0, []string{e.address})
		if err != nil {
			return err
		}
		add := func(name string, value float64) { results[name] = append(results[name], value) }
		add("all joined after a start at once", milliseconds(time.Since(began)))
		add("appends for the joins", float64(e.log.appends.Load()-appends))
		add("processor time for the joins, agents included", milliseconds(processorTime()-processor))
		return a.stop()
	}()
	return errors.Join(err, g.stop())
}

// measureConfiguration measures how long a published section takes to reach every
// agent: first with rising numbers of agents at one entry, then of entries.
func (m *Measurer) measureConfiguration(ctx context.Context) error {
	for _, count := range m.sizes(100, 200, 400) {
		if err := m.measureConfigurationAt(ctx, "agents at one entry", agentsPerEntry, count, count, 1); err != nil {
			return err
		}
	}
	for _, entries := range []int{1, 2, 4} {
		if err := m.measureConfigurationAt(ctx, "entries with 200 agents", entriesAtTarget, entries, m.sizes(200)[0], entries); err != nil {
			return err
		}
	}
	return nil
}

func (m *Measurer) measureConfigurationAt(ctx context.Context, axis string, target float64, size, count, entries int) error {
	g := newGroup()
	var delays, processor []float64
	err := func() error {
		platform, err := m.startLog(g)
		if err != nil {
			return err
		}
		started, err := m.startEntries(ctx, g, platform.LogURL(), entries)
		if err != nil {
			return err
		}
		var addresses []string
		for _, e := range started {
			addresses = append(addresses, e.address)
		}
		a, err := m.startAgents(ctx, &traffic{}, 0, count, 0, addresses)
		if err != nil {
			return err
		}
		var base *wire.Position
		for range 3 * m.Runs {
			before := processorTime()
			elapsed, position, err := publishAndAwait(ctx, started[0], a, base)
			if err != nil {
				return errors.Join(err, a.stop())
			}
			base = position
			delays = append(delays, elapsed)
			processor = append(processor, milliseconds(processorTime()-before))
		}
		return a.stop()
	}()
	if err := errors.Join(err, g.stop()); err != nil {
		return err
	}
	series := Series{
		Role:     "operator's client",
		Quantity: "change in force at all agents",
		Unit:     "ms",
		Axis:     axis,
		Target:   target,
	}
	m.addPoint(series, size, delays)
	series.Role, series.Quantity = "entry", "processor time for a change, agents included"
	m.addPoint(series, size, processor)
	return nil
}

// publishAndAwait publishes a section and returns the milliseconds until all agents
// have it, and its position, which is the base of the next publication.
func publishAndAwait(ctx context.Context, e *entry, a *agents, base *wire.Position) (float64, *wire.Position, error) {
	const section = "team team-1"
	began := time.Now()
	offset, err := e.recorder.AppendRecords(ctx, []*wire.Record{newWorkload().sectionPublished(section, base)})
	if err != nil {
		return 0, nil, err
	}
	err = waitUntil(ctx, fmt.Sprintf("configuration at offset %d", offset), func() bool {
		for _, s := range a.subscribers {
			if state, ok := s.View().Section(section); !ok || state.GetPosition().GetOffset() < offset {
				return false
			}
		}
		return true
	})
	elapsed := milliseconds(time.Since(began))
	var position *wire.Position
	e.follower.View(func(state *replayer.State) {
		if current, ok := state.Section(section); ok {
			position = current.GetPosition()
		}
	})
	return elapsed, position, err
}
