package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"damaskspread.example/damaskspread/scheduler"
	"damaskspread.example/damaskspread/wire"
)

// Guards against claims that exceed the capacity of a host or the quota of a
// team, lost tasks and starvation. Two planners get random bursts of submissions,
// cancellations, evictions and zone changes; the replayed state is checked after
// every step.
func TestPlannersStayWithinCapacityAndQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := &wire.Resources{Millicores: 6_000}
		c := newCluster(2, func(team string) scheduler.Team {
			if team == "limited" {
				return scheduler.Team{Quota: quota}
			}
			return scheduler.Team{}
		})
		hosts := rapid.IntRange(2, 6).Draw(t, "hosts")
		for h := range hosts {
			c.join(fmt.Sprint("h", h), fmt.Sprint("z", h%2), 8_000, 16)
		}
		next := 0
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				for range 1 + random.IntN(10) {
					next++
					s := spec(fmt.Sprint("t", next), random.IntN(4) == 0, 500+random.Int64N(6_000), 1+random.Int64N(8))
					s.Team = []string{"limited", "free"}[random.IntN(2)]
					s.CanCheckpoint = random.IntN(2) == 0
					c.submit(s)
				}
			case 2:
				c.setZone("z0", random.IntN(2) == 0)
			case 3:
				for i := range next {
					if random.IntN(3) == 0 {
						c.apply(&wire.Record{Body: &wire.Record_CancelRequested{CancelRequested: &wire.CancelRequested{Task: fmt.Sprint("t", i)}}})
					}
				}
			case 4:
				for _, task := range c.claims() {
					if random.IntN(2) == 0 {
						c.finish(task.GetSpec().GetTask(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
					}
				}
			default:
				c.stopTasks()
			}
			c.step(tick)
			checkBounds(t, c, quota)
		}
		c.setZone("z0", true)
		for i := 0; i < 4_000 && (c.state.PendingCount() > 0 || len(c.claims()) > 0); i++ {
			c.step(tick)
			c.stopTasks()
			checkBounds(t, c, quota)
			if i%10 == 9 {
				for _, task := range c.claims() {
					c.finish(task.GetSpec().GetTask(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
				}
			}
		}
		for task := range c.state.Tasks() {
			if result := task.GetResult(); result != wire.TaskResult_TASK_RESULT_SUCCEEDED && result != wire.TaskResult_TASK_RESULT_CANCELED &&
				(result != wire.TaskResult_TASK_RESULT_UNPLACEABLE || task.GetSpec().GetTeam() != "limited") {
				t.Fatalf("task %s neither succeeded nor was canceled: %v", task.GetSpec().GetTask(), task)
			}
		}
	})
}

func checkBounds(t *rapid.T, c *cluster, quota *wire.Resources) {
	used := int64(0)
	for _, task := range c.claims() {
		if task.GetSpec().GetTeam() == "limited" {
			used += task.GetSpec().GetResources().GetMillicores()
		}
	}
	if used > quota.GetMillicores() {
		t.Fatalf("team limited exceeds its quota: %d of %d millicores in use", used, quota.GetMillicores())
	}
	for host := range c.state.Hosts() {
		free := c.state.Free(host.GetSpec().GetHost())
		if free.GetMillicores() < 0 || free.GetMemoryBytes() < 0 {
			t.Fatalf("capacity of host %s exceeded: %v free", host.GetSpec().GetHost(), free)
		}
	}
}
