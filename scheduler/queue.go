package scheduler

import (
	"container/heap"
	"math/bits"
	"slices"
	"strings"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// Waits of tasks that declare none.
const (
	defaultBatchWait  = time.Hour
	defaultUrgentWait = 5 * time.Second
)

// location is where a pending task is kept.
type location int

const (
	// foreign tasks belong to another entry.
	foreign location = iota
	queued
	delayed
	reserved
	stuck
	claimed
)

// item is a pending task.
type item struct {
	spec     *wire.TaskSpec
	attempt  int32
	avoid    []string
	deadline time.Time
	location location
	team     *team
	need     *wire.Resources
	urgent   bool
	queue    *shapeQueue
	position int
	// since is when the task came to its location; a delayed task is due
	// at that time.
	since    time.Time
	failures int
	refusal  *damaskspread.PlacementRefusedError
	host     string
	record   string
	chosen   string
}

// before orders tasks by the end of their wait.
func (i *item) before(other *item) bool {
	if !i.deadline.Equal(other.deadline) {
		return i.deadline.Before(other.deadline)
	}
	return i.spec.GetTask() < other.spec.GetTask()
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

// shape groups tasks of one kind whose needs lie within a factor of two, so
// that one refusal stands for all of them.
type shape struct {
	millicores, memory int
	accelerators       int64
	zones              string
	kind               string
	firm               bool
}

func shapeOf(spec *wire.TaskSpec) shape {
	need := spec.GetResources()
	return shape{
		millicores:   bits.Len64(uint64(need.GetMillicores())),
		memory:       bits.Len64(uint64(need.GetMemoryBytes())),
		accelerators: need.GetAccelerators(),
		zones:        strings.Join(spec.GetZones(), ","),
		kind:         spec.GetKind(),
		firm:         !spec.GetCanCheckpoint(),
	}
}

// shapeQueue orders the tasks of one team, class and shape by the end of
// their wait.
type shapeQueue struct {
	shape shape
	team  *teamQueue
	items []*item
	// refused is shared by the queues whose tasks differ only in their
	// processors and memory.
	refused *refusals
	// blocked is set after a refusal until room appears.
	blocked bool
}

func (q *shapeQueue) Len() int { return len(q.items) }

func (q *shapeQueue) Less(a, b int) bool { return q.items[a].before(q.items[b]) }

func (q *shapeQueue) Swap(a, b int) {
	q.items[a], q.items[b] = q.items[b], q.items[a]
	q.items[a].position, q.items[b].position = a, b
}

// Push implements heap.Interface.
func (q *shapeQueue) Push(v any) {
	i := v.(*item)
	i.position = len(q.items)
	q.items = append(q.items, i)
}

// Pop implements heap.Interface.
func (q *shapeQueue) Pop() any {
	last := len(q.items) - 1
	i := q.items[last]
	q.items[last] = nil
	q.items = q.items[:last]
	return i
}

// teamQueue holds the tasks of one team and class.
type teamQueue struct {
	team   *team
	shapes map[shape]*shapeQueue
	// list holds the same queues; head visits them often.
	list []*shapeQueue
	// blocked is set while every queue is blocked, so that a round passes the
	// team without a look at its queues.
	blocked bool
}

// head returns the task whose wait ends first among those not blocked. A
// queue whose first task meets a settled refusal is blocked on the way.
func (t *teamQueue) head(settled func(*item) bool) *item {
	if t.blocked {
		return nil
	}
	var first *item
	for _, q := range t.list {
		if q.blocked || len(q.items) == 0 {
			continue
		}
		i := q.items[0]
		if settled(i) {
			q.blocked = true
			continue
		}
		if first == nil || i.before(first) {
			first = i
		}
	}
	t.blocked = first == nil
	return first
}

// classQueue holds the tasks of one class by team.
type classQueue struct {
	teams map[string]*teamQueue
	// refused holds the refusals that stay true until room appears.
	refused map[refusalKey]*refusals
	size    int
}

func (c *classQueue) push(i *item, t *team) {
	tq := c.teams[t.name]
	if tq == nil {
		tq = &teamQueue{
			team:   t,
			shapes: map[shape]*shapeQueue{},
		}
		c.teams[t.name] = tq
	}
	key := shapeOf(i.spec)
	q := tq.shapes[key]
	if q == nil {
		q = &shapeQueue{
			shape:   key,
			team:    tq,
			refused: c.refusalsOf(key),
		}
		tq.shapes[key] = q
		tq.list = append(tq.list, q)
	}
	i.queue = q
	heap.Push(q, i)
	if !q.blocked {
		tq.blocked = false
	}
	c.size++
}

func (c *classQueue) remove(i *item) {
	q := i.queue
	heap.Remove(q, i.position)
	i.queue = nil
	c.size--
	if len(q.items) > 0 {
		return
	}
	delete(q.team.shapes, q.shape)
	at := slices.Index(q.team.list, q)
	q.team.list = slices.Delete(q.team.list, at, at+1)
	if len(q.team.shapes) == 0 {
		delete(c.teams, q.team.team.name)
	}
}

func (c *classQueue) unblock() {
	for _, t := range c.teams {
		t.blocked = false
		for _, q := range t.list {
			q.blocked = false
		}
	}
}

// refusalKey groups tasks that differ only in their processors and memory.
type refusalKey struct {
	accelerators int64
	zones        string
	firm         bool
}

// refusals holds the smallest refused needs of a group of tasks.
type refusals struct {
	list []refusedNeed
}

type refusedNeed struct {
	need    *wire.Resources
	refusal *damaskspread.PlacementRefusedError
}

func (c *classQueue) refusalsOf(s shape) *refusals {
	key := refusalKey{
		accelerators: s.accelerators,
		zones:        s.zones,
		firm:         s.firm,
	}
	r := c.refused[key]
	if r == nil {
		r = &refusals{}
		c.refused[key] = r
	}
	return r
}

// forget drops all refusals. Queues keep their pointers to the groups.
func (c *classQueue) forget() {
	for _, r := range c.refused {
		r.list = r.list[:0]
	}
}

// known returns the refusal of a task that needs no more of anything. A
// refusal by the policy is too slow to repeat for each waiting task.
func (r *refusals) known(need *wire.Resources) *damaskspread.PlacementRefusedError {
	for _, known := range r.list {
		if replayer.Fits(known.need, need) {
			return known.refusal
		}
	}
	return nil
}

func (r *refusals) remember(need *wire.Resources, refusal *damaskspread.PlacementRefusedError) {
	r.list = slices.DeleteFunc(r.list, func(known refusedNeed) bool {
		return replayer.Fits(need, known.need)
	})
	r.list = append(r.list, refusedNeed{
		need:    need,
		refusal: refusal,
	})
}

// ranked is a team's place in one round.
type ranked struct {
	queue *teamQueue
	head  *item
	share float64
}

// round orders teams by share, the smallest first. It is built once per round
// from the teams, not from the tasks.
type round []ranked

func (r round) Len() int { return len(r) }

func (r round) Less(a, b int) bool {
	if r[a].share != r[b].share {
		return r[a].share < r[b].share
	}
	if !r[a].head.deadline.Equal(r[b].head.deadline) {
		return r[a].head.deadline.Before(r[b].head.deadline)
	}
	return r[a].queue.team.name < r[b].queue.team.name
}

func (r round) Swap(a, b int) { r[a], r[b] = r[b], r[a] }

// Push implements heap.Interface.
func (r *round) Push(v any) { *r = append(*r, v.(ranked)) }

// Pop implements heap.Interface.
func (r *round) Pop() any {
	last := len(*r) - 1
	v := (*r)[last]
	*r = (*r)[:last]
	return v
}

// overdue returns the position of the team whose head has waited longest
// beyond its max_wait, or -1. Ties go by task, as the order of r depends on
// the iteration over a map.
func (r round) overdue(now time.Time) int {
	best := -1
	for i, v := range r {
		if v.head.deadline.Before(now) && (best < 0 || v.head.before(r[best].head)) {
			best = i
		}
	}
	return best
}
