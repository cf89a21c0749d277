package dispatcher

import (
	"slices"
	"strings"
	"time"

	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
)

// refreshInterval is how often the router's endpoints are updated while no request
// arrives, so that it keeps the loads that they report.
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

// routes holds the endpoints that the router has, by service, and their version.
type routes struct {
	version   int64
	endpoints map[string][]damaskspread.Endpoint
}

// Refresh passes the endpoints of each service to the router if the routes have
// changed. Each try of a request calls it before it picks an endpoint, so that
// requests use the same state as operators see. Listing 7,400 hosts takes 3 ms:
// they are listed once for each version, and callers meanwhile wait for it.
func (d *Dispatcher) Refresh() {
	if !d.routesChanged() {
		return
	}
	d.refreshMu.Lock()
	defer d.refreshMu.Unlock()
	if !d.routesChanged() {
		return
	}
	next := d.listRoutes()
	var previous map[string][]damaskspread.Endpoint
	if passed := d.routes.Load(); passed != nil {
		previous = passed.endpoints
	}
	for service := range previous {
		if next.endpoints[service] == nil {
			d.Router.SetEndpoints(service, nil)
		}
	}
	for service, list := range next.endpoints {
		slices.SortFunc(list, func(a, b damaskspread.Endpoint) int { return strings.Compare(a.Host, b.Host) })
		if !slices.Equal(list, previous[service]) {
			d.Router.SetEndpoints(service, list)
		}
	}
	d.routes.Store(next)
}

// routesChanged reports whether the replayed routes differ from those that the
// router has.
func (d *Dispatcher) routesChanged() bool {
	passed := d.routes.Load()
	changed := true
	d.Follower.View(func(s *replayer.State) {
		changed = passed == nil || s.RoutesVersion() != passed.version
	})
	return changed
}

// listRoutes returns the endpoints of hosts that are neither leaving nor expired
// and whose zone is in service.
func (d *Dispatcher) listRoutes() *routes {
	listed := &routes{
		endpoints: map[string][]damaskspread.Endpoint{},
	}
	d.Follower.View(func(s *replayer.State) {
		listed.version = s.RoutesVersion()
		for state := range s.Hosts() {
			spec := state.GetSpec()
			service := spec.GetEndpoint().GetService()
			if service == "" || !replayer.IsMember(state) || !s.ZoneInService(spec.GetZone()) {
				continue
			}
			listed.endpoints[service] = append(listed.endpoints[service], damaskspread.Endpoint{
				Host:    spec.GetHost(),
				Address: spec.GetAddress(),
				Zone:    spec.GetZone(),
				Slots:   spec.GetEndpoint().GetSlots(),
			})
		}
	})
	return listed
}
