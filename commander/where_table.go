package commander

import (
	"fmt"
	"strings"
	"time"
)

func (c *Commander) printWhere(output *whereOutput) error {
	return c.print(output, func(t *table) {
		t.row("STEP", "TASKS", "TRIED", "START NOW", "GO FIRST", "CLASS", "COST", "SLACK", "HOSTS", "OBSTACLES", "OBSTACLES OF THE REST")
		for _, step := range output.Steps {
			step.row(t)
		}
		t.row(fmt.Sprintf("queue %s: service %s, priority %d, order by %s, %d hosts, leader %s",
			output.Queue, output.Service, output.Priority, output.Order, output.Hosts, output.Entry))
		t.row(output.Admission.text())
	})
}

func (s *whereStepOutput) row(t *table) {
	if !s.Ready {
		t.row(s.Step, s.Tasks, 0, 0, "", "not ready", "", "", "", "", "")
		return
	}
	var hosts []string
	for _, host := range s.Hosts {
		hosts = append(hosts, fmt.Sprintf("%d %s", host.Tasks, host.Host))
	}
	if s.MoreHosts > 0 {
		hosts = append(hosts, fmt.Sprintf("%d more hosts", s.MoreHosts))
	}
	t.row(s.Step, s.Tasks, s.TasksTried, s.Starts, fmt.Sprintf("%d of %d", s.StepsFirst, s.StepsWaiting), s.CostClass,
		fmt.Sprintf("%.1f", s.CostAmount), time.Duration(s.SlackMs)*time.Millisecond,
		strings.Join(hosts, ", "), formatCounts(s.Obstacles), formatCounts(s.RemainingObstacles))
}

func (a *whereAdmissionOutput) text() string {
	if a == nil {
		return "admission off"
	}
	milliseconds := func(value int64) time.Duration { return time.Duration(value) * time.Millisecond }
	verdict := "accepted"
	if a.Refused {
		verdict = fmt.Sprintf("refused, retry after %s", milliseconds(a.RetryAfterMs))
	}
	if a.LimitMs == 0 {
		return fmt.Sprintf("admission: %s (%s)", verdict, a.Reason)
	}
	return fmt.Sprintf("admission: %s (%s): wait %s and run time %s, limit %s, estimate %s old", verdict, a.Reason,
		milliseconds(a.WaitMs), milliseconds(a.PathMs), milliseconds(a.LimitMs), milliseconds(a.EstimateAgeMs))
}
