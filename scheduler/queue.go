package scheduler

import (
	"container/heap"
	"math/bits"
	"slices"
	"strings"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Maximum waits of tasks that declare none.
const (
	defaultBatchWait  = time.Hour
	defaultUrgentWait = 5 * time.Second
)

// pendingState is the planner's state of a pending task.
type pendingState int

const (
	// notOwned: another entry process schedules the task.
	notOwned pendingState = iota
	// queued: the task is in its class queue.
	queued
	// delayed: the task is queued again after a back-off.
	delayed
	// reserved: capacity on a host is reserved for the task but may still be in
	// use.
	reserved
	// unrunnable: the task is larger than every known host or than its team's
	// quota, or it is at fault for its failures.
	unrunnable
	// claimed: a claim was planned and the state does not show it yet.
	claimed
)

// pendingTask is a task that is pending in the state.
type pendingTask struct {
	spec    *wire.TaskSpec
	attempt int32
	// avoid lists the hosts on which the task failed.
	avoid []string
	// deadline is when the task becomes overdue: submission plus max_wait.
	deadline  time.Time
	state     pendingState
	team      *team
	need      *wire.Resources
	urgent    bool
	queue     *shapeQueue
	heapIndex int
	// since is when the task came to its state, or, for a delayed task, when its
	// back-off ends.
	since time.Time
	// failures counts claims that had no effect and appended records that finish
	// the task.
	failures      int
	refusal       *damaskspread.PlacementRefusedError
	host          string
	claimRecordID string
	claimReason   string
}

// before orders tasks by deadline, then by ID.
func (task *pendingTask) before(other *pendingTask) bool {
	if !task.deadline.Equal(other.deadline) {
		return task.deadline.Before(other.deadline)
	}
	return task.spec.GetTask() < other.spec.GetTask()
}

func isUrgent(spec *wire.TaskSpec) bool {
	return spec.GetClass() == wire.TaskClass_TASK_CLASS_LATENCY_CRITICAL
}

func deadlineOf(spec *wire.TaskSpec) time.Time {
	wait := time.Duration(spec.GetMaxWaitMs()) * time.Millisecond
	if wait <= 0 {
		wait = defaultBatchWait
		if isUrgent(spec) {
			wait = defaultUrgentWait
		}
	}
	return time.UnixMilli(spec.GetSubmittedUnixMs()).Add(wait)
}

// shape groups tasks of one kind with equal constraints and with resource needs
// within a factor of two. A refusal of one task blocks the whole group.
type shape struct {
	millicores, memory int
	accelerators       int64
	zones              string
	kind               string
	nonCheckpointable  bool
}

func shapeOf(spec *wire.TaskSpec) shape {
	need := spec.GetResources()
	return shape{
		millicores:        bits.Len64(uint64(need.GetMillicores())),
		memory:            bits.Len64(uint64(need.GetMemoryBytes())),
		accelerators:      need.GetAccelerators(),
		zones:             strings.Join(spec.GetZones(), ","),
		kind:              spec.GetKind(),
		nonCheckpointable: !spec.GetCanCheckpoint(),
	}
}

// shapeQueue is a heap of the tasks of one team, class and shape, ordered by
// deadline.
type shapeQueue struct {
	shape shape
	team  *teamQueue
	tasks []*pendingTask
	// refusals is shared by all queues of the class with the same refusalKey.
	refusals *refusalSet
	// blocked is set by a refusal and cleared when the tasks are to be tried
	// again.
	blocked bool
}

func (q *shapeQueue) Len() int { return len(q.tasks) }

func (q *shapeQueue) Less(a, b int) bool { return q.tasks[a].before(q.tasks[b]) }

func (q *shapeQueue) Swap(a, b int) {
	q.tasks[a], q.tasks[b] = q.tasks[b], q.tasks[a]
	q.tasks[a].heapIndex, q.tasks[b].heapIndex = a, b
}

// Push implements heap.Interface.
func (q *shapeQueue) Push(v any) {
	task := v.(*pendingTask)
	task.heapIndex = len(q.tasks)
	q.tasks = append(q.tasks, task)
}

// Pop implements heap.Interface.
func (q *shapeQueue) Pop() any {
	last := len(q.tasks) - 1
	task := q.tasks[last]
	q.tasks[last] = nil
	q.tasks = q.tasks[:last]
	return task
}

// teamQueue holds the tasks of one team and class.
type teamQueue struct {
	team   *team
	shapes map[shape]*shapeQueue
	// shapeList holds the same queues for fast iteration.
	shapeList []*shapeQueue
	// blocked is set while all queues are blocked or empty, so that a
	// scheduling cycle skips the team without iterating over its queues.
	blocked bool
}

// head returns the task with the earliest deadline of all queues that are not
// blocked, or nil. It blocks queues whose first task has a known refusal.
func (t *teamQueue) head(refusalKnown func(*pendingTask) bool) *pendingTask {
	if t.blocked {
		return nil
	}
	var first *pendingTask
	for _, q := range t.shapeList {
		if q.blocked || len(q.tasks) == 0 {
			continue
		}
		task := q.tasks[0]
		if refusalKnown(task) {
			q.blocked = true
			continue
		}
		if first == nil || task.before(first) {
			first = task
		}
	}
	t.blocked = first == nil
	return first
}

// classQueue holds the queued tasks of one class by team.
type classQueue struct {
	teams map[string]*teamQueue
	// refusals holds the refusals for lack of capacity. They stay valid until
	// capacity becomes free.
	refusals map[refusalKey]*refusalSet
	size     int
}

func (c *classQueue) push(task *pendingTask, t *team) {
	tq := c.teams[t.name]
	if tq == nil {
		tq = &teamQueue{
			team:   t,
			shapes: map[shape]*shapeQueue{},
		}
		c.teams[t.name] = tq
	}
	taskShape := shapeOf(task.spec)
	q := tq.shapes[taskShape]
	if q == nil {
		q = &shapeQueue{
			shape:    taskShape,
			team:     tq,
			refusals: c.refusalsFor(taskShape),
		}
		tq.shapes[taskShape] = q
		tq.shapeList = append(tq.shapeList, q)
	}
	task.queue = q
	heap.Push(q, task)
	if !q.blocked {
		tq.blocked = false
	}
	c.size++
}

func (c *classQueue) remove(task *pendingTask) {
	q := task.queue
	heap.Remove(q, task.heapIndex)
	task.queue = nil
	c.size--
	if len(q.tasks) > 0 {
		return
	}
	delete(q.team.shapes, q.shape)
	at := slices.Index(q.team.shapeList, q)
	q.team.shapeList = slices.Delete(q.team.shapeList, at, at+1)
	if len(q.team.shapes) == 0 {
		delete(c.teams, q.team.team.name)
	}
}

func (c *classQueue) unblock() {
	for _, t := range c.teams {
		t.blocked = false
		for _, q := range t.shapeList {
			q.blocked = false
		}
	}
}

// rankedTeam is a team's entry in a teamHeap.
type rankedTeam struct {
	queue *teamQueue
	head  *pendingTask
	share float64
}

// teamHeap is a heap of the teams with queued tasks, the smallest share first.
// It is built once per class and scheduling cycle.
type teamHeap []rankedTeam

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(a, b int) bool {
	if h[a].share != h[b].share {
		return h[a].share < h[b].share
	}
	if !h[a].head.deadline.Equal(h[b].head.deadline) {
		return h[a].head.deadline.Before(h[b].head.deadline)
	}
	return h[a].queue.team.name < h[b].queue.team.name
}

func (h teamHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *teamHeap) Push(v any) { *h = append(*h, v.(rankedTeam)) }

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// mostOverdue returns the index of the team whose head is furthest beyond its
// deadline, or -1 if none is overdue. Equal deadlines are ordered by task ID,
// because the order of h depends on map iteration.
func (h teamHeap) mostOverdue(now time.Time) int {
	best := -1
	for index, ranked := range h {
		if ranked.head.deadline.Before(now) && (best < 0 || ranked.head.before(h[best].head)) {
			best = index
		}
	}
	return best
}
