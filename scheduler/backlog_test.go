package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// BenchmarkBacklog measures one scheduling cycle of 100 ms with a large backlog. At the
// target size of 3,100 hosts, 37 tasks end, 37 are submitted and 37 start in a
// cycle, with 36,000 pending; smaller runs scale all numbers down. The time per
// operation covers the replayer and all planners. plan-ns and observe-ns are the
// times of a single planner.
func BenchmarkBacklog(b *testing.B) {
	for _, c := range []struct{ part, entries int }{{4, 1}, {2, 1}, {1, 1}, {1, 3}} {
		b.Run(fmt.Sprintf("hosts=%d/entries=%d", 3_100/c.part, c.entries), func(b *testing.B) {
			benchmarkBacklog(b, c.part, c.entries)
		})
	}
}

func benchmarkBacklog(b *testing.B, part, entries int) {
	c := newCluster(entries, nil)
	for h := range 3_100 / part {
		c.join(fmt.Sprint("h", h), fmt.Sprint("z", h%10), 32_000, 120)
	}
	random := rand.New(rand.NewPCG(1, 1))
	next := 0
	submit := func() {
		next++
		s := spec(fmt.Sprint("t", next), false, 2_000+random.Int64N(1_600), 1+random.Int64N(10))
		s.Team = fmt.Sprint("team", random.IntN(680/part))
		c.submit(s)
	}
	for range (35_400 + 36_000) / part {
		submit()
	}
	for range 400 {
		c.step(tick)
	}
	running := c.claims()
	b.Logf("%d running, %d pending", len(running), c.state.PendingCount())
	starts, planning, rounds := 0, time.Duration(0), 0
	c.observeTime = 0
	b.ReportAllocs()
	for b.Loop() {
		rounds++
		for range 37 / part {
			n := random.IntN(len(running))
			c.finish(running[n].GetSpec().GetTask(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
			running[n] = running[len(running)-1]
			running = running[:len(running)-1]
			submit()
		}
		c.now = c.now.Add(tick)
		for _, p := range c.planners {
			began := time.Now()
			records := p.Plan(c.now, 0)
			planning += time.Since(began)
			c.apply(records...)
			for _, record := range records {
				if body := record.GetTaskClaimed(); body != nil {
					running = append(running, c.task(body.GetTask()))
					starts++
				}
			}
		}
	}
	each := float64(rounds * entries)
	b.ReportMetric(float64(planning.Nanoseconds())/each, "plan-ns/round")
	b.ReportMetric(float64(c.observeTime.Nanoseconds())/each, "observe-ns/round")
	b.ReportMetric(float64(starts)/float64(rounds), "starts/round")
}
