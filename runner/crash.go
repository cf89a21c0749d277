package runner

import (
	"errors"
	"slices"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/assessor"
	"damaskspread.example/damaskspread/wire"
)

// maxPendingExposures bounds the exposures that wait for the leader. Beyond it the
// oldest are dropped, so that crashes without a leader don't fill the requests.
const maxPendingExposures = 1000

// crashWatch notices that the executor has ended by itself and remembers the runs
// that may be the cause until the leader has stored their exposures. An executor
// that ends with its host takes the agent along, and a cut leaves calls without
// response; so an agent that sees connections refused or broken off has seen a
// crash, or a reset of connections, which the next successful call shows. The
// runner's mutex guards it.
type crashWatch struct {
	// startedAt has the runs that were started within assessor.CrashWindow, or may have
	// been.
	startedAt map[runKey]time.Duration
	// unseen has the runs whose start was called without a response and that no list
	// of runs has shown. The executor may carry out the call seconds later.
	unseen map[runKey]bool
	// downSince is the time of the first lost connection since the last successful
	// call; 0 if none was lost.
	downSince time.Duration
	// suspected are the runs that were exposed since downSince.
	suspected []runKey
	// pending are the exposures that the leader is not known to have stored. They
	// outlive the session and the executor.
	pending    []*wire.CrashExposure
	lastNumber int64
	recorded   int64
}

// reset begins with a new incarnation of the executor.
func (w *crashWatch) reset() {
	w.startedAt = map[runKey]time.Duration{}
	w.unseen = map[runKey]bool{}
	w.downSince = 0
	w.suspected = nil
}

// down reports whether the executor has not responded since its connections were
// lost.
func (w *crashWatch) down() bool { return w.downSince > 0 }

// addStart records a run that the executor has started or may have started. The
// response may be handled after the crash was noticed.
func (w *crashWatch) addStart(key runKey, now time.Duration) {
	w.startedAt[key] = now
	for other, at := range w.startedAt {
		if now-at > assessor.CrashWindow {
			delete(w.startedAt, other)
		}
	}
	if w.down() && now-w.downSince <= assessor.CrashWindow {
		w.expose(key)
	}
}

// addLoss records a lost connection and exposes the runs that started shortly
// before the first one.
func (w *crashWatch) addLoss(now time.Duration) {
	if w.down() {
		return
	}
	w.downSince = now
	for key, at := range w.startedAt {
		if now-at <= assessor.CrashWindow {
			w.expose(key)
		}
	}
	for key := range w.unseen {
		w.expose(key)
	}
}

// addListed records that a list of runs shows a run. The list may be the first sign of
// a start without response.
func (w *crashWatch) addListed(key runKey, now time.Duration) {
	if w.unseen[key] {
		delete(w.unseen, key)
		w.startedAt[key] = now
	}
}

// forget drops a run that has ended or does not start.
func (w *crashWatch) forget(key runKey) {
	delete(w.startedAt, key)
	delete(w.unseen, key)
}

func (w *crashWatch) expose(key runKey) {
	if slices.Contains(w.suspected, key) {
		return
	}
	w.suspected = append(w.suspected, key)
	w.report(key, false)
}

// addContact withdraws the exposures since downSince: the executor lives.
func (w *crashWatch) addContact() {
	for _, key := range w.suspected {
		w.report(key, true)
	}
	w.downSince = 0
	w.suspected = nil
}

func (w *crashWatch) report(key runKey, withdrawn bool) {
	w.lastNumber++
	w.pending = append(w.pending, &wire.CrashExposure{
		Number:    w.lastNumber,
		Task:      key.task,
		Run:       key.run,
		Withdrawn: withdrawn,
		Started:   !w.unseen[key],
	})
	if excess := len(w.pending) - maxPendingExposures; excess > 0 {
		w.pending = slices.Delete(w.pending, 0, excess)
	}
}

// acknowledge drops the exposures up to a number, which the leader has stored.
func (w *crashWatch) acknowledge(number int64) {
	w.recorded = max(w.recorded, number)
	w.pending = slices.DeleteFunc(w.pending, func(exposure *wire.CrashExposure) bool {
		return exposure.GetNumber() <= w.recorded
	})
}

// watchCall records the outcome of a call to an incarnation of the executor for
// crashWatch. started is the run that the call has started or may have started;
// its zero value stands for none.
func (r *Runner) watchCall(info *wire.ExecutorInfo, started runKey, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info == nil || !sameIncarnation(r.info, info) {
		return
	}
	now := r.Elapsed.Elapsed()
	exposed := r.crashes.lastNumber
	if started != (runKey{}) {
		if err != nil {
			r.crashes.unseen[started] = true
		}
		r.crashes.addStart(started, now)
	}
	var lost *damaskspread.ConnectionLostError
	if errors.As(err, &lost) {
		r.crashes.addLoss(now)
	}
	if r.crashes.lastNumber == exposed {
		return
	}
	log.Warn().Str("executor", info.GetId()).Int("runs", len(r.crashes.suspected)).Err(err).
		Msg("executor lost its connections shortly after it started runs")
	signal(r.reportWake)
}

// watchStart is watchCall for a start order.
func (r *Runner) watchStart(info *wire.ExecutorInfo, key runKey, err error) {
	var unknown *damaskspread.WorkerUnknownError
	if err != nil && !errors.As(err, &unknown) {
		key = runKey{}
	}
	r.watchCall(info, key, err)
}
