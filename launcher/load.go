package launcher

import (
	"damaskspread.example/damaskspread/appraiser"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/poller"
)

// assembleLoad makes the coordinator compute load estimates while it leads, and sets
// up the poller that reads those of the present leader.
func (e *Entry) assembleLoad() {
	e.coordinator.Appraiser = &appraiser.Appraiser{}
	client := &poller.Client{
		HTTP: connector.NewHTTPClient(),
	}
	e.loadPoller = &poller.Poller{
		Leader:  e.elector.Leader,
		Epoch:   e.elector.Epoch,
		Own:     e.coordinator.LoadEstimate,
		GetLoad: client.GetLoad,
		Clock:   e.Clock,
		Elapsed: e.process.elapsed,
	}
	e.submitter.Load = e.loadPoller
}
