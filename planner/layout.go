package planner

import (
	"math"

	"damaskspread.example/damaskspread/tracker"
)

const (
	// maxApartFactor is how many more hosts may serve if each serves one image
	// only. A best-effort image usually interferes with most serving images, so a
	// host that serves several of them is of as little use to it as any other,
	// while one that serves none is always of use.
	maxApartFactor = 1.4
	// fragmentFactor is how many more hosts serving images take apart than their
	// tasks would fill: the room that is left on a host is often too small for
	// another task of its image.
	fragmentFactor = 1.1
	// maxServingShare is the share of the hosts that may serve when images are kept
	// apart. The others stay free for images that interfere with most.
	maxServingShare = 0.9
	// weightImagePacked is the weight of the image in the score of a host for a
	// serving task, when images are not kept apart.
	weightImagePacked = 0.5
	// Scores of a host for a serving task when images are kept apart. They differ
	// by more than all that speaks for a host otherwise. A host that serves several
	// images already loses nothing by one more; a host that serves none is left
	// free if possible, but taken before one that serves one other image.
	scoreSameImage     = 6.0
	scoreSeveralImages = 3.0
	scoreNoImage       = 0.0
	scoreOtherImage    = -3.0
)

// setServingLayout decides how serving tasks are placed in this plan. They are
// always packed, so that best-effort tasks on the hosts without any interfere with
// none. If serving tasks take most hosts anyway, it is better that each host serves
// one image: a best-effort task then finds hosts whose image it does not interfere
// with. With few serving tasks that would spread them over more hosts. Once the
// images don't fit apart on maxServingShare of the hosts, further serving tasks take
// the room that is left on those that serve.
func setServingLayout(groups []*tracker.Group, hosts []*Host) {
	apart := servesApart(groups, hosts)
	for _, host := range hosts {
		host.oneServingImage = apart
	}
}

func servesApart(groups []*tracker.Group, hosts []*Host) bool {
	capacity := 0.0
	byImage := map[string]float64{}
	for _, host := range hosts {
		capacity += float64(host.Capacity.GetMillicores())
		for _, use := range host.servingByImage {
			byImage[use.image] += float64(use.millicores)
		}
	}
	for _, group := range groups {
		if step := group.Step(); step.GetTargetLatencyMs() > 0 {
			byImage[step.GetImage()] += float64(group.Pending()) * float64(step.GetResources().GetMillicores())
		}
	}
	if capacity <= 0 {
		return false
	}
	typical := capacity / float64(len(hosts))
	total, hostsApart := 0.0, 0.0
	for _, millicores := range byImage {
		total += millicores
		hostsApart += math.Ceil(millicores / typical)
	}
	fits := fragmentFactor*hostsApart <= maxServingShare*float64(len(hosts))
	return fits && hostsApart <= maxApartFactor*math.Ceil(total/typical)
}

// servingImageScore says how well a task of a serving image goes with the serving
// tasks on the host.
func (h *Host) servingImageScore(image string) float64 {
	if h.keptClear {
		return scoreKeptClear
	}
	if h.servingMillicores == 0 {
		return scoreNoImage
	}
	same := h.servingByImage.millicores(image)
	if !h.oneServingImage {
		return weightImagePacked * float64(same) / float64(h.servingMillicores)
	}
	switch {
	case len(h.servingByImage) > 1:
		return scoreSeveralImages
	case same > 0:
		return scoreSameImage
	default:
		return scoreOtherImage
	}
}
