package dispatcher

import (
	"slices"
	"strings"
	"time"

	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
)

// refreshInterval is much shorter than the 5 s within which an endpoint must stop
// getting requests after its leave or after its zone goes out of service.
const refreshInterval = 200 * time.Millisecond

// Run calls Refresh periodically until the tomb dies.
func (d *Dispatcher) Run(t *tomb.Tomb) error {
	ticker := d.Clock.NewTicker(refreshInterval)
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

// Refresh passes the endpoints of each service to the router if they changed:
// hosts with an endpoint that are neither leaving nor expired and whose zone is
// in service. Listing 7,400 hosts takes 3 ms, so they are listed only after a
// change of the routes.
func (d *Dispatcher) Refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := map[string][]damaskspread.Endpoint{}
	if d.Follower.Age() < damaskspread.MaxAge {
		defer d.routed.Store(true)
	}
	unchanged := false
	d.Follower.View(func(s *replayer.State) {
		if unchanged = d.refreshed && s.RoutesVersion() == d.routesVersion; unchanged {
			return
		}
		d.routesVersion = s.RoutesVersion()
		d.refreshed = true
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
	for service := range d.endpoints {
		if next[service] == nil {
			d.Router.SetEndpoints(service, nil)
		}
	}
	for service, list := range next {
		slices.SortFunc(list, func(a, b damaskspread.Endpoint) int { return strings.Compare(a.Host, b.Host) })
		if !slices.Equal(list, d.endpoints[service]) {
			d.Router.SetEndpoints(service, list)
		}
	}
	d.endpoints = next
}
