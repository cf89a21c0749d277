package scheduler

import (
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

const (
	// readDelayMargin is how much longer than two reads of an idle log the state may
	// stay unconfirmed before the log counts as down.
	readDelayMargin = 400 * time.Millisecond
	// recoveryFactor is the time that agents get to join and renew after an outage,
	// in lengths of the outage: their delays between tries grow with it.
	recoveryFactor = 2
	// maxSilencesPerRecord limits the hosts of one record.
	maxSilencesPerRecord = 256
)

// logOutages adds up the time in which agents may have been unable to record a
// heartbeat: outages of the log, pauses of this process, and the time to recover
// from both. That time is not silence of an agent.
type logOutages struct {
	// currentAsOf is the time as of which the state was current at the last check.
	currentAsOf time.Time
	// total is the time of the outages that have ended and of the recoveries.
	total time.Duration
	// current is how long the present outage has lasted, zero if there is none.
	current time.Duration
	// recovery is the time of recovery that is left.
	recovery time.Duration
}

// observe updates the outages with the age of the state. A gap of more than
// maxGap between two times as of which the state was current is an outage.
func (o *logOutages) observe(now time.Time, age, maxGap time.Duration) {
	o.current = 0
	if age > maxGap {
		o.current = age
	}
	currentAsOf := now.Add(-age)
	gap := currentAsOf.Sub(o.currentAsOf)
	if o.currentAsOf.IsZero() {
		gap = 0
	}
	if gap < 0 {
		return
	}
	o.currentAsOf = currentAsOf
	if gap > maxGap {
		o.total += gap
		o.recovery = min(o.recovery+recoveryFactor*gap, releaseGrace)
		return
	}
	recovered := min(gap, o.recovery)
	o.recovery -= recovered
	o.total += recovered
}

// silence returns how long a host has sent no heartbeat although it could. Outages
// are subtracted only up to TaskHold plus releaseGrace, so that hosts are released
// while reads of the log are slow all the time.
func (p *Planner) silence(h *hostInfo, now time.Time) time.Duration {
	outages := p.outages.total - h.outagesAtAlive + p.outages.current
	return now.Sub(h.aliveObservedAt) - min(outages, p.limits.TaskHold+releaseGrace)
}

// adoptSilence makes the silence of a host at least as long as an entry recorded it,
// if this process started after the host's latest heartbeat, so that it does not wait
// for that time again. Otherwise its own observation of outages is more accurate.
func (p *Planner) adoptSilence(h *hostInfo, recorded time.Duration, now time.Time) {
	h.recordedSilence = max(h.recordedSilence, recorded)
	if h.aliveLoaded && recorded > p.silence(h, now) {
		h.aliveObservedAt = now.Add(-recorded)
		h.outagesAtAlive = p.outages.total
	}
}

// recordSilences records how long hosts with tasks have been silent, from a quarter of
// TaskHold, when a heartbeat is overdue, each tenth of it. Other entries than the owner
// of a host record later, and so only if the owner does not, because it restarts often.
func (p *Planner) recordSilences(out *plan) {
	record := &wire.HostsSilent{}
	for _, h := range p.hostList {
		if len(h.tasks) == 0 {
			continue
		}
		silence := p.silence(h, out.now)
		if silence < p.limits.TaskHold/4 || silence < h.recordedSilence+p.silenceStep(h) {
			continue
		}
		h.recordedSilence = silence
		record.Hosts = append(record.Hosts, &wire.HostSilence{
			Host:     h.spec.GetHost(),
			Alive:    proto.CloneOf(h.alivePosition),
			SilentMs: silence.Milliseconds(),
		})
		if len(record.GetHosts()) == maxSilencesPerRecord {
			break
		}
	}
	if len(record.GetHosts()) > 0 {
		p.addRecord(out, &wire.Record{
			Body: &wire.Record_HostsSilent{
				HostsSilent: record,
			},
		})
	}
}

// silenceStep is how much longer than recorded a host has to be silent before this
// entry records it again.
func (p *Planner) silenceStep(h *hostInfo) time.Duration {
	step := p.limits.TaskHold / 10
	if !p.owns("host/" + h.spec.GetHost()) {
		step += step / 2
	}
	return step
}
