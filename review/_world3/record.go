package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and checks the rule TWICE on what the
// executors saw.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	began   time.Time
	running map[string]map[runOn]bool
	done    map[string][]*doneRun
	starts  map[string]int
	// failed counts the ends of a task with the cause failed.
	failed map[string]int
	// ends are the ends by their cause.
	ends     map[string][]string
	suspects []*secondRun
	overlaps []string
	// since is when each task that has run has no run any more, and stops are the orders to
	// stop a run that was in progress.
	since      map[string]time.Duration
	stops      []stopped
	startCount int
	doneCount  int
}

// runOn is a run on one life of an executor.
type runOn struct {
	executor string
	key      runKey
}

// doneRun is a run that has ended done. It is noted once lastSeen has reached its end,
// unless the lease of its executor lapsed in between.
type doneRun struct {
	on            runOn
	lapsed, noted bool
}

// stopped is an order to stop a run, with the other tasks of the step that had no run in
// progress then, and since when.
type stopped struct {
	key  runKey
	at   time.Duration
	away map[string]time.Duration
}

// secondRun is a start after a run of the task has ended done.
type secondRun struct {
	on    runOn
	at    time.Duration
	after []*doneRun
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:    file,
		out:     bufio.NewWriter(file),
		began:   time.Now(),
		running: map[string]map[runOn]bool{},
		done:    map[string][]*doneRun{},
		starts:  map[string]int{},
		failed:  map[string]int{},
		ends:    map[string][]string{},
		since:   map[string]time.Duration{},
	}, nil
}

func (r *record) write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, values...)
}

func (r *record) line(format string, values ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) start(executor string, key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("%s starts %s", executor, key)
	on := runOn{executor, key}
	r.startCount++
	r.starts[key.task]++
	if len(r.running[key.task]) > 0 {
		r.overlaps = append(r.overlaps, fmt.Sprintf("%s on %s starts while another run is in progress", key, executor))
	}
	if len(r.done[key.task]) > 0 {
		r.suspects = append(r.suspects, &secondRun{on: on, at: time.Since(r.began), after: r.done[key.task]})
	}
	if r.running[key.task] == nil {
		r.running[key.task] = map[runOn]bool{}
	}
	r.running[key.task][on] = true
	delete(r.since, key.task)
}

func (r *record) over(executor string, key runKey, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("%s: %s ends %s", executor, key, how)
	delete(r.running[key.task], runOn{executor, key})
	if len(r.running[key.task]) == 0 {
		r.since[key.task] = time.Since(r.began)
	}
	r.ends[how] = append(r.ends[how], fmt.Sprintf("%s on %s has ended %s at %.3f s", key, executor, how, time.Since(r.began).Seconds()))
	switch how {
	case "done":
		r.doneCount++
		r.done[key.task] = append(r.done[key.task], &doneRun{on: runOn{executor, key}})
	case "failed":
		r.failed[key.task]++
	}
}

// stop records an order to stop a run that is in progress.
func (r *record) stop(key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := stopped{key: key, at: time.Since(r.began), away: map[string]time.Duration{}}
	step := key.task[:strings.LastIndexByte(key.task, '.')+1]
	for task, since := range r.since {
		if strings.HasPrefix(task, step) {
			order.away[task] = since
		}
	}
	r.stops = append(r.stops, order)
}

// avail returns what breaks the rule AVAIL for the step: an order to stop a task of it
// while mayMiss others are not at work for notice.
func (r *record) avail(step string, mayMiss int, notice time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	for _, order := range r.stops {
		away := 0
		for _, since := range order.away {
			if order.at-since >= notice {
				away++
			}
		}
		if strings.HasPrefix(order.key.task, step+".") && away >= mayMiss {
			broken = append(broken, fmt.Sprintf("%s is stopped at %.3f s while %d others are away, since %v", order.key, order.at.Seconds(), away, order.away))
		}
	}
	return broken
}

// lapse records that the lease of an executor is over.
func (r *record) lapse(executor string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("%s: the lease is over", executor)
	for _, runs := range r.done {
		for _, run := range runs {
			run.lapsed = run.lapsed || run.on.executor == executor && !run.noted
		}
	}
}

// noted records that lastSeen has reached the end of a run.
func (r *record) noted(executor string, key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.done[key.task] {
		if run.on == (runOn{executor, key}) {
			run.noted = !run.lapsed
		}
	}
}

// twice returns what breaks the rule TWICE: two runs of a task at the same time, or a
// start after a run has ended done, if that end is taken note of then or later.
func (r *record) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := append([]string(nil), r.overlaps...)
	for _, second := range r.suspects {
		for _, first := range second.after {
			if first.noted {
				broken = append(broken, fmt.Sprintf("%s on %s starts at %.3f s after %s on %s has ended done, and that end is taken note of",
					second.on.key, second.on.executor, second.at.Seconds(), first.on.key, first.on.executor))
				break
			}
		}
	}
	return broken
}

// close writes the verdict and the file.
func (r *record) close(verdict string, lines []string) {
	for i, line := range lines {
		if i == 20 {
			r.write("... and %d more", len(lines)-i)
			break
		}
		r.write("%s", line)
	}
	r.write("%s", verdict)
	_ = r.out.Flush()
	_ = r.file.Close()
	fmt.Println(verdict)
}

// started returns the number of starts.
func (r *record) started() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startCount
}

// runningTasks returns the tasks of a job with a run in progress.
func (r *record) runningTasks(job string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var tasks []string
	for task, runs := range r.running {
		if strings.HasPrefix(task, job+".") && len(runs) > 0 {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// failedEnds returns the number of runs that have ended failed.
func (r *record) failedEnds() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0
	for _, count := range r.failed {
		sum += count
	}
	return sum
}

// endsOf returns the ends with a cause.
func (r *record) endsOf(how string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.ends[how]...)
}
