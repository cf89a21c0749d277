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

// maxZoneEdits limits how often the edit of a zone's section is repeated after
// a conflict. Each conflict means that another publication of the same section
// succeeded.
const maxZoneEdits = 5

func (h *Handler) getZones(w http.ResponseWriter, _ bunrouter.Request) error {
	zones := h.zones()
	list := make([]client.Zone, 0, len(zones))
	for _, zone := range zones {
		list = append(list, *zone)
	}
	slices.SortFunc(list, func(a, b client.Zone) int { return cmp.Compare(a.Zone, b.Zone) })
	return writeOK(w, list)
}

// zones returns, by name, the zones that have a section or a host.
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
			addZoneSection(zones[name], section)
		}
	}
	return zones
}

// addZoneSection sets the values that come from the zone's section. Drain and
// region are left unset if the section is not valid.
func addZoneSection(zone *client.Zone, section *wire.SectionState) {
	zone.Owner = section.GetTeam()
	zone.Position = toClientPosition(section.GetPosition())
	document, _ := validator.DocumentFromSections(slices.Values([]*wire.SectionState{section}))
	if checked, valid := document.Zone(zone.Zone); valid {
		zone.Drain = checked.Drain()
		zone.Region = checked.Region()
	}
}

func (h *Handler) zoneOut(w http.ResponseWriter, r bunrouter.Request) error {
	return h.setZoneInService(w, r, false)
}

func (h *Handler) zoneIn(w http.ResponseWriter, r bunrouter.Request) error {
	return h.setZoneInService(w, r, true)
}

// setZoneInService takes a zone out of service or back and responds with its
// new state.
func (h *Handler) setZoneInService(w http.ResponseWriter, r bunrouter.Request, inService bool) error {
	var request client.TeamRequest
	if err := decodeBody(r, &request); err != nil {
		return err
	}
	name := pathParam(r, "zone")
	if !validator.IsName(request.Team) {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "team is required")
	}
	zones := h.zones()
	if zones[name] == nil {
		// A misspelled name must not create a section: the operator would
		// believe that the intended zone is out of service.
		known := make([]string, 0, len(zones))
		for zone := range zones {
			known = append(known, zone)
		}
		slices.Sort(known)
		return notFound("zone", name, known)
	}
	changed, err := h.editZone(r.Context(), name, request.Team, actorName(r, request.Team), inService)
	if err != nil {
		return err
	}
	zone := h.zones()[name]
	if zone == nil || zone.InService != inService {
		return damaskspread.NotRun(damaskspread.ReasonConflict,
			"the change of zone %s took effect, but another operator has reverted it", name)
	}
	zone.Changed = changed
	return writeOK(w, zone)
}

// editZone publishes the zone's section with the new value and repeats the edit
// after a conflict. It returns false if the zone already had the value when the
// request arrived or later.
func (h *Handler) editZone(ctx context.Context, name, team, actor string, inService bool) (bool, error) {
	arrived := h.Clock.Now()
	var lastErr error
	for range maxZoneEdits {
		record, err := h.zoneRecord(name, team, actor, inService)
		if err == nil && record == nil {
			if err := h.waitForViewSince(ctx, arrived); err != nil {
				return false, err
			}
			record, err = h.zoneRecord(name, team, actor, inService)
		}
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
		lastErr = effects[0].asError("zone " + name)
		if effects[0].reason != damaskspread.ReasonConflict {
			return false, lastErr
		}
	}
	return false, lastErr
}

// zoneRecord returns the record that publishes the zone's section with the new
// value, or nil if the zone already has it.
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
	edited := setSectionKey(text, "in_service", value)
	if diagnostics := validator.CheckSection(parser.ParseBody("published", section, edited)); len(diagnostics) > 0 {
		return nil, &validator.InvalidError{
			Diagnostics: diagnostics,
		}
	}
	alreadySet := false
	h.State.View(func(state *replayer.State) { alreadySet = state.ZoneInService(name) == inService })
	if alreadySet {
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

// setSectionKey sets one key in the text of a section. Comments and all other
// lines stay unchanged.
func setSectionKey(text, name, value string) string {
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
