package dispatcher

import (
	"slices"
	"strings"
	"time"

	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
)

// refreshEvery is short against the 5 s in which an endpoint that leaves, or
// whose zone does, must get no new work. Listing 7,400 members takes 3 ms, so
// they are listed only after a change of the routes.
const refreshEvery = 200 * time.Millisecond

// Run keeps the router's endpoints equal to the members until the tomb dies.
func (d *Dispatcher) Run(t *tomb.Tomb) error {
	ticker := d.Clock.NewTicker(refreshEvery)
	defer ticker.Stop()
	for {
		d.Refresh()
		select {
		case <-t.Dying():
			return nil
		case <-ticker.Chan():
		}
	}
}

// Refresh passes changed members of each service to the router: those that are
// neither leaving nor expired and whose zone is in service.
func (d *Dispatcher) Refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := map[string][]damaskspread.Endpoint{}
	if d.Follower.Age() < damaskspread.MaxAge {
		defer d.routed.Store(true)
	}
	unchanged := false
	d.Follower.View(func(s *replayer.State) {
		if unchanged = d.loaded && s.RoutesAt() == d.routesAt; unchanged {
			return
		}
		d.routesAt = s.RoutesAt()
		d.loaded = true
		for state := range s.Hosts() {
			spec := state.GetSpec()
			service := spec.GetEndpoint().GetService()
			if service == "" || !replayer.IsMember(state) || !s.ZoneInService(spec.GetZone()) {
				continue
			}
			next[service] = append(next[service], damaskspread.Endpoint{
				Host:    spec.GetHost(),
				Address: spec.GetAddress(),
				Zone:    spec.GetZone(),
				Slots:   spec.GetEndpoint().GetSlots(),
			})
		}
	})
	if unchanged {
		return
	}
	for service := range d.members {
		if next[service] == nil {
			d.Router.SetEndpoints(service, nil)
		}
	}
	for service, list := range next {
		slices.SortFunc(list, func(a, b damaskspread.Endpoint) int { return strings.Compare(a.Host, b.Host) })
		if !slices.Equal(list, d.members[service]) {
			d.Router.SetEndpoints(service, list)
		}
	}
	d.members = next
}
