package submitter

import (
	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/screener"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// Preview sets the queue's policy in a job and returns the decision on it, nil if
// admission is off. The error is a RefusalError if the job is invalid. The decision
// counts for nothing: it is made by a Screener of its own, which knows neither the kinds
// of jobs that this entry is refusing at present nor what it has admitted since the
// estimate.
func (s *Submitter) Preview(queue *wire.Queue, job *wire.Job) (*screener.Decision, error) {
	if err := tracker.Validate(job); err != nil {
		return nil, damaskspread.NotRun(damaskspread.ReasonBadRequest, "%v", err)
	}
	s.applyPolicy(queue, job)
	if s.Screener == nil {
		return nil, nil
	}
	estimate, age := s.Load.Load()
	apart := &screener.Screener{
		FromPriority: s.Screener.FromPriority,
		Random:       func() float64 { return 0 },
	}
	return apart.Decide(estimate, age, job), nil
}
