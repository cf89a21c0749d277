package tracker

import "damaskspread.example/damaskspread/wire"

// Destination is where the tasks of a job run: what the configuration of its queue, and not
// the acceptance of the job, decides. See docs/design/queue_policy.md.
type Destination struct {
	Service     string
	NeedsAdvice bool
	// ConfigVersion is that of the configuration.
	ConfigVersion int64
}

// DestinationOf returns the destination of the jobs of a queue by a version of the
// configuration.
func DestinationOf(queue *wire.Queue, version int64) Destination {
	return Destination{
		Service:       queue.GetService(),
		NeedsAdvice:   queue.GetAdvice() != nil,
		ConfigVersion: version,
	}
}

// acceptedDestination returns the destination by which a job was accepted.
func acceptedDestination(job *wire.Job) Destination {
	return Destination{
		Service:       job.GetService(),
		NeedsAdvice:   job.GetNeedsAdvice(),
		ConfigVersion: job.GetConfigVersion(),
	}
}

// Service returns the service on whose executors the tasks start.
func (j *Job) Service() string { return j.destination.Service }

// NeedsAdvice reports whether executors need a ticket for the steps of the job.
func (j *Job) NeedsAdvice() bool { return j.destination.NeedsAdvice }

// Redirect gives the tasks that start from now on a destination, unless that of a later
// configuration is known: the entry that accepted the job, or an earlier leader, may have
// had one. It reports whether the tasks start elsewhere now. Runs in progress go on.
func (j *Job) Redirect(to Destination) bool {
	from := j.destination
	if to.ConfigVersion < from.ConfigVersion {
		return false
	}
	j.destination = to
	if to.Service == from.Service && to.NeedsAdvice == from.NeedsAdvice {
		return false
	}
	j.redirected = true
	j.markChanged()
	return true
}

// storedDestination returns the destination to store, nil if the job has kept that of its
// acceptance.
func (j *Job) storedDestination() *wire.JobDestination {
	if !j.redirected {
		return nil
	}
	return &wire.JobDestination{
		Service:       j.destination.Service,
		NeedsAdvice:   j.destination.NeedsAdvice,
		ConfigVersion: j.destination.ConfigVersion,
	}
}

func (j *Job) restoreDestination(stored *wire.JobDestination) {
	if stored == nil || stored.GetConfigVersion() < j.destination.ConfigVersion {
		return
	}
	j.redirected = true
	j.destination = Destination{
		Service:       stored.GetService(),
		NeedsAdvice:   stored.GetNeedsAdvice(),
		ConfigVersion: stored.GetConfigVersion(),
	}
}
