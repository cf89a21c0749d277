package coordinator

import (
	"maps"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// applyDestinations redirects the open jobs whose queue has another service or admission
// advice by the configuration in force. Jobs of queues that it doesn't have keep their
// destination.
func (c *Coordinator) applyDestinations(changedJobs map[string]bool, epoch int64) {
	config, _ := c.Operations.Config()
	jobs := c.unappliedJobs(config, changedJobs)
	c.appliedConfig = config
	if len(jobs) == 0 {
		return
	}
	queues := map[string]*wire.Queue{}
	for _, queue := range config.GetQueues() {
		queues[queue.GetName()] = queue
	}
	redirected := map[string]int{}
	for _, job := range jobs {
		queue := queues[job.Spec().GetQueue()]
		if queue != nil && redirectJob(job, tracker.DestinationOf(queue, config.GetVersion()), epoch) {
			redirected[queue.GetName()]++
		}
	}
	for name, count := range redirected {
		log.Info().Str("queue", name).Str("service", queues[name].GetService()).Int64("version", config.GetVersion()).Int("jobs", count).
			Msg("accepted jobs redirected by the configuration")
	}
}

// unappliedJobs returns the open jobs to which the configuration has not been applied: all
// of them if it is new, otherwise those that have changed.
func (c *Coordinator) unappliedJobs(config *wire.FleetConfig, changedJobs map[string]bool) []*tracker.Job {
	ids := maps.Keys(changedJobs)
	if config != c.appliedConfig {
		ids = maps.Keys(c.jobs)
	}
	var jobs []*tracker.Job
	for id := range ids {
		if c.isOpen(id) {
			jobs = append(jobs, c.jobs[id])
		}
	}
	return jobs
}

// redirectJob reports whether the tasks of the job start elsewhere from now on.
func redirectJob(job *tracker.Job, to tracker.Destination, epoch int64) bool {
	from := job.Service()
	if !job.Redirect(to) {
		return false
	}
	tracer.Write(&tracer.JobRedirected{
		Job:           job.Spec().GetId(),
		Queue:         job.Spec().GetQueue(),
		From:          from,
		To:            to.Service,
		NeedsAdvice:   to.NeedsAdvice,
		ConfigVersion: to.ConfigVersion,
		Epoch:         epoch,
	})
	return true
}
