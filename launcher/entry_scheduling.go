package launcher

import (
	"time"

	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/coordinator"
	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/platform"
	"damaskspread.example/damaskspread/submitter"
)

// assembleScheduling builds the election, and what schedules jobs while this process leads.
func (e *Entry) assembleScheduling() {
	s := e.Settings
	e.elector = &elector.Elector{
		Log:        e.logRelayer,
		Clock:      e.Clock,
		Elapsed:    e.process.elapsed,
		Process:    s.Process().ID(),
		Address:    s.Listen().Agents(),
		ClaimDelay: time.Duration(float64(maxClaimDelay) * (1 - min(s.Process().Processors(), 1))),
	}
	e.leadersTail = e.newTailer(elector.Topic, e.elector.Apply)
	e.leadersTail.ReadWait = leaderTopicReadWait
	e.elector.Tail = e.leadersTail
	interferenceModel := &estimator.InterferenceModel{}
	e.coordinator = &coordinator.Coordinator{
		Log:        e.logRelayer,
		Index:      e.index,
		JobsTail:   e.jobsTail,
		Operations: e.config,
		Elector:    e.elector,
		Planner: &planner.Planner{
			Weight:          interferenceModel.Weight,
			CostOrder:       s.Scheduling().CostOrder(),
			LostWork:        s.Scheduling().LostWorkPreemption(),
			BestEffortWait:  s.Scheduling().BestEffortWait(),
			BestEffortSpeed: s.Scheduling().BestEffortSpeed(),
			ClearHosts:      s.Scheduling().ClearHosts(),
		},
		InterferenceModel: interferenceModel,
		Screen:            e.submitter,
		Clock:             e.Clock,
		Elapsed:           e.process.elapsed,
		LeaseDuration:     leaseDuration(s.Bounds().LeaseMax()),
		LongestLease:      s.Bounds().LeaseMax(),
		CancelWithin:      s.Bounds().CancelWithin(),
		StatusRetention:   s.Bounds().StatusFor(),
		LearnRunTimes:     s.Scheduling().LearnedRunTimes(),
		SpeculativeCopies: s.Scheduling().SpeculativeCopies(),
	}
	if address := s.Peers().Advice(); address != "" {
		e.coordinator.Advisor = &platform.AdviceClient{
			Address: address,
			HTTP:    connector.NewHTTPClient(),
		}
	}
	if s.Scheduling().PacedRecovery() {
		e.coordinator.RecoveryTime = submitter.ReturnTime
	}
	if s.Scheduling().Admission() {
		e.assembleLoad()
	}
	e.coordinator.Init()
	e.elector.OnLeadershipWon = e.coordinator.StartLeading
	e.elector.OnLeadershipLost = e.coordinator.StopLeading
	e.elector.WaitingSince = e.coordinator.WaitingSince
	e.elector.Probe = e.coordinator.ProbeLog
	e.index.OnChange = e.coordinator.JobsChanged
}

// leaseDuration is the duration of the leases that the leader grants, from the longest one
// that executors accept.
func leaseDuration(leaseMax time.Duration) time.Duration {
	return min(time.Duration(float64(leaseMax)*leaseShare), longestLease)
}
