package operator

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/uptrace/bunrouter"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/parser"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

// preparedSection is one section of a publish request.
type preparedSection struct {
	result *client.SectionResult
	// record is nil if nothing has to be appended; result is final then.
	record *wire.Record
}

func isUnchanged(p preparedSection) bool { return p.result.Result == client.ResultUnchanged }

func (h *Handler) publish(w http.ResponseWriter, r bunrouter.Request) error {
	var request client.PublishRequest
	if err := decodeBody(r, &request); err != nil {
		return err
	}
	if !validator.IsName(request.Team) {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "team is required")
	}
	if strings.TrimSpace(request.Text) == "" && len(request.Remove) == 0 {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "text or remove is required")
	}
	prepared, err := h.prepareCurrentSections(r.Context(), &request, actorName(r, request.Team))
	if err != nil {
		return err
	}
	if err := h.appendSections(r.Context(), prepared); err != nil {
		for _, p := range prepared {
			if p.record != nil {
				p.result.Result = client.ResultNotRun
				p.result.Message = err.Error()
			}
		}
	}
	response := client.PublishResponse{
		Results: []client.SectionResult{},
	}
	for _, p := range prepared {
		response.Results = append(response.Results, *p.result)
	}
	status := http.StatusOK
	if refusal := publishError(response.Results); refusal != nil {
		status, response.Error = errorResponse(refusal)
		response.Error.RequestID = w.Header().Get(client.HeaderRequestID)
	}
	writeJSON(w, status, response)
	return nil
}

// prepareCurrentSections prepares the sections on a state that covers their bases, which
// the operator may have read from another entry process that has applied more of the log.
// None is taken for unchanged on a state that is older than the request.
func (h *Handler) prepareCurrentSections(ctx context.Context, request *client.PublishRequest, actor string) ([]preparedSection, error) {
	arrived := h.Clock.Now()
	newestBase := int64(-1)
	for _, base := range request.Base {
		newestBase = max(newestBase, base.Offset)
	}
	if newestBase >= 0 {
		h.waitForOffset(ctx, newestBase, auditTimeout)
	}
	prepared := h.prepareSections(request, actor)
	if !slices.ContainsFunc(prepared, isUnchanged) {
		return prepared, nil
	}
	if err := h.waitForViewSince(ctx, arrived); err != nil {
		return nil, err
	}
	return h.prepareSections(request, actor), nil
}

// prepareSections validates each section of the request and creates a record
// for each one that has to be published.
func (h *Handler) prepareSections(request *client.PublishRequest, actor string) []preparedSection {
	var prepared []preparedSection
	seen := map[string]bool{}
	prepare := func(section *parser.Section, name string, removed bool) {
		result := &client.SectionResult{
			Section: name,
		}
		published := &wire.SectionPublished{
			Section: name,
			Removed: removed,
			Team:    request.Team,
		}
		if section != nil {
			published.Text = section.Body()
		}
		p := preparedSection{
			result: result,
		}
		if seen[name] {
			result.Result = client.ResultInvalid
			result.Message = "the section occurs more than once in the request"
		} else if h.needsPublication(request, section, published, result) {
			p.record = h.newRecord(actor)
			p.record.Body = &wire.Record_SectionPublished{
				SectionPublished: published,
			}
		}
		seen[name] = true
		prepared = append(prepared, p)
	}
	for _, section := range parser.Parse("document", request.Text).Sections() {
		prepare(section, section.Name(), false)
	}
	for _, name := range request.Remove {
		prepare(nil, name, true)
	}
	return prepared
}

// needsPublication reports whether the section has to be published. If not, it
// sets the result to the reason.
func (h *Handler) needsPublication(request *client.PublishRequest, section *parser.Section, published *wire.SectionPublished, result *client.SectionResult) bool {
	current, _ := h.section(published.GetSection())
	exists := current != nil && !current.GetRemoved()
	base, hasBase := request.Base[published.GetSection()]
	result.Position = toClientPosition(current.GetPosition())
	same := exists && !published.GetRemoved() && current.GetText() == published.GetText()
	if same || (published.GetRemoved() && !exists) {
		result.Result = client.ResultUnchanged
		return false
	}
	if hasBase && !published.GetRemoved() && base.Hash == client.TextHash(published.GetText()) {
		result.Result = client.ResultUnchanged
		result.Message = "the text equals its base version, so the newer published version is kept"
		return false
	}
	if section != nil && !h.checkSection(request.Team, section, result) {
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

// checkSection reports whether the team may publish the section and the section
// is valid. If not, it sets the result to the reason.
func (h *Handler) checkSection(team string, section *parser.Section, result *client.SectionResult) bool {
	result.Diagnostics = validator.CheckSection(section)
	owner := validator.Owner(section)
	switch {
	case len(result.Diagnostics) > 0:
		result.Result = client.ResultInvalid
		result.Message = result.Diagnostics[0].Error()
	case owner != team:
		result.Result = client.ResultNotOwner
		result.Message = "the section's owner is " + owner + ", but team " + team + " publishes it"
	default:
		return true
	}
	return false
}

// appendSections appends the records of the prepared sections and sets their
// results. After an error none of the records has or will have an effect.
func (h *Handler) appendSections(ctx context.Context, prepared []preparedSection) error {
	var records []*wire.Record
	var results []*client.SectionResult
	for _, p := range prepared {
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
	for i, outcome := range effects {
		h.setResult(results[i], outcome)
	}
	return nil
}

func (h *Handler) setResult(result *client.SectionResult, outcome effect) {
	switch {
	case !outcome.certain:
		result.Result = client.ResultUnknown
		result.Message = "the publication may have taken effect or may still do so: its record was not confirmed in time"
		return
	case outcome.applied:
		result.Result = client.ResultPublished
		result.Position = toClientPosition(outcome.position)
		return
	case outcome.reason == damaskspread.ReasonNotOwner:
		result.Result = client.ResultNotOwner
		result.Message = outcome.detail
	default:
		result.Result = client.ResultConflict
		result.Message = outcome.detail
	}
	if current, exists := h.section(result.Section); exists {
		result.Position = toClientPosition(current.GetPosition())
	}
}

// publishError returns the error of a publish request, or nil if no section
// failed. Of several failures the first in the order of precedence is returned,
// so the outcome is unknown if the outcome of any section is.
func publishError(results []client.SectionResult) error {
	precedence := []struct {
		result string
		reason damaskspread.Reason
	}{
		{client.ResultUnknown, damaskspread.ReasonAppendUnknown},
		{client.ResultNotRun, damaskspread.ReasonLogUnavailable},
		{client.ResultConflict, damaskspread.ReasonConflict},
		{client.ResultNotOwner, damaskspread.ReasonNotOwner},
		{client.ResultInvalid, damaskspread.ReasonInvalid},
	}
	for _, failure := range precedence {
		for _, result := range results {
			if result.Result != failure.result {
				continue
			}
			if failure.result == client.ResultUnknown {
				return damaskspread.Unknown(failure.reason, "[%s]: %s", result.Section, result.Message)
			}
			return damaskspread.NotRun(failure.reason, "[%s]: %s", result.Section, result.Message)
		}
	}
	return nil
}
