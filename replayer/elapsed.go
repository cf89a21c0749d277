package replayer

import (
	"time"

	"damaskspread.example/damaskspread/wire"
)

// maxElapsedStep is the most that one EntryAlive record adds to the elapsed time of
// the state, 2.5 times the default interval of these records. An outage of the log
// counts as at most this.
const maxElapsedStep = 5 * time.Second

// advanceElapsed adds the time that an entry process has measured since its record
// before, which is last. Each process counts on its own clock from its first record,
// and the state keeps the latest result. So records that come late or twice, and clocks
// that are set, add nothing.
func (s *State) advanceElapsed(last, entry *wire.EntryState) {
	uptime := entry.GetEntry().GetUptimeMs()
	if last.GetUptimeMs() == 0 || last.GetEntry().GetIncarnation() != entry.GetEntry().GetIncarnation() {
		entry.UptimeMs = uptime
		entry.ElapsedMs = s.elapsedMs
		return
	}
	step := max(0, uptime-last.GetUptimeMs())
	entry.UptimeMs = last.GetUptimeMs() + step
	entry.ElapsedMs = last.GetElapsedMs() + min(step, maxElapsedStep.Milliseconds())
	s.elapsedMs = max(s.elapsedMs, entry.GetElapsedMs())
}

// ElapsedSince returns a lower bound of the time since a record, from the elapsed time
// of the state at that record. It lets a process that starts continue a wait. The
// first step after the record may have begun before it, and is left out. It is 0 if
// elapsedMs is 0, which means that the time is unknown.
func (s *State) ElapsedSince(elapsedMs int64) time.Duration {
	if elapsedMs == 0 {
		return 0
	}
	return max(0, time.Duration(s.elapsedMs-elapsedMs)*time.Millisecond-maxElapsedStep)
}
