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

// agentsPerRegion is a third of all agents.
const agentsPerRegion = agentsAtTarget / 3

// measureRegionAndPeak measures the entry process with rising numbers of agents in
// its state, and then while it reads task records that this process appends at
// rising rates up to the peak.
func (m *Measurer) measureRegionAndPeak(ctx context.Context, d *deployment) error {
	w := newWorkload()
	agentTraffic := &traffic{}
	joined := 0
	for _, count := range m.sizes(agentsPerRegion/4, agentsPerRegion/2, agentsPerRegion) {
		var joins []*wire.Record
		for ; joined < count; joined++ {
			joins = append(joins, w.hostJoined(joined, otherEntry))
		}
		for batch := range slices.Chunk(joins, batchRecords) {
			if err := d.append(ctx, batch...); err != nil {
				return err
			}
		}
		if err := sleep(ctx, m.Window); err != nil {
			return err
		}
		if err := d.measureEntry(ctx, "agents known, attached elsewhere", agentsPerRegion, count, agentTraffic); err != nil {
			return err
		}
	}
	for _, rate := range m.sizes(peakStartsPerSecond/4, peakStartsPerSecond/2, peakStartsPerSecond) {
		if err := m.measurePeakAt(ctx, d, rate); err != nil {
			return err
		}
	}
	return nil
}

// measurePeakAt measures the entry process while task records are appended at a
// rate. Each claim is in the batch of its submission, so that the measured entry
// has no task to place.
func (m *Measurer) measurePeakAt(ctx context.Context, d *deployment, rate int) error {
	g := newGroup()
	r := &recorder.Recorder{
		Log:    d.log,
		Clock:  m.clock,
		Region: region,
	}
	g.run(r.Run)
	l := &loadGenerator{
		workload:            newWorkload(),
		appender:            r,
		taskPrefix:          fmt.Sprintf("%016x", rate),
		startsPerSecond:     rate,
		claimWithSubmission: true,
	}
	g.tomb.Go(func() error { return l.run(g.tomb.Context(ctx)) })
	err := sleep(ctx, m.Window)
	if err == nil {
		err = d.measureEntry(ctx, "task starts/s read, all agents known", peakStartsPerSecond, rate, &traffic{})
	}
	if stopped := g.stop(); err == nil {
		err = stopped
	}
	return err
}

// measureRealAgents measures agent processes with configuration documents of
// several sizes.
func (m *Measurer) measureRealAgents(ctx context.Context, d *deployment) error {
	var running []*process
	var counted []*traffic
	for i := range realAgentCount {
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
			records = append(records, w.sectionPublished(fmt.Sprintf("team team-%d", published), nil))
		}
		if err := d.append(ctx, records...); err != nil {
			return err
		}
		if err := sleep(ctx, 2*m.Window); err != nil {
			return err
		}
		if err := m.measureAgents(ctx, running, counted, count); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startAgent(i int) (*process, *traffic, error) {
	address, counted, err := startProxy(d.group, d.address)
	if err != nil {
		return nil, nil, err
	}
	var freeAddresses [2]string
	for j := range freeAddresses {
		if freeAddresses[j], err = freeAddress(); err != nil {
			return nil, nil, err
		}
	}
	host := fmt.Sprintf("real-%d", i)
	worker := strings.TrimPrefix(d.platform.WorkerURL(host), "http://")
	settings := fmt.Sprintf("[process]\nid = %s\nrole = agent\nregion = %s\nzone = zone-0\nseed = 1\nlog_level = warn\nmonitor_listen = %s\n"+
		"[agent]\nentries = %s\nlisten = %s\n[endpoint]\nservice = service-00\n[worker]\naddress = %s\n",
		host, region, freeAddresses[0], address, freeAddresses[1], worker)
	p, err := d.start(host, "agent", settings)
	return p, counted, err
}

// measureAgents measures all agent processes over the same window, which spans two
// long polls so that the traffic of whole polls is counted.
func (m *Measurer) measureAgents(ctx context.Context, running []*process, counted []*traffic, sections int) error {
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
	m.addPoint(series, sections, percents)
	series.Quantity, series.Unit = "resident memory of the process", "MiB"
	m.addPoint(series, sections, residents)
	series.Quantity, series.Unit = "bytes to and from its entry", "KB/s"
	m.addPoint(series, sections, kilobytes)
	return nil
}
