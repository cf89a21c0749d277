package appraiser_test

import (
	"fmt"
	"testing"
	"time"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// loadedLeader returns a leader with 300 hosts of 16 processors and 3,000 open tasks
// of 600 jobs in 20 queues, of which half run.
func loadedLeader() (*leader, []*tracker.Task) {
	l := newLeader()
	var tasks []*tracker.Task
	for i := range 600 {
		job := l.add(&wire.Job{
			Id:       fmt.Sprintf("%016x", i),
			Queue:    fmt.Sprintf("queue-%d", i%20),
			Priority: int32(i % 4),
			Steps:    []*wire.JobStep{newStep(5, 4, 10*time.Second)},
		})
		l.waiting[fmt.Sprintf("%016x.0.0", i)] = l.now
		if i%2 == 0 {
			for range 5 {
				tasks = append(tasks, l.run(job, 0))
			}
		}
	}
	for i := range 300 {
		l.hosts = append(l.hosts, newHost(fmt.Sprintf("host-%03d", i), 16))
	}
	return l, tasks
}

// BenchmarkUpdate measures what one estimate costs the leader; it computes two each
// second.
func BenchmarkUpdate(b *testing.B) {
	l, tasks := loadedLeader()
	for i, task := range tasks {
		l.hosts[i%len(l.hosts)].AddAssigned(task)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.estimate()
	}
}

// BenchmarkCycle measures the parts of a cycle that the same state costs in any case:
// the hosts, the order and the plan.
func BenchmarkCycle(b *testing.B) {
	l, tasks := loadedLeader()
	p := &planner.Planner{}
	b.ReportAllocs()
	for b.Loop() {
		hosts := make([]*planner.Host, 0, len(l.hosts))
		for _, host := range l.hosts {
			hosts = append(hosts, newHost(host.Name, 16))
		}
		for i, task := range tasks {
			hosts[i%len(hosts)].AddAssigned(task)
		}
		var groups []*tracker.Group
		for _, job := range l.jobs {
			groups = append(groups, job.Ready(nowMs)...)
		}
		planner.Order(groups, nowMs)
		p.Plan(groups, hosts)
	}
}
