package server

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"

	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/admitter"
	"damaskspread.example/damaskspread/dispatcher"
	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/scheduler"
	"damaskspread.example/damaskspread/subscriber"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

// hedgeDivisor divides a service's timeout. A second try of an idempotent request
// (hedging) starts after timeout/hedgeDivisor: late enough that few requests are
// hedged, early enough that the second try ends within the timeout.
const hedgeDivisor = 10

// policies holds the parts of the configuration document that daemons need for
// each request or scheduling cycle. It is built once per change of the document,
// because checking a document of the target size takes milliseconds.
type policies struct {
	document *validator.Document
	services map[string]dispatcher.Policy
}

func newPolicies(document *validator.Document) *policies {
	p := &policies{
		document: document,
		services: map[string]dispatcher.Policy{},
	}
	for service := range document.Services() {
		p.services[service.Name()] = servicePolicy(service)
	}
	return p
}

func servicePolicy(service *validator.Service) dispatcher.Policy {
	policy := dispatcher.Policy{
		StaleLimit:     service.StaleLimit(),
		Priorities:     map[string]int32{},
		LowestPriority: service.Priority(""),
		Idempotent:     map[string]bool{},
		Timeout:        service.Timeout(),
	}
	if service.Hedging() {
		policy.HedgeDelay = service.Timeout() / hedgeDivisor
	}
	for _, class := range service.Classes() {
		policy.Priorities[class] = service.Priority(class)
		policy.Idempotent[class] = service.Idempotent(class)
	}
	return policy
}

func (p *policies) dispatcherPolicy(service string) dispatcher.Policy { return p.services[service] }

func (p *policies) admitterPolicy(service string) admitter.Policy {
	return admitter.Policy{
		StaleLimit: p.services[service].StaleLimit,
	}
}

func (p *policies) objective() damaskspread.Objective {
	o := p.document.Objective()
	return damaskspread.Objective{
		TailLatency:     o.TailLatency(),
		BatchThroughput: o.BatchThroughput(),
		Evictions:       o.Evictions(),
	}
}

func (p *policies) team(name string) scheduler.Team {
	team, ok := p.document.Team(name)
	if !ok {
		return scheduler.Team{}
	}
	return scheduler.Team{
		Quota:  schedulerQuota(team.Quota()),
		Weight: team.Share(),
	}
}

func (p *policies) drainsZone(name string) bool {
	zone, ok := p.document.Zone(name)
	return !ok || zone.Drain()
}

// schedulerQuota converts a quota of the document for the scheduler, where 0
// means unlimited.
func schedulerQuota(quota *wire.Resources) *wire.Resources {
	zeroIfUnlimited := func(amount int64) int64 {
		if amount == validator.Unlimited {
			return 0
		}
		return amount
	}
	return &wire.Resources{
		Millicores:   zeroIfUnlimited(quota.GetMillicores()),
		MemoryBytes:  zeroIfUnlimited(quota.GetMemoryBytes()),
		Accelerators: zeroIfUnlimited(quota.GetAccelerators()),
	}
}

// entryPolicies keeps the policies of an entry process current with the sections
// in the follower's state.
type entryPolicies struct {
	source  *follower.Follower
	current atomic.Pointer[policies]
	// onChange is called after each rebuild; it may be nil.
	onChange func(*policies)
}

// load returns the current policies, or those of an empty document before the
// first rebuild.
func (e *entryPolicies) load() *policies {
	if p := e.current.Load(); p != nil {
		return p
	}
	empty, _ := validator.DocumentFromSections(slices.Values([]*wire.SectionState(nil)))
	return newPolicies(empty)
}

// run rebuilds the policies after each change of a section.
func (e *entryPolicies) run(t *tomb.Tomb) error {
	subscription := e.source.Subscribe()
	defer subscription.Close()
	ctx := t.Context(context.Background())
	for {
		changes, reload, err := subscription.Next(ctx)
		if err != nil {
			return nil
		}
		if reload || slices.ContainsFunc(changes, isSectionChange) {
			e.rebuild()
		}
	}
}

func isSectionChange(change replayer.Change) bool { return change.Kind() == replayer.SectionChanged }

func (e *entryPolicies) rebuild() {
	var sections []*wire.SectionState
	e.source.View(func(state *replayer.State) { sections = slices.Collect(state.Sections()) })
	document, _ := validator.DocumentFromSections(slices.Values(sections))
	p := newPolicies(document)
	e.current.Store(p)
	if e.onChange != nil {
		e.onChange(p)
	}
}

// agentPolicyCache holds the policies of the latest view of an agent. They are
// rebuilt only when the sections of the view change.
type agentPolicyCache struct {
	current atomic.Pointer[cachedPolicies]
}

type cachedPolicies struct {
	*policies
	view     *subscriber.View
	sections map[string]*wire.SectionState
}

func (a *agentPolicyCache) forView(view *subscriber.View) *policies {
	cached := a.current.Load()
	if cached != nil && cached.view == view {
		return cached.policies
	}
	states := view.Sections()
	sections := make(map[string]*wire.SectionState, len(states))
	for _, state := range states {
		sections[state.GetSection()] = state
	}
	next := &cachedPolicies{
		view:     view,
		sections: sections,
	}
	if cached != nil && maps.Equal(cached.sections, sections) {
		next.policies = cached.policies
	} else {
		document, _ := validator.DocumentFromSections(slices.Values(states))
		next.policies = newPolicies(document)
	}
	a.current.Store(next)
	return next.policies
}

func (p *policies) zoneInService(zone string) bool {
	z, ok := p.document.Zone(zone)
	return !ok || z.InService()
}
