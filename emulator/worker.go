package emulator

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

// NeverStarted is the detail of an attempt that was stopped before a start order
// reached the worker. A later start order for it has no effect.
const NeverStarted = "never_started"

// worker implements WorkerService for one host. The platform's lock guards it.
type worker struct {
	platform  *Platform
	faults    *faultInjector
	spec      Worker
	bootCount int
	bootedAt  time.Time
	tasks     map[attempt]*task
	minToken  int64
	// responsesDropped means that responses do not reach their callers.
	responsesDropped bool
}

// attempt identifies a try to run a task, by the fencing token of its claim.
type attempt struct {
	task  string
	token int64
}

// task is the state of an attempt, kept until the worker restarts.
type task struct {
	spec       *wire.TaskSpec
	token      int64
	phase      wire.WorkerTaskPhase
	checkpoint string
	detail     string
	leaseUntil time.Duration
	started    time.Time
	// progress is the work done at progressAt. It grows by speedPermille
	// thousandths of the time that passes.
	progress      time.Duration
	progressAt    time.Time
	speedPermille int64
	// read means that a caller has got a status that shows how the task ended.
	read bool
}

func newWorker(p *Platform, spec Worker) *worker {
	w := &worker{
		platform: p,
		faults:   newFaultInjector(p.Clock),
		spec:     spec,
	}
	w.restart()
	return w
}

func (w *worker) boot() string { return fmt.Sprintf("%s-boot-%d", w.spec.Host, w.bootCount) }

func (w *worker) now() time.Duration { return w.platform.Clock.Since(w.bootedAt) }

func (w *worker) restart() {
	for _, t := range w.running() {
		w.recordEvent("lost", t, w.platform.Clock.Now())
	}
	for _, t := range w.tasks {
		if t.phase == wire.WorkerTaskPhase_WORKER_TASK_PHASE_SUCCEEDED && !t.read {
			w.recordEvent("unread", t, w.platform.Clock.Now())
		}
	}
	w.bootCount++
	w.bootedAt = w.platform.Clock.Now()
	w.tasks = map[attempt]*task{}
	w.minToken = 0
}

// running returns the running tasks by ascending token.
func (w *worker) running() []*task {
	var running []*task
	for _, t := range w.tasks {
		if t.phase == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING {
			running = append(running, t)
		}
	}
	slices.SortFunc(running, func(a, b *task) int { return int(a.token - b.token) })
	return running
}

func (w *worker) committed() *wire.Resources {
	sum := &wire.Resources{}
	for _, t := range w.running() {
		sum.Millicores += t.spec.GetResources().GetMillicores()
		sum.MemoryBytes += t.spec.GetResources().GetMemoryBytes()
		sum.Accelerators += t.spec.GetResources().GetAccelerators()
	}
	return sum
}

func (w *worker) updateMaxCommitted() {
	most, sum := w.platform.history.MaxCommitted[w.spec.Host], w.committed()
	w.platform.history.MaxCommitted[w.spec.Host] = &wire.Resources{
		Millicores:   max(most.GetMillicores(), sum.GetMillicores()),
		MemoryBytes:  max(most.GetMemoryBytes(), sum.GetMemoryBytes()),
		Accelerators: max(most.GetAccelerators(), sum.GetAccelerators()),
	}
}

func (w *worker) recordEvent(kind string, t *task, at time.Time) {
	w.platform.history.Events = append(w.platform.history.Events, Event{
		Kind:       kind,
		Host:       w.spec.Host,
		Task:       t.spec.GetTask(),
		Token:      t.token,
		WorkerUs:   at.Sub(w.bootedAt).Microseconds(),
		WallUnixUs: at.UnixMicro(),
		ProgressMs: t.progress.Milliseconds(),
	})
}

// advance updates every running task to the present: its progress, and its end
// if it finished or its lease lapsed, whichever came first.
func (w *worker) advance() {
	now := w.platform.Clock.Now()
	for _, t := range w.running() {
		end := w.bootedAt.Add(t.leaseUntil)
		phase, kind := wire.WorkerTaskPhase_WORKER_TASK_PHASE_LEASE_LAPSED, "lapse"
		if finish, ok := t.finishTime(); ok && !finish.After(end) {
			end = finish
			phase, kind = t.result()
		}
		if end.After(now) {
			t.progressTo(now)
			continue
		}
		t.progressTo(end)
		t.phase = phase
		w.recordEvent(kind, t, end)
	}
}

func (t *task) progressTo(until time.Time) {
	t.progress += until.Sub(t.progressAt) * time.Duration(t.speedPermille) / 1000
	t.progressAt = until
}

// finishTime returns when the task finishes at its present speed, and false if
// it doesn't: it is throttled to zero, or it has no parameter run_ms (e.g. a
// service) and runs until it is stopped.
func (t *task) finishTime() (time.Time, bool) {
	runMs, err := strconv.ParseInt(t.spec.GetParameters()["run_ms"], 10, 64)
	if err != nil || t.speedPermille == 0 {
		return time.Time{}, false
	}
	remaining := max(0, time.Duration(runMs)*time.Millisecond-t.progress)
	return t.progressAt.Add(remaining * 1000 / time.Duration(t.speedPermille)), true
}

// result returns the phase and the kind of event of a task that finished.
func (t *task) result() (wire.WorkerTaskPhase, string) {
	if detail := t.spec.GetParameters()["fail"]; detail != "" {
		t.detail = detail
		return wire.WorkerTaskPhase_WORKER_TASK_PHASE_FAILED, "fail"
	}
	return wire.WorkerTaskPhase_WORKER_TASK_PHASE_SUCCEEDED, "finish"
}

func (w *worker) stop(t *task) {
	t.phase = wire.WorkerTaskPhase_WORKER_TASK_PHASE_STOPPED
	w.recordEvent("stop", t, w.platform.Clock.Now())
}

func (t *task) toWire() *wire.WorkerTask {
	return &wire.WorkerTask{
		Task:         t.spec.GetTask(),
		Token:        t.token,
		Phase:        t.phase,
		Checkpoint:   t.checkpoint,
		LeaseUntilUs: t.leaseUntil.Microseconds(),
		Detail:       t.detail,
	}
}

// markRead notes that a caller gets the present status.
func (w *worker) markRead() {
	for _, t := range w.tasks {
		t.read = t.read || t.phase != wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING
	}
}

func (w *worker) status() *wire.StatusResponse {
	now, lag := w.platform.Clock.Now(), w.platform.UsageLag
	fault, _ := w.faults.get()
	lag += time.Duration(fault.UsageLagMs) * time.Millisecond
	response := &wire.StatusResponse{
		Boot:     w.boot(),
		NowUs:    w.now().Microseconds(),
		Capacity: proto.CloneOf(w.spec.Capacity),
	}
	for _, t := range w.tasks {
		response.Tasks = append(response.Tasks, t.toWire())
	}
	slices.SortFunc(response.Tasks, func(a, b *wire.WorkerTask) int { return int(a.GetToken() - b.GetToken()) })
	for _, t := range w.running() {
		// A task younger than the lag has no sample yet.
		if now.Sub(t.started) < lag {
			continue
		}
		response.Usage = append(response.Usage, t.usageSample(lag))
	}
	return response
}

// usageSample returns what the task uses: its request scaled by the parameter
// usage_permille, because real tasks use more or less than they request.
func (t *task) usageSample(lag time.Duration) *wire.UsageSample {
	scale := int64(1000)
	if given, err := strconv.ParseInt(t.spec.GetParameters()["usage_permille"], 10, 64); err == nil {
		scale = given
	}
	return &wire.UsageSample{
		Task:        t.spec.GetTask(),
		Token:       t.token,
		Millicores:  t.spec.GetResources().GetMillicores() * scale / 1000 * t.speedPermille / 1000,
		MemoryBytes: t.spec.GetResources().GetMemoryBytes() * scale / 1000,
		LagMs:       lag.Milliseconds(),
	}
}
