package operator

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/uptrace/bunrouter"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

func resources(r *wire.Resources) client.Resources {
	return client.Resources{
		Millicores:   r.GetMillicores(),
		MemoryBytes:  r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(),
	}
}

func hostState(host *wire.HostState) string {
	switch {
	case host.GetExpired():
		return "expired"
	case host.GetLeaving():
		return "leaving"
	default:
		return "member"
	}
}

func (h *Handler) getHosts(w http.ResponseWriter, _ bunrouter.Request) error {
	list := []client.Host{}
	h.State.View(func(state *replayer.State) {
		for host := range state.Hosts() {
			list = append(list, describeHost(state, host))
		}
	})
	// The scheduler locks the state itself.
	for i := range list {
		if h.BatchShare != nil {
			list[i].BatchSharePermille = h.BatchShare(list[i].Host)
		}
	}
	slices.SortFunc(list, func(a, b client.Host) int { return cmp.Compare(a.Host, b.Host) })
	return ok(w, list)
}

func describeHost(state *replayer.State, host *wire.HostState) client.Host {
	spec := host.GetSpec()
	tasks := 0
	for range state.ClaimsOf(spec.GetHost()) {
		tasks++
	}
	return client.Host{
		Host:                spec.GetHost(),
		State:               hostState(host),
		Region:              spec.GetRegion(),
		Zone:                spec.GetZone(),
		Rack:                spec.GetRack(),
		Address:             spec.GetAddress(),
		Entry:               host.GetEntry(),
		Incarnation:         spec.GetIncarnation(),
		WorkerBoot:          spec.GetWorkerBoot(),
		Service:             spec.GetEndpoint().GetService(),
		Capacity:            resources(spec.GetCapacity()),
		Free:                resources(state.Free(spec.GetHost())),
		Tasks:               tasks,
		ConsecutiveFailures: host.GetConsecutiveFailures(),
	}
}

// declareLost returns a host's tasks to the queue at once. The operator states
// that the host no longer runs them.
func (h *Handler) declareLost(w http.ResponseWriter, r bunrouter.Request) error {
	return h.changeHost(w, r, func(host *wire.HostState, record *wire.Record) {
		record.Body = &wire.Record_HostReleased{
			HostReleased: &wire.HostReleased{
				Host:       host.GetSpec().GetHost(),
				WorkerBoot: host.GetSpec().GetWorkerBoot(),
				Reason:     wire.ReleaseReason_RELEASE_REASON_DECLARED_LOST,
			},
		}
	})
}

// drain makes the host's present incarnation leave: nothing new starts there,
// and its tasks are evicted with their checkpoints.
func (h *Handler) drain(w http.ResponseWriter, r bunrouter.Request) error {
	return h.changeHost(w, r, func(host *wire.HostState, record *wire.Record) {
		record.Body = &wire.Record_HostLeaving{
			HostLeaving: &wire.HostLeaving{
				Host: &wire.HostRef{
					Host:        host.GetSpec().GetHost(),
					Incarnation: host.GetSpec().GetIncarnation(),
				},
				Reason: "drained by " + record.GetActor(),
			},
		}
	})
}

// changeHost appends one record about a host and answers with the host's new
// state.
func (h *Handler) changeHost(w http.ResponseWriter, r bunrouter.Request, fill func(*wire.HostState, *wire.Record)) error {
	var request client.TeamRequest
	if err := decode(r, &request); err != nil {
		return err
	}
	if !validator.IsName(request.Team) {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "team is required")
	}
	name, record := param(r, "host"), h.newRecord(actor(r, request.Team))
	var boot string
	var exists bool
	var names []string
	h.State.View(func(state *replayer.State) {
		var host *wire.HostState
		host, exists = state.Host(name)
		boot = host.GetSpec().GetWorkerBoot()
		fill(host, record)
		for other := range state.Hosts() {
			names = append(names, other.GetSpec().GetHost())
		}
	})
	if !exists {
		return notFound("host", name, names)
	}
	if request.WorkerBoot != "" && request.WorkerBoot != boot {
		return damaskspread.NotRun(damaskspread.ReasonConflict, "the worker of host %s restarted since: its boot is %s", name, boot)
	}
	effects, err := h.appendAndConfirm(r.Context(), []*wire.Record{record})
	if err != nil {
		return err
	}
	if err := effects[0].err("host " + name); err != nil {
		return err
	}
	var described client.Host
	h.State.View(func(state *replayer.State) {
		if host, still := state.Host(name); still {
			described = describeHost(state, host)
		}
	})
	return ok(w, described)
}

func (h *Handler) getEndpoints(w http.ResponseWriter, _ bunrouter.Request) error {
	list := []client.Endpoint{}
	h.State.View(func(state *replayer.State) {
		for host := range state.Hosts() {
			spec := host.GetSpec()
			if spec.GetEndpoint().GetService() == "" {
				continue
			}
			list = append(list, client.Endpoint{
				Host:        spec.GetHost(),
				Service:     spec.GetEndpoint().GetService(),
				Zone:        spec.GetZone(),
				State:       hostState(host),
				InService:   state.ZoneInService(spec.GetZone()),
				Slots:       spec.GetEndpoint().GetSlots(),
				Connections: spec.GetEndpoint().GetConnections(),
			})
		}
	})
	for i := range list {
		h.addLoad(&list[i])
	}
	slices.SortFunc(list, func(a, b client.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Host, b.Host))
	})
	return ok(w, list)
}

func (h *Handler) addLoad(endpoint *client.Endpoint) {
	if h.Load == nil {
		return
	}
	load, known := h.Load(endpoint.Host)
	endpoint.LoadKnown = known
	endpoint.Running = load.GetRunning()
	endpoint.Queued = load.GetQueued()
	endpoint.Limit = load.GetLimit()
	endpoint.ServiceTimeUs = load.GetServiceTimeUs()
}

func (h *Handler) getServices(w http.ResponseWriter, _ bunrouter.Request) error {
	services := map[string]*client.Service{}
	service := func(name string) *client.Service {
		if services[name] == nil {
			services[name] = &client.Service{
				Service: name,
			}
		}
		return services[name]
	}
	document, _ := validator.FromSections(slices.Values(h.sections()))
	for declared := range document.Services() {
		service(declared.Name()).Declared = true
		service(declared.Name()).Owner = declared.Owner()
	}
	h.State.View(func(state *replayer.State) {
		for name := range state.Services() {
			countShards(service(name), state.Shards(name))
		}
		for host := range state.Hosts() {
			if endpoint := host.GetSpec().GetEndpoint(); endpoint.GetService() != "" {
				s := service(endpoint.GetService())
				s.Endpoints++
				if replayer.IsMember(host) {
					s.Members++
					s.Slots += int64(endpoint.GetSlots())
				}
			}
		}
	})
	list := make([]client.Service, 0, len(services))
	for _, s := range services {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b client.Service) int { return cmp.Compare(a.Service, b.Service) })
	return ok(w, list)
}

func countShards(service *client.Service, shards []*wire.ShardState) {
	service.Shards = len(shards)
	for _, shard := range shards {
		if shard.GetReady() {
			service.ShardsReady++
		}
	}
}
