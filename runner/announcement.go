package runner

import (
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/wire"
)

const (
	// candidateRetention is how long an executor that was announced once may replace the
	// present one. Heartbeats come about each 1.5 s.
	candidateRetention = 3 * time.Second
	// maxSequenceJump bounds by how much the sequence number of an announcement exceeds
	// the one before. Executors count their calls.
	maxSequenceJump = 1 << 20
	// maxOutdated is how many outdated announcements in a row are ignored. A burst of
	// late ones is followed by a newer one within the interval of heartbeats.
	maxOutdated = 4
)

// ExecutorAnnounced implements damaskspread.ExecutorObserver. It ignores
// announcements that are older than the latest one or come from an executor that
// has left.
func (r *Runner) ExecutorAnnounced(info *wire.ExecutorInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	other := r.info != nil && !sameIncarnation(r.info, info)
	later := other && info.GetBornUnixMs() >= r.info.GetBornUnixMs()
	switch {
	case r.info == nil && r.left != nil && sameIncarnation(r.left, info):
		return
	case later && r.responds():
		r.addCandidate(info)
		return
	case r.info == nil || later:
		r.discover(info)
	case other || r.isOutdated(info):
		log.Warn().Str("executor", info.GetId()).Int64("born", info.GetBornUnixMs()).Int64("sequence", info.GetSequence()).
			Msg("outdated executor announcement ignored")
		return
	}
	r.scheduleDrain(info)
	r.info = info
	signal(r.renewWake)
	if r.capacityUnreported() {
		signal(r.reportWake)
	}
}

// discover begins with another executor. The caller holds the mutex.
func (r *Runner) discover(info *wire.ExecutorInfo) {
	r.resetExecutor(info)
	log.Info().Str("executor", info.GetId()).Int64("born", info.GetBornUnixMs()).Msg("executor discovered")
}

// responds reports whether the present executor, under its id and with its time of start,
// responds to calls and has done so lately. The caller holds the mutex.
func (r *Runner) responds() bool {
	return r.lastContact > 0 && !r.isSilent() && r.Elapsed.Elapsed()-r.lastContact < unreachableAfter
}

// addCandidate keeps the announcement of an executor while the present one responds, and
// calls the latter: if it has been replaced, the call fails or its response has another time
// of start. The announcement may come from another writer, and then the present executor
// goes on. The caller holds the mutex.
func (r *Runner) addCandidate(info *wire.ExecutorInfo) {
	if r.candidate == nil || !sameIncarnation(r.candidate, info) {
		log.Info().Str("executor", info.GetId()).Int64("born", info.GetBornUnixMs()).Str("present", r.info.GetId()).
			Msg("another executor announced; the present one is called")
	}
	r.candidate = info
	r.candidateAt = r.Elapsed.Elapsed()
	if r.cancelRenewal != nil {
		r.cancelRenewal()
	}
	signal(r.renewWake)
}

// takeCandidate begins with the announced executor, because the present one does not
// respond, and reports whether there is one. The caller holds the mutex.
func (r *Runner) takeCandidate() bool {
	if r.candidate == nil || r.Elapsed.Elapsed()-r.candidateAt > candidateRetention {
		r.candidate = nil
		return false
	}
	r.discover(r.candidate)
	signal(r.renewWake)
	return true
}

// isOutdated reports whether an announcement of the present executor is older than the
// latest one, or so far ahead that the executor can't have sent it. After maxOutdated of
// them in ascending order with none that is plausible, the latest one can't have come from
// the executor, and the next one is taken. The caller holds the mutex.
func (r *Runner) isOutdated(info *wire.ExecutorInfo) bool {
	ahead := info.GetSequence() - r.info.GetSequence()
	if ahead >= 0 && ahead <= maxSequenceJump {
		r.outdated = 0
		return false
	}
	if info.GetSequence() <= r.outdatedSequence {
		r.outdated = 0
	}
	r.outdatedSequence = info.GetSequence()
	r.outdated++
	if r.outdated <= maxOutdated {
		return true
	}
	r.outdated = 0
	log.Warn().Str("executor", info.GetId()).Int64("sequence", info.GetSequence()).Int64("latest", r.info.GetSequence()).
		Msg("executor announcement taken: the latest one did not come from the executor")
	// The leader ignores lower sequence numbers within a session.
	r.resetSession()
	return false
}

// scheduleDrain sets the time at which a draining executor ends. The first
// announcement gives the executor at least DrainFor; later ones can only postpone
// its end.
func (r *Runner) scheduleDrain(info *wire.ExecutorInfo) {
	if !info.GetDraining() {
		return
	}
	remaining := max(time.Duration(info.GetRemainingMs())*time.Millisecond, 0)
	if r.drainAt == 0 {
		remaining = max(remaining, r.DrainFor)
		log.Info().Str("executor", info.GetId()).Dur("remaining", remaining).Msg("executor draining")
		signal(r.reportWake)
	}
	r.drainAt = max(r.drainAt, r.Elapsed.Elapsed()+remaining)
}

// ExecutorLeft implements damaskspread.ExecutorObserver. It has no effect unless
// the id is that of the present executor and that one has announced that it is
// draining: the call names no incarnation, so a late one may come from the
// incarnation before.
func (r *Runner) ExecutorLeft(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info.GetId() != id {
		return
	}
	if !r.info.GetDraining() {
		log.Warn().Str("executor", id).Int64("born", r.info.GetBornUnixMs()).Msg("deregistration ignored: the executor is not draining")
		return
	}
	log.Info().Str("executor", id).Msg("executor left")
	r.left = r.info
	r.leftEnded = false
	r.leftAt = r.Elapsed.Elapsed()
	r.info = nil
	r.resetSession()
}

// discardExecutor forgets the announced executor, because another one responds at
// its address. The next announcement is taken whatever its time of start, so that
// neither a heartbeat of another writer nor a clock that was set back hides the
// living executor. The caller holds the mutex.
func (r *Runner) discardExecutor() {
	log.Warn().Str("executor", r.info.GetId()).Int64("born", r.info.GetBornUnixMs()).Msg("announced executor discarded: another one responds at its address")
	r.info = nil
	r.drainAt = 0
	r.resetSession()
}
