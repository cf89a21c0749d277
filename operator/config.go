package operator

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/uptrace/bunrouter"

	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/parser"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

func toClientSection(state *wire.SectionState) client.Section {
	return client.Section{
		Section:         state.GetSection(),
		Text:            state.GetText(),
		Team:            state.GetTeam(),
		Actor:           state.GetActor(),
		Position:        *toClientPosition(state.GetPosition()),
		PublishedUnixMs: state.GetPublishedUnixMs(),
	}
}

func (h *Handler) getConfig(w http.ResponseWriter, _ bunrouter.Request) error {
	response := client.ConfigResponse{
		Sections: []client.Section{},
		AgeMs:    milliseconds(h.State.Age()),
	}
	h.State.View(func(state *replayer.State) { response.Offset = state.Offset() })
	for _, section := range h.sections() {
		response.Sections = append(response.Sections, toClientSection(section))
	}
	slices.SortFunc(response.Sections, func(a, b client.Section) int { return cmp.Compare(a.Section, b.Section) })
	return writeOK(w, response)
}

func (h *Handler) getSection(w http.ResponseWriter, r bunrouter.Request) error {
	name := pathParam(r, "section")
	current, exists := h.section(name)
	if !exists || current.GetRemoved() {
		var names []string
		for _, section := range h.sections() {
			names = append(names, section.GetSection())
		}
		return notFound("section", "["+name+"]", names)
	}
	return writeOK(w, toClientSection(current))
}

// section returns the state of a section, which may be a removed one. It may be
// read without the lock, because the replayer replaces a section's state and
// never modifies it.
func (h *Handler) section(name string) (section *wire.SectionState, exists bool) {
	h.State.View(func(state *replayer.State) {
		section, exists = state.Section(name)
	})
	return section, exists
}

// sections returns the states of all sections that are not removed. Callers
// parse the texts without the lock, so that a document of hundreds of sections
// does not delay the replay.
func (h *Handler) sections() []*wire.SectionState {
	var list []*wire.SectionState
	h.State.View(func(state *replayer.State) {
		for section := range state.Sections() {
			if !section.GetRemoved() {
				list = append(list, section)
			}
		}
	})
	return list
}

func (h *Handler) check(w http.ResponseWriter, r bunrouter.Request) error {
	var request client.CheckRequest
	if err := decodeBody(r, &request); err != nil {
		return err
	}
	_, diagnostics := validator.ParseDocument("document", request.Text)
	response := client.CheckResponse{
		Diagnostics: append([]validator.Diagnostic{}, diagnostics...),
		Changes:     []client.SectionChange{},
	}
	for _, section := range parser.Parse("document", request.Text).Sections() {
		current, exists := h.section(section.Name())
		change := "changed"
		switch {
		case !exists || current.GetRemoved():
			change = "new"
		case current.GetText() == section.Body():
			change = "unchanged"
		}
		response.Changes = append(response.Changes, client.SectionChange{
			Section: section.Name(),
			Change:  change,
		})
	}
	return writeOK(w, response)
}
