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

func sectionOf(state *wire.SectionState) client.Section {
	return client.Section{
		Section:         state.GetSection(),
		Text:            state.GetText(),
		Team:            state.GetTeam(),
		Actor:           state.GetActor(),
		Position:        *position(state.GetPosition()),
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
		response.Sections = append(response.Sections, sectionOf(section))
	}
	slices.SortFunc(response.Sections, func(a, b client.Section) int { return cmp.Compare(a.Section, b.Section) })
	return ok(w, response)
}

func (h *Handler) getSection(w http.ResponseWriter, r bunrouter.Request) error {
	name := param(r, "section")
	current, exists := h.section(name)
	if !exists || current.GetRemoved() {
		var names []string
		for _, section := range h.sections() {
			names = append(names, section.GetSection())
		}
		return notFound("section", "["+name+"]", names)
	}
	return ok(w, sectionOf(current))
}

// section returns a section's state. The replayer replaces it as a whole, so
// it may be read after the lock is released.
func (h *Handler) section(name string) (section *wire.SectionState, exists bool) {
	h.State.View(func(state *replayer.State) {
		section, exists = state.Section(name)
	})
	return section, exists
}

// sections returns the sections in force. They are parsed without the lock, so
// a document of hundreds of sections does not delay the replay.
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
	if err := decode(r, &request); err != nil {
		return err
	}
	_, diagnostics := validator.CheckText("document", request.Text)
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
		case current.GetText() == section.Text():
			change = "unchanged"
		}
		response.Changes = append(response.Changes, client.SectionChange{
			Section: section.Name(),
			Change:  change,
		})
	}
	return ok(w, response)
}

// publication is one section on its way into the log.
type publication struct {
	result *client.SectionResult
	record *wire.Record
}

func (h *Handler) publish(w http.ResponseWriter, r bunrouter.Request) error {
	var request client.PublishRequest
	if err := decode(r, &request); err != nil {
		return err
	}
	if !validator.IsName(request.Team) {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "team is required")
	}
	if strings.TrimSpace(request.Text) == "" && len(request.Remove) == 0 {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "text or remove is required")
	}
	newest := int64(-1)
	for _, base := range request.Base {
		newest = max(newest, base.Offset)
	}
	// The operator may have read the base from an entry that is ahead.
	if newest >= 0 {
		h.waitFor(r.Context(), newest, auditTimeout)
	}
	results := h.prepare(&request, actor(r, request.Team))
	if err := h.append(r.Context(), results); err != nil {
		for _, p := range results {
			if p.record != nil {
				p.result.Result = client.ResultNotRun
				p.result.Message = err.Error()
			}
		}
	}
	response := client.PublishResponse{
		Results: []client.SectionResult{},
	}
	for _, p := range results {
		response.Results = append(response.Results, *p.result)
	}
	status := http.StatusOK
	if refusal := worst(response.Results); refusal != nil {
		status, response.Error = describe(refusal)
		response.Error.RequestID = w.Header().Get(client.HeaderRequestID)
	}
	writeJSON(w, status, response)
	return nil
}

// prepare decides on each section; those with a record have to be appended.
func (h *Handler) prepare(request *client.PublishRequest, actor string) []publication {
	var list []publication
	seen := map[string]bool{}
	add := func(section *parser.Section, name string, removed bool) {
		result := &client.SectionResult{
			Section: name,
		}
		published := &wire.SectionPublished{
			Section: name,
			Removed: removed,
			Team:    request.Team,
		}
		if section != nil {
			published.Text = section.Text()
		}
		p := publication{
			result: result,
		}
		if seen[name] {
			result.Result = client.ResultInvalid
			result.Message = "the section is listed twice"
		} else if h.decide(request, section, published, result) {
			p.record = h.newRecord(actor)
			p.record.Body = &wire.Record_SectionPublished{
				SectionPublished: published,
			}
		}
		seen[name] = true
		list = append(list, p)
	}
	for _, section := range parser.Parse("document", request.Text).Sections() {
		add(section, section.Name(), false)
	}
	for _, name := range request.Remove {
		add(nil, name, true)
	}
	return list
}

// decide reports whether the section has to be published; otherwise it sets
// the result.
func (h *Handler) decide(request *client.PublishRequest, section *parser.Section, published *wire.SectionPublished, result *client.SectionResult) bool {
	current, _ := h.section(published.GetSection())
	exists := current != nil && !current.GetRemoved()
	base, hasBase := request.Base[published.GetSection()]
	result.Position = position(current.GetPosition())
	same := exists && !published.GetRemoved() && current.GetText() == published.GetText()
	if same || (published.GetRemoved() && !exists) {
		result.Result = client.ResultUnchanged
		return false
	}
	if hasBase && !published.GetRemoved() && base.Hash == client.TextHash(published.GetText()) {
		result.Result = client.ResultUnchanged
		result.Message = "not edited since its base; the published section changed since"
		return false
	}
	if section != nil && !h.valid(request.Team, section, result) {
		return false
	}
	if exists && current.GetTeam() != request.Team {
		result.Result = client.ResultNotOwner
		result.Message = "the section belongs to team " + current.GetTeam()
		return false
	}
	if hasBase != exists || (exists && base.Position != *result.Position) {
		result.Result = client.ResultConflict
		result.Message = (&damaskspread.ConflictError{
			Section: published.GetSection(),
			Current: current.GetPosition(),
			Actor:   current.GetActor(),
		}).Error()
		return false
	}
	published.Base = current.GetPosition()
	return true
}

func (h *Handler) valid(team string, section *parser.Section, result *client.SectionResult) bool {
	result.Diagnostics = validator.CheckSection(section)
	owner := validator.Owner(section)
	switch {
	case len(result.Diagnostics) > 0:
		result.Result = client.ResultInvalid
		result.Message = result.Diagnostics[0].Error()
	case owner != team:
		result.Result = client.ResultNotOwner
		result.Message = "the section names owner " + owner + ", and team " + team + " publishes it"
	default:
		return true
	}
	return false
}

// append publishes the prepared sections and sets their results.
func (h *Handler) append(ctx context.Context, list []publication) error {
	var records []*wire.Record
	var results []*client.SectionResult
	for _, p := range list {
		if p.record != nil {
			records = append(records, p.record)
			results = append(results, p.result)
		}
	}
	if len(records) == 0 {
		return nil
	}
	effects, err := h.appendAndConfirm(ctx, records)
	if err != nil {
		return err
	}
	for i, e := range effects {
		h.setResult(results[i], e)
	}
	return nil
}

func (h *Handler) setResult(result *client.SectionResult, e effect) {
	switch {
	case !e.known:
		result.Result = client.ResultUnknown
		result.Message = "the publication may take effect: its record was not confirmed in time"
		return
	case e.applied:
		result.Result = client.ResultPublished
		result.Position = position(e.at)
		return
	case e.reason == damaskspread.ReasonNotOwner:
		result.Result = client.ResultNotOwner
		result.Message = e.detail
	default:
		result.Result = client.ResultConflict
		result.Message = e.detail
	}
	if current, exists := h.section(result.Section); exists {
		result.Position = position(current.GetPosition())
	}
}

// worst returns the error of a publication in which some section failed. The
// outcome is unknown if any section's is.
func worst(results []client.SectionResult) error {
	order := []struct {
		result string
		reason damaskspread.Reason
	}{
		{client.ResultUnknown, damaskspread.ReasonAppendUnknown},
		{client.ResultNotRun, damaskspread.ReasonLogUnavailable},
		{client.ResultConflict, damaskspread.ReasonConflict},
		{client.ResultNotOwner, damaskspread.ReasonNotOwner},
		{client.ResultInvalid, damaskspread.ReasonInvalid},
	}
	for _, o := range order {
		for _, result := range results {
			if result.Result != o.result {
				continue
			}
			if o.result == client.ResultUnknown {
				return damaskspread.Unknown(o.reason, "[%s]: %s", result.Section, result.Message)
			}
			return damaskspread.NotRun(o.reason, "[%s]: %s", result.Section, result.Message)
		}
	}
	return nil
}
