package operator

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/uptrace/bunrouter"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/auditor"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/validator"
)

const (
	defaultListLimit = 100
	maxListLimit     = 1000
)

func (h *Handler) getStatus(w http.ResponseWriter, _ bunrouter.Request) error {
	age := h.State.Age()
	status := client.Status{
		Entry:           h.Entry,
		Version:         h.Version,
		AgeMs:           milliseconds(age),
		CurrencyLimitMs: milliseconds(h.CurrencyLimit),
		Stale:           age > h.CurrencyLimit,
		Entries:         []string{},
		Hosts:           map[string]int{},
		Tasks:           map[string]int{},
		ZonesOut:        []string{},
	}
	h.State.View(func(state *replayer.State) {
		status.Offset = state.Offset()
		for entry := range state.Entries() {
			status.Entries = append(status.Entries, entry.GetEntry().GetEntry())
		}
		for host := range state.Hosts() {
			status.Hosts[hostStateName(host)]++
		}
		for task := range state.Tasks() {
			status.Tasks[phaseName(task.GetPhase())]++
		}
		for section := range state.Sections() {
			zone, isZone := strings.CutPrefix(section.GetSection(), "zone ")
			if isZone && !state.ZoneInService(zone) {
				status.ZonesOut = append(status.ZonesOut, zone)
			}
		}
	})
	_, status.Rejected = validator.DocumentFromSections(slices.Values(h.sections()))
	slices.Sort(status.Entries)
	slices.Sort(status.ZonesOut)
	return writeOK(w, status)
}

func (h *Handler) getAudit(w http.ResponseWriter, r bunrouter.Request) error {
	query := r.URL.Query()
	limit, err := parseLimit(query.Get("limit"))
	if err != nil {
		return err
	}
	entries := h.Audit.List(auditor.Filter{
		Kind:    query.Get("kind"),
		Subject: query.Get("subject"),
		Actor:   query.Get("actor"),
		Limit:   limit,
	})
	response := client.AuditResponse{
		Entries: make([]client.AuditEntry, len(entries)),
	}
	response.Since, response.Gaps = h.Audit.Coverage()
	for i, entry := range entries {
		response.Entries[i] = client.AuditEntry{
			Position: *toClientPosition(entry.Position()),
			UnixMs:   entry.UnixMs(),
			Actor:    entry.Actor(),
			Kind:     entry.Kind(),
			Subject:  entry.Subject(),
			Action:   entry.Action(),
			From:     entry.From(),
			To:       entry.To(),
			Applied:  entry.Applied(),
			Reason:   entry.Reason(),
			Detail:   entry.Detail(),
		}
	}
	return writeOK(w, response)
}

// parseLimit parses the query parameter limit of a listing.
func parseLimit(text string) (int, error) {
	if text == "" {
		return defaultListLimit, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxListLimit {
		return 0, damaskspread.NotRun(damaskspread.ReasonBadRequest, "limit must be a number from 1 to %d, found %q", maxListLimit, text)
	}
	return limit, nil
}
