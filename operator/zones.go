package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/uptrace/bunrouter"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/parser"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

// zoneTries bounds the edits of a zone's section under conflicts. Each lost
// try means that another publication of the same section succeeded.
const zoneTries = 5

func (h *Handler) getZones(w http.ResponseWriter, _ bunrouter.Request) error {
	zones := h.zones()
	list := make([]client.Zone, 0, len(zones))
	for _, zone := range zones {
		list = append(list, *zone)
	}
	slices.SortFunc(list, func(a, b client.Zone) int { return cmp.Compare(a.Zone, b.Zone) })
	return ok(w, list)
}

// zones returns the zones that a section or a host names.
func (h *Handler) zones() map[string]*client.Zone {
	zones, sections := map[string]*client.Zone{}, h.sections()
	h.State.View(func(state *replayer.State) {
		zone := func(name string) *client.Zone {
			if zones[name] == nil {
				zones[name] = &client.Zone{
					Zone:      name,
					InService: state.ZoneInService(name),
				}
			}
			return zones[name]
		}
		for host := range state.Hosts() {
			z := zone(host.GetSpec().GetZone())
			z.Hosts++
			if replayer.IsMember(host) {
				z.Members++
			}
		}
		for _, section := range sections {
			if name, isZone := strings.CutPrefix(section.GetSection(), "zone "); isZone {
				zone(name)
			}
		}
	})
	for _, section := range sections {
		if name, isZone := strings.CutPrefix(section.GetSection(), "zone "); isZone {
			describeZone(zones[name], section)
		}
	}
	return zones
}

func describeZone(zone *client.Zone, section *wire.SectionState) {
	zone.Owner = section.GetTeam()
	zone.Position = position(section.GetPosition())
	document, _ := validator.FromSections(slices.Values([]*wire.SectionState{section}))
	if checked, valid := document.Zone(zone.Zone); valid {
		zone.Drain = checked.Drain()
		zone.Region = checked.Region()
	}
}

func (h *Handler) zoneOut(w http.ResponseWriter, r bunrouter.Request) error {
	return h.setZone(w, r, false)
}

func (h *Handler) zoneIn(w http.ResponseWriter, r bunrouter.Request) error {
	return h.setZone(w, r, true)
}

// setZone edits the zone's section until the state shows the wanted value.
func (h *Handler) setZone(w http.ResponseWriter, r bunrouter.Request, inService bool) error {
	var request client.TeamRequest
	if err := decode(r, &request); err != nil {
		return err
	}
	name := param(r, "zone")
	if !validator.IsName(request.Team) {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "team is required")
	}
	zones := h.zones()
	if zones[name] == nil {
		// A misspelled zone would leave the operator believing that nothing
		// starts in the one that was meant.
		known := make([]string, 0, len(zones))
		for zone := range zones {
			known = append(known, zone)
		}
		slices.Sort(known)
		return notFound("zone", name, known)
	}
	changed, err := h.editZone(r.Context(), name, request.Team, actor(r, request.Team), inService)
	if err != nil {
		return err
	}
	zone := h.zones()[name]
	if zone == nil || zone.InService != inService {
		return damaskspread.NotRun(damaskspread.ReasonConflict,
			"the change of zone %s took effect, and another operator reverted it since", name)
	}
	zone.Changed = changed
	return ok(w, zone)
}

func (h *Handler) editZone(ctx context.Context, name, team, actor string, inService bool) (bool, error) {
	var last error
	for range zoneTries {
		record, err := h.zoneRecord(name, team, actor, inService)
		if err != nil || record == nil {
			return false, err
		}
		effects, err := h.appendAndConfirm(ctx, []*wire.Record{record})
		if err != nil {
			return false, err
		}
		if effects[0].applied {
			return true, nil
		}
		last = effects[0].err("zone " + name)
		if effects[0].reason != damaskspread.ReasonConflict {
			return false, last
		}
	}
	return false, last
}

// zoneRecord returns the publication that sets the zone's value, or nil if the
// section already holds it.
func (h *Handler) zoneRecord(name, team, actor string, inService bool) (*wire.Record, error) {
	section := "zone " + name
	current, exists := h.section(section)
	text := "owner = " + team + "\n"
	if exists && !current.GetRemoved() {
		text = current.GetText()
		if current.GetTeam() != team {
			return nil, damaskspread.NotRun(damaskspread.ReasonNotOwner, "the section [%s] belongs to team %s", section, current.GetTeam())
		}
	}
	value := "no"
	if inService {
		value = "yes"
	}
	edited := setKey(text, "in_service", value)
	if diagnostics := validator.CheckSection(parser.ParseBody("published", section, edited)); len(diagnostics) > 0 {
		return nil, &validator.InvalidError{
			Diagnostics: diagnostics,
		}
	}
	inForce := false
	h.State.View(func(state *replayer.State) { inForce = state.ZoneInService(name) == inService })
	if inForce {
		return nil, nil
	}
	record := h.newRecord(actor)
	record.Body = &wire.Record_SectionPublished{
		SectionPublished: &wire.SectionPublished{
			Section: section,
			Text:    edited,
			Base:    current.GetPosition(),
			Team:    team,
		},
	}
	return record, nil
}

// setKey replaces or adds one key and leaves every other line alone.
func setKey(text, name, value string) string {
	section := parser.ParseBody("", "", text)
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	key, exists := section.Key(name)
	if !exists {
		return strings.Join(append(lines, name+" = "+value), "\n") + "\n"
	}
	line := lines[key.Line()-1]
	comment := ""
	if i := strings.IndexAny(line, "#;"); i >= 0 {
		comment = " " + line[i:]
	}
	lines[key.Line()-1] = name + " = " + value + comment
	return strings.Join(lines, "\n") + "\n"
}
