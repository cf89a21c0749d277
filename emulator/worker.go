package emulator

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

// NeverStarted is the detail of an attempt that was stopped before any start
// reached the worker. The worker refuses to start it from then on.
const NeverStarted = "never_started"

// worker is one emulated worker. The platform's lock guards it.
type worker struct {
	platform *Platform
	gate     *gate
	spec     Worker
	boots    int
	booted   time.Time
	tasks    map[attempt]*task
	minToken int64
}

type attempt struct {
	task  string
	token int64
}

// task is an attempt that this boot of the worker knows.
type task struct {
	spec       *wire.TaskSpec
	token      int64
	phase      wire.WorkerTaskPhase
	checkpoint string
	detail     string
	leaseUntil time.Duration
	started    time.Time
	// progress is the work done at updated; it grows at permille thousandths
	// of the time that passes.
	progress time.Duration
	updated  time.Time
	permille int64
}

func newWorker(p *Platform, spec Worker) *worker {
	w := &worker{
		platform: p,
		gate:     newGate(p.Clock),
		spec:     spec,
	}
	w.restart()
	return w
}

func (w *worker) boot() string { return fmt.Sprintf("%s-boot-%d", w.spec.Host, w.boots) }

func (w *worker) now() time.Duration { return w.platform.Clock.Since(w.booted) }

func (w *worker) restart() {
	for _, t := range w.running() {
		w.note("lost", t, w.platform.Clock.Now())
	}
	w.boots++
	w.booted = w.platform.Clock.Now()
	w.tasks = map[attempt]*task{}
	w.minToken = 0
}

// running returns the running tasks in the order of their tokens.
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

func (w *worker) noteCommitted() {
	most, sum := w.platform.history.MaxCommitted[w.spec.Host], w.committed()
	w.platform.history.MaxCommitted[w.spec.Host] = &wire.Resources{
		Millicores:   max(most.GetMillicores(), sum.GetMillicores()),
		MemoryBytes:  max(most.GetMemoryBytes(), sum.GetMemoryBytes()),
		Accelerators: max(most.GetAccelerators(), sum.GetAccelerators()),
	}
}

func (w *worker) note(kind string, t *task, at time.Time) {
	w.platform.history.Events = append(w.platform.history.Events, Event{
		Kind:       kind,
		Host:       w.spec.Host,
		Task:       t.spec.GetTask(),
		Token:      t.token,
		WorkerUs:   at.Sub(w.booted).Microseconds(),
		WallUnixUs: at.UnixMicro(),
		ProgressMs: t.progress.Milliseconds(),
	})
}

// settle brings every running task up to the present: it makes progress,
// finishes, or ends with its lease, whichever comes first.
func (w *worker) settle() {
	now := w.platform.Clock.Now()
	for _, t := range w.running() {
		end := w.booted.Add(t.leaseUntil)
		phase, kind := wire.WorkerTaskPhase_WORKER_TASK_PHASE_LEASE_LAPSED, "lapse"
		if finish, ok := t.finishTime(); ok && !finish.After(end) {
			end = finish
			phase, kind = t.result()
		}
		if end.After(now) {
			t.work(now)
			continue
		}
		t.work(end)
		t.phase = phase
		w.note(kind, t, end)
	}
}

func (t *task) work(until time.Time) {
	t.progress += until.Sub(t.updated) * time.Duration(t.permille) / 1000
	t.updated = until
}

// finishTime is when the task is done at its present speed. A task without
// run_ms, e.g. a service, runs until it is stopped.
func (t *task) finishTime() (time.Time, bool) {
	runMs, err := strconv.ParseInt(t.spec.GetParameters()["run_ms"], 10, 64)
	if err != nil || t.permille == 0 {
		return time.Time{}, false
	}
	left := max(0, time.Duration(runMs)*time.Millisecond-t.progress)
	return t.updated.Add(left * 1000 / time.Duration(t.permille)), true
}

func (t *task) result() (wire.WorkerTaskPhase, string) {
	if detail := t.spec.GetParameters()["fail"]; detail != "" {
		t.detail = detail
		return wire.WorkerTaskPhase_WORKER_TASK_PHASE_FAILED, "fail"
	}
	return wire.WorkerTaskPhase_WORKER_TASK_PHASE_SUCCEEDED, "finish"
}

func (w *worker) stop(t *task) {
	t.phase = wire.WorkerTaskPhase_WORKER_TASK_PHASE_STOPPED
	w.note("stop", t, w.platform.Clock.Now())
}

func (t *task) message() *wire.WorkerTask {
	return &wire.WorkerTask{
		Task:         t.spec.GetTask(),
		Token:        t.token,
		Phase:        t.phase,
		Checkpoint:   t.checkpoint,
		LeaseUntilUs: t.leaseUntil.Microseconds(),
		Detail:       t.detail,
	}
}

func (w *worker) status() *wire.StatusResponse {
	now, lag := w.platform.Clock.Now(), w.platform.UsageLag
	fault, _ := w.gate.get()
	lag += time.Duration(fault.UsageLagMs) * time.Millisecond
	answer := &wire.StatusResponse{
		Boot:     w.boot(),
		NowUs:    w.now().Microseconds(),
		Capacity: proto.CloneOf(w.spec.Capacity),
	}
	for _, t := range w.tasks {
		answer.Tasks = append(answer.Tasks, t.message())
	}
	slices.SortFunc(answer.Tasks, func(a, b *wire.WorkerTask) int { return int(a.GetToken() - b.GetToken()) })
	for _, t := range w.running() {
		// A task younger than the lag has no sample yet.
		if now.Sub(t.started) < lag {
			continue
		}
		answer.Usage = append(answer.Usage, t.usage(lag))
	}
	return answer
}

// usage is what the task really uses: its declaration scaled by the parameter
// usage_permille, since declared sizes are inaccurate.
func (t *task) usage(lag time.Duration) *wire.UsageSample {
	scale := int64(1000)
	if given, err := strconv.ParseInt(t.spec.GetParameters()["usage_permille"], 10, 64); err == nil {
		scale = given
	}
	return &wire.UsageSample{
		Task:        t.spec.GetTask(),
		Token:       t.token,
		Millicores:  t.spec.GetResources().GetMillicores() * scale / 1000 * t.permille / 1000,
		MemoryBytes: t.spec.GetResources().GetMemoryBytes() * scale / 1000,
		LagMs:       lag.Milliseconds(),
	}
}
