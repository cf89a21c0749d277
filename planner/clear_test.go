package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/wire"
)

// clearPlanner knows that the image loud interferes with every serving image and
// the image quiet with none.
func clearPlanner(clearHosts float64) *planner.Planner {
	return &planner.Planner{
		Weight: func(interfering, _ string) float64 {
			if interfering == "quiet" {
				return 0.1
			}
			return 8
		},
		BestEffortSpeed: 0.8,
		ClearHosts:      clearHosts,
	}
}

// servedHosts returns 11 hosts of 16 cores with services of four images that request 60%
// to 70% of them. Each has 4 to 7 tasks, of which a host runs at most two.
func servedHosts(t *testing.T, p *planner.Planner, seed uint64) []*planner.Host {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 30))
	var hosts []*planner.Host
	for i := range 11 {
		hosts = append(hosts, newHost(fmt.Sprintf("host-%02d", i), 16))
	}
	for requested := int64(0); requested < 106_000; {
		step := serving(fmt.Sprint("serving-", random.IntN(4)))
		step.Count = int32(4 + random.IntN(4))
		step.Resources.Millicores = int64(2500 + random.IntN(1300))
		step.AntiAffinity = 2
		plan := p.Plan(readyGroups(newJob(fmt.Sprint("service-", requested), 0, step)), hosts)
		assert.Equal(t, len(plan), int(step.GetCount()))
		requested += int64(step.GetCount()) * step.GetResources().GetMillicores()
	}
	return hosts
}

// Guards against services that take a part of every host while they need two thirds of
// them: a best-effort step that interferes with all of them then starts nowhere, in 43 of
// 50 loads. Before it, best-effort tasks that interfere with none have started; they must
// not take the hosts that are kept clear.
func TestServicesLeaveHostsClear(t *testing.T) {
	for _, test := range []struct {
		clearHosts  float64
		least, most int
	}{
		{clearHosts: 0, most: 10},
		{clearHosts: 0.1, least: 45, most: 50},
	} {
		started := 0
		for seed := range uint64(50) {
			p := clearPlanner(test.clearHosts)
			hosts := servedHosts(t, p, seed)
			assert.Equal(t, len(p.Plan(readyGroups(newJob("quiet", 2, bestEffort(8, "quiet"))), hosts)), 8)
			if len(p.Plan(readyGroups(newJob("loud", 2, bestEffort(8, "loud"))), hosts)) == 8 {
				started++
			}
		}
		assert.Assert(t, started >= test.least && started <= test.most, "%d of 50 started with %v", started, test.clearHosts)
	}
}

// Guards against a service that doesn't start because hosts are kept clear.
func TestServicesTakeClearHostsLast(t *testing.T) {
	p := clearPlanner(0.5)
	hosts := []*planner.Host{newHost("a", 8), newHost("b", 8), newHost("c", 8), newHost("d", 8)}
	step := func(count int32) *wire.JobStep {
		s := serving("im")
		s.Count = count
		return s
	}
	assert.DeepEqual(t, countByHost(p.Plan(readyGroups(newJob("1", 0, step(4))), hosts)), map[string]int{"a": 2, "b": 2})
	assert.DeepEqual(t, countByHost(p.Plan(readyGroups(newJob("2", 0, step(4))), hosts)), map[string]int{"c": 2, "d": 2})
}
