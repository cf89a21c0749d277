package assessor

import (
	"math"
	"slices"
	"time"
)

// CrashWindow is the time from the start of a run to the crash of its executor within
// which the run may have caused the crash. Tasks that crash an executor do so some
// milliseconds after their start.
const CrashWindow = 500 * time.Millisecond

const (
	// momentWindow is the time between crashes of several executors within which one
	// cause is assumed. Agents notice a crash within some 10 ms if they are not busy.
	momentWindow = 300 * time.Millisecond
	// minMoment is the number of other executors that crash in the same moment from
	// which on their share counts as the chance of a crash.
	minMoment = 2
	// priorCrashes in priorSeconds of one executor are assumed before anything is
	// observed. A leader that has observed nothing then needs a fourth crash.
	priorCrashes = 0.25
	priorSeconds = 6.0
	// maxCrashes bounds the crashes that are remembered.
	maxCrashes = 1000
)

// memories are the times after which an observation counts 1/e. The rate that counts is
// the highest: the short one notices within a second or two that crashes begin, the
// long one bridges the time between two waves of crashes.
var memories = [...]time.Duration{2 * time.Second, 10 * time.Second}

// Executor identifies one incarnation of an executor.
type Executor struct {
	ID         string
	BornUnixMs int64
}

// Crashes estimates how often the executors of one service crash by chance. Crashes
// under tasks that were suspected before are left out: these tasks may be the cause.
// The zero value has observed nothing.
type Crashes struct {
	observedAt time.Duration
	hosts      int
	// observed is the decayed time, in seconds of one executor, by memory.
	observed [len(memories)]float64
	crashes  []crash
}

// crash is the end of an executor whose agent has outlived it.
type crash struct {
	executor Executor
	at       time.Duration
	// tasks had just been started; suspected is set if one of them was suspected.
	tasks     []string
	suspected bool
}

// Observe adds the time since the last call, in which that many executors had no
// suspected task in probation.
func (c *Crashes) Observe(hosts int, now time.Duration) {
	if c.observedAt > 0 {
		passed := now - c.observedAt
		for i, memory := range memories {
			c.observed[i] = c.observed[i]*decay(passed, memory) + float64(c.hosts)*passed.Seconds()
		}
	}
	c.observedAt = now
	c.hosts = hosts
}

// Add records that an executor has crashed, and a task that it had just started; "" if
// none is known. suspected is set if an executor had crashed under this task before.
func (c *Crashes) Add(executor Executor, task string, suspected bool, now time.Duration) {
	i := c.index(executor)
	if i < 0 {
		oldest := now - 5*memories[len(memories)-1]
		c.crashes = slices.DeleteFunc(c.crashes, func(old crash) bool { return old.at < oldest })
		if len(c.crashes) == maxCrashes {
			c.crashes = slices.Delete(c.crashes, 0, 1)
		}
		i = len(c.crashes)
		c.crashes = append(c.crashes, crash{
			executor: executor,
			at:       now,
		})
	}
	known := &c.crashes[i]
	known.suspected = known.suspected || suspected
	if task != "" && !slices.Contains(known.tasks, task) {
		known.tasks = append(known.tasks, task)
	}
}

// Withdraw removes a crash, because the executor responds again.
func (c *Crashes) Withdraw(executor Executor) {
	c.crashes = slices.DeleteFunc(c.crashes, func(known crash) bool { return known.executor == executor })
}

// CountIdle returns how often executors with the given id have crashed since a time although
// no task had just started there.
func (c *Crashes) CountIdle(id string, since time.Duration) int {
	count := 0
	for _, known := range c.crashes {
		if known.executor.ID == id && known.at >= since && len(known.tasks) == 0 {
			count++
		}
	}
	return count
}

// Chance returns the probability that an executor crashes by chance shortly after it
// has started the task, as that executor has.
func (c *Crashes) Chance(executor Executor, task string, now time.Duration) float64 {
	moment := now
	if i := c.index(executor); i >= 0 {
		moment = c.crashes[i].at
	}
	chance := -math.Expm1(-c.rate(task, now) * CrashWindow.Seconds())
	others := 0
	for _, other := range c.crashes {
		if other.speaksForChance(task) && (other.at-moment).Abs() <= momentWindow {
			others++
		}
	}
	if others >= minMoment {
		chance = max(chance, min(1, float64(others)/float64(max(c.hosts-1, 1))))
	}
	return chance
}

// rate returns the crashes by chance of one executor in a second.
func (c *Crashes) rate(task string, now time.Duration) float64 {
	highest := 0.0
	for i, memory := range memories {
		crashes := priorCrashes
		for _, other := range c.crashes {
			if other.speaksForChance(task) {
				crashes += decay(now-other.at, memory)
			}
		}
		highest = max(highest, crashes/(priorSeconds+c.observed[i]))
	}
	return highest
}

// speaksForChance reports whether the crash is one that the task did not cause.
func (k *crash) speaksForChance(task string) bool {
	return !k.suspected && !slices.Contains(k.tasks, task)
}

func (c *Crashes) index(executor Executor) int {
	return slices.IndexFunc(c.crashes, func(known crash) bool { return known.executor == executor })
}

func decay(passed, memory time.Duration) float64 {
	return math.Exp(-passed.Seconds() / memory.Seconds())
}
