package measurer

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/recorder"
	"damaskspread.example/damaskspread/wire"
)

const (
	// otherEntry is an entry process that exists only as records in the log. The
	// agents of the region that are not measured are attached to it.
	otherEntry         = "entry-2"
	otherAliveInterval = 2 * time.Second
	realAgentCount     = 3
)

// deployment is one real entry process on an emulated log, the real agents that a
// step starts, and the records of an entry process that exists only in the log.
type deployment struct {
	measurer   *Measurer
	group      *group
	dir        string
	platform   *emulator.Platform
	log        *connector.Log
	entry      *process
	logTraffic *traffic
	address    string
	processes  []*process
}

func (m *Measurer) deploy(ctx context.Context, dir string) (*deployment, error) {
	d := &deployment{
		measurer: m,
		group:    newGroup(),
		dir:      dir,
	}
	var workers []emulator.Worker
	for i := range realAgentCount {
		workers = append(workers, emulator.Worker{
			Host:    fmt.Sprintf("real-%d", i),
			Address: loopback,
			Capacity: &wire.Resources{
				Millicores:  16_000,
				MemoryBytes: 60 * gibibyte,
			},
		})
	}
	var err error
	if d.platform, err = m.startLog(d.group, workers...); err != nil {
		return nil, err
	}
	d.log = &connector.Log{
		Address: d.platform.LogURL(),
	}
	d.group.tomb.Go(func() error { return d.sendOtherHeartbeats(d.group.tomb.Context(ctx)) })
	return d, d.startEntry()
}

func (d *deployment) startEntry() error {
	log, counted, err := startProxy(d.group, strings.TrimPrefix(d.platform.LogURL(), "http://"))
	if err != nil {
		return err
	}
	d.logTraffic = counted
	var addresses []any
	for range 3 {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	d.address = addresses[1].(string)
	settings := fmt.Sprintf("[process]\nid = entry-1\nrole = entry\nregion = %s\nzone = zone-0\nseed = 1\nlog_level = warn\nmonitor_listen = %s\n"+
		"[entry]\npeer_listen = %s\nlisten = %s\n[log]\naddress = %s\n", append(append([]any{region}, addresses...), log)...)
	d.entry, err = d.start("entry-1", "entry", settings)
	return err
}

func (d *deployment) start(id, role, settings string) (*process, error) {
	p, err := d.measurer.startProcess(d.dir, id, role, settings)
	if err == nil {
		d.processes = append(d.processes, p)
	}
	return p, err
}

// stop stops the agents before the entry, because agents need an entry to leave in
// a planned stop.
func (d *deployment) stop() error {
	var err error
	for i := len(d.processes) - 1; i >= 0; i-- {
		err = errors.Join(err, d.processes[i].stop())
	}
	return errors.Join(err, d.group.stop())
}

func (d *deployment) append(ctx context.Context, records ...*wire.Record) error {
	data, err := proto.Marshal(&wire.RecordBatch{
		Records: records,
	})
	if err != nil {
		return err
	}
	_, err = d.log.Append(ctx, "state."+region, data)
	return err
}

func (d *deployment) sendOtherHeartbeats(ctx context.Context) error {
	for ctx.Err() == nil {
		err := d.append(ctx, &wire.Record{
			Id: recorder.NewID(),
			Body: &wire.Record_EntryAlive{
				EntryAlive: &wire.EntryAlive{
					Entry:       otherEntry,
					Incarnation: "1",
					Region:      region,
				},
			},
		})
		if err != nil && ctx.Err() == nil {
			return err
		}
		_ = sleep(ctx, otherAliveInterval)
	}
	return nil
}

// measureWindow measures a process and its traffic over one window: processor time
// in percent of a core, resident memory in MiB, and KB/s.
func (m *Measurer) measureWindow(ctx context.Context, p *process, counted *traffic) (percent, resident, kilobytesPerSecond float64, err error) {
	before, err := p.processorTime()
	bytes, began := counted.total(), time.Now()
	if err := errors.Join(err, sleep(ctx, m.Window)); err != nil {
		return 0, 0, 0, err
	}
	seconds := time.Since(began).Seconds()
	after, err := p.processorTime()
	if err != nil {
		return 0, 0, 0, err
	}
	resident, err = p.residentMiB()
	transferred := float64(counted.total() - bytes)
	return 100 * (after - before).Seconds() / seconds, resident, transferred / seconds / 1000, err
}

// measureEntry measures the entry process at one size.
func (d *deployment) measureEntry(ctx context.Context, axis string, target float64, size int, agentTraffic *traffic) error {
	m := d.measurer
	var percents, residents, logRates, agentRates []float64
	for range m.Runs {
		before, began := agentTraffic.total(), time.Now()
		percent, resident, logRate, err := m.measureWindow(ctx, d.entry, d.logTraffic)
		if err != nil {
			return err
		}
		transferred := float64(agentTraffic.total() - before)
		percents, residents = append(percents, percent), append(residents, resident)
		logRates = append(logRates, logRate)
		agentRates = append(agentRates, transferred/time.Since(began).Seconds()/1000)
	}
	for _, q := range []struct {
		name, unit string
		runs       []float64
	}{
		{"processor time of the process", "% of a core", percents},
		{"resident memory of the process", "MiB", residents},
		{"bytes to and from the log", "KB/s", logRates},
		{"bytes to and from its agents", "KB/s", agentRates},
	} {
		m.addPoint(Series{
			Role:     "entry",
			Quantity: q.name,
			Unit:     q.unit,
			Axis:     axis,
			Target:   target,
		}, size, q.runs)
	}
	return nil
}

// measureProcesses measures a real entry process with attached emulated agents,
// with all agents of a region in its state, and while it reads records at the peak
// rate. Then it measures real agent processes.
func (m *Measurer) measureProcesses(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "damaskspread-capacity")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, run := range []func(context.Context, *deployment) error{
		m.measureAttachedAgents, m.measureRegionAndPeak, m.measureRealAgents,
	} {
		d, err := m.deploy(ctx, dir)
		if err == nil {
			err = run(ctx, d)
		}
		if d != nil {
			err = errors.Join(err, d.stop())
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (m *Measurer) measureAttachedAgents(ctx context.Context, d *deployment) error {
	counted := &traffic{}
	first := 0
	var running []*agents
	defer func() {
		for _, a := range running {
			_ = a.stop()
		}
	}()
	for _, count := range append([]int{0}, m.sizes(100, 200, 400)...) {
		if count > first {
			a, err := m.startAgents(ctx, counted, first, count-first, syncWait, []string{d.address})
			if err != nil {
				return err
			}
			running = append(running, a)
			first = count
		}
		if err := sleep(ctx, m.Window); err != nil {
			return err
		}
		if err := d.measureEntry(ctx, "agents attached, idle", agentsPerEntry, count, counted); err != nil {
			return err
		}
	}
	return nil
}
