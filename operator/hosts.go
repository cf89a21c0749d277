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

func toClientResources(r *wire.Resources) client.Resources {
	return client.Resources{
		Millicores:   r.GetMillicores(),
		MemoryBytes:  r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(),
	}
}

func hostStateName(host *wire.HostState) string {
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
			list = append(list, toClientHost(state, host))
		}
	})
	// BatchShare is called without the lock, because the scheduler behind it
	// takes the lock itself.
	for i := range list {
		if h.BatchShare != nil {
			list[i].BatchSharePermille = h.BatchShare(list[i].Host)
		}
	}
	slices.SortFunc(list, func(a, b client.Host) int { return cmp.Compare(a.Host, b.Host) })
	return writeOK(w, list)
}

func toClientHost(state *replayer.State, host *wire.HostState) client.Host {
	spec := host.GetSpec()
	tasks := 0
	for range state.ClaimsOf(spec.GetHost()) {
		tasks++
	}
	return client.Host{
		Host:                spec.GetHost(),
		State:               hostStateName(host),
		Region:              spec.GetRegion(),
		Zone:                spec.GetZone(),
		Rack:                spec.GetRack(),
		Address:             spec.GetAddress(),
		Entry:               host.GetEntry(),
		Incarnation:         spec.GetIncarnation(),
		WorkerBoot:          spec.GetWorkerBoot(),
		Service:             spec.GetEndpoint().GetService(),
		Capacity:            toClientResources(spec.GetCapacity()),
		Free:                toClientResources(state.Free(spec.GetHost())),
		Tasks:               tasks,
		ConsecutiveFailures: host.GetConsecutiveFailures(),
	}
}

// declareLost releases a host that the operator knows to have stopped running
// tasks: its tasks return to the queue at once.
func (h *Handler) declareLost(w http.ResponseWriter, r bunrouter.Request) error {
	return h.appendHostRecord(w, r, func(host *wire.HostState, record *wire.Record) {
		record.Body = &wire.Record_HostReleased{
			HostReleased: &wire.HostReleased{
				Host:       host.GetSpec().GetHost(),
				WorkerBoot: host.GetSpec().GetWorkerBoot(),
				Reason:     wire.ReleaseReason_RELEASE_REASON_DECLARED_LOST,
			},
		}
	})
}

// drain makes the host's current incarnation leave: no new tasks start there,
// and its tasks are evicted with their checkpoints.
func (h *Handler) drain(w http.ResponseWriter, r bunrouter.Request) error {
	return h.appendHostRecord(w, r, func(host *wire.HostState, record *wire.Record) {
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

// appendHostRecord appends one record about a host and responds with the host's
// new state. setBody sets the body of the record from the host's current state.
// A request that names a worker boot other than the current one is refused.
func (h *Handler) appendHostRecord(w http.ResponseWriter, r bunrouter.Request, setBody func(*wire.HostState, *wire.Record)) error {
	var request client.TeamRequest
	if err := decodeBody(r, &request); err != nil {
		return err
	}
	if !validator.IsName(request.Team) {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "team is required")
	}
	name, record := pathParam(r, "host"), h.newRecord(actorName(r, request.Team))
	var workerBoot string
	var exists bool
	var names []string
	h.State.View(func(state *replayer.State) {
		var host *wire.HostState
		host, exists = state.Host(name)
		workerBoot = host.GetSpec().GetWorkerBoot()
		setBody(host, record)
		for other := range state.Hosts() {
			names = append(names, other.GetSpec().GetHost())
		}
	})
	if !exists {
		return notFound("host", name, names)
	}
	if request.WorkerBoot != "" && request.WorkerBoot != workerBoot {
		return damaskspread.NotRun(damaskspread.ReasonConflict, "the worker of host %s restarted: the request names boot %s, the current one is %s", name, request.WorkerBoot, workerBoot)
	}
	effects, err := h.appendAndConfirm(r.Context(), []*wire.Record{record})
	if err != nil {
		return err
	}
	if err := effects[0].asError("host " + name); err != nil {
		return err
	}
	var described client.Host
	h.State.View(func(state *replayer.State) {
		var host *wire.HostState
		if host, exists = state.Host(name); exists {
			described = toClientHost(state, host)
		}
	})
	if !exists {
		return hostGone(name)
	}
	return writeOK(w, described)
}

// hostGone is the error for a host that was removed after the change of the
// request took effect.
func hostGone(name string) error {
	return &damaskspread.RefusalError{
		Outcome: wire.Outcome_OUTCOME_RAN,
		Reason:  damaskspread.ReasonNotFound,
		Message: "the change took effect, but host " + name + " is no longer a member",
	}
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
				State:       hostStateName(host),
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
	return writeOK(w, list)
}

// addLoad sets the load that the endpoint last reported to this entry process.
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

// getServices lists the services that the configuration declares, that have
// shards, or that an endpoint serves.
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
	document, _ := validator.DocumentFromSections(slices.Values(h.sections()))
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
	return writeOK(w, list)
}

func countShards(service *client.Service, shards []*wire.ShardState) {
	service.Shards = len(shards)
	for _, shard := range shards {
		if shard.GetReady() {
			service.ShardsReady++
		}
	}
}
