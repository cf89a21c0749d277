package coordinator

import (
	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// applyDestinations redirects the open jobs whose queue has another service or admission
// advice by the configuration in force. Jobs of queues that it doesn't have keep their
// destination. Without a new configuration only the changed jobs are looked at.
func (c *Coordinator) applyDestinations(changedJobs map[string]bool, epoch int64) {
	config, _ := c.Operations.Config()
	if config == c.appliedConfig && len(changedJobs) == 0 {
		return
	}
	queues := map[string]*wire.Queue{}
	for _, queue := range config.GetQueues() {
		queues[queue.GetName()] = queue
	}
	redirected := map[string]int{}
	redirect := func(job *tracker.Job) {
		queue := queues[job.Spec().GetQueue()]
		if queue != nil && !job.Over() && redirectJob(job, tracker.DestinationOf(queue, config.GetVersion()), epoch) {
			redirected[queue.GetName()]++
		}
	}
	if config != c.appliedConfig {
		c.appliedConfig = config
		for _, job := range c.jobs {
			redirect(job)
		}
	} else {
		for id := range changedJobs {
			if job := c.jobs[id]; job != nil {
				redirect(job)
			}
		}
	}
	for name, jobs := range redirected {
		log.Info().Str("queue", name).Str("service", queues[name].GetService()).Int64("version", config.GetVersion()).Int("jobs", jobs).
			Msg("accepted jobs redirected by the configuration")
	}
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
