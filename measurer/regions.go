package measurer

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"damaskspread.example/damaskspread/recorder"
	"damaskspread.example/damaskspread/wire"
)

// agentsOfRegion is a third of the agents.
const agentsOfRegion = agentsAtTarget / 3

// regionAndPeak lets the entry know more and more agents of its region, and
// then read the records of the peak, which another process appends.
func (m *Measurer) regionAndPeak(ctx context.Context, d *deployment) error {
	w := newWorkload()
	none := &traffic{}
	known := 0
	for _, count := range m.sizes(agentsOfRegion/4, agentsOfRegion/2, agentsOfRegion) {
		var joins []*wire.Record
		for ; known < count; known++ {
			joins = append(joins, w.joined(known, otherEntry))
		}
		for batch := range slices.Chunk(joins, batchRecords) {
			if err := d.append(ctx, batch...); err != nil {
				return err
			}
		}
		if err := sleep(ctx, m.Window); err != nil {
			return err
		}
		if err := d.observeEntry(ctx, "agents known, attached elsewhere", agentsOfRegion, count, none); err != nil {
			return err
		}
	}
	for _, rate := range m.sizes(peakStarts/4, peakStarts/2, peakStarts) {
		if err := m.peakOf(ctx, d, rate); err != nil {
			return err
		}
	}
	return nil
}

// peakOf appends the records of tasks. Their claims are in the batch of their
// submission, so that the measured entry has none left to place.
func (m *Measurer) peakOf(ctx context.Context, d *deployment, rate int) error {
	g := newGroup()
	r := &recorder.Recorder{
		Log:    d.log,
		Clock:  m.clock,
		Region: region,
	}
	g.run(r.Run)
	l := &lifecycles{
		workload: newWorkload(),
		appender: r,
		prefix:   fmt.Sprintf("%016x", rate),
		rate:     rate,
		claimed:  true,
	}
	g.tomb.Go(func() error { return l.run(g.tomb.Context(ctx)) })
	err := sleep(ctx, m.Window)
	if err == nil {
		err = d.observeEntry(ctx, "task starts/s read, all agents known", peakStarts, rate, &traffic{})
	}
	if stopped := g.stop(); err == nil {
		err = stopped
	}
	return err
}

// realAgents measures agent processes with documents of several sizes.
func (m *Measurer) realAgents(ctx context.Context, d *deployment) error {
	var running []*process
	var counted []*traffic
	for i := range realAgents {
		p, t, err := d.startAgent(i)
		if err != nil {
			return err
		}
		running, counted = append(running, p), append(counted, t)
	}
	w := newWorkload()
	published := 0
	for _, count := range m.sizes(sectionsAtTarget/4, sectionsAtTarget/2, sectionsAtTarget) {
		var records []*wire.Record
		for ; published < count; published++ {
			records = append(records, w.published(fmt.Sprintf("team team-%d", published), nil))
		}
		if err := d.append(ctx, records...); err != nil {
			return err
		}
		if err := sleep(ctx, 2*m.Window); err != nil {
			return err
		}
		if err := m.observeAgents(ctx, running, counted, count); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startAgent(i int) (*process, *traffic, error) {
	address, counted, err := startRelay(d.group, d.address)
	if err != nil {
		return nil, nil, err
	}
	var free [2]string
	for j := range free {
		if free[j], err = freeAddress(); err != nil {
			return nil, nil, err
		}
	}
	host := fmt.Sprintf("real-%d", i)
	worker := strings.TrimPrefix(d.platform.WorkerURL(host), "http://")
	settings := fmt.Sprintf("[process]\nid = %s\nrole = agent\nregion = %s\nzone = zone-0\nseed = 1\nlog_level = warn\nmonitor_listen = %s\n"+
		"[agent]\nentries = %s\nlisten = %s\n[endpoint]\nservice = service-00\n[worker]\naddress = %s\n",
		host, region, free[0], address, free[1], worker)
	p, err := d.start(host, "agent", settings)
	return p, counted, err
}

// observeAgents watches all agents at once over whole polls.
func (m *Measurer) observeAgents(ctx context.Context, running []*process, counted []*traffic, sections int) error {
	const window = 2 * syncWait
	var percents, residents, kilobytes []float64
	for range m.Runs {
		before := make([]time.Duration, len(running))
		bytes := make([]int64, len(running))
		began := time.Now()
		for i, p := range running {
			before[i], _ = p.processorTime()
			bytes[i] = counted[i].total()
		}
		if err := sleep(ctx, window); err != nil {
			return err
		}
		seconds := time.Since(began).Seconds()
		for i, p := range running {
			after, err := p.processorTime()
			if err != nil {
				return err
			}
			resident, err := p.residentMiB()
			if err != nil {
				return err
			}
			percents, residents = append(percents, 100*(after-before[i]).Seconds()/seconds), append(residents, resident)
			kilobytes = append(kilobytes, float64(counted[i].total()-bytes[i])/seconds/1000)
		}
	}
	series := Series{
		Role:     "agent",
		Quantity: "processor time of the idle process",
		Unit:     "% of a core",
		Axis:     "sections in force",
		Target:   sectionsAtTarget,
	}
	m.observe(series, sections, percents)
	series.Quantity, series.Unit = "resident memory of the process", "MiB"
	m.observe(series, sections, residents)
	series.Quantity, series.Unit = "bytes to and from its entry", "KB/s"
	m.observe(series, sections, kilobytes)
	return nil
}
