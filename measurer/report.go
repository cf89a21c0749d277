package measurer

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Begin and End are the markers around the part of a page that ReplaceBlock
// replaces.
const (
	BeginMarker = "<!-- measured: begin; regenerate with make capacity -->"
	EndMarker   = "<!-- measured: end -->"
)

// MarkerError means that a page doesn't contain Marker, or contains End only before
// Begin.
type MarkerError struct {
	Marker string
}

func (e *MarkerError) Error() string {
	return fmt.Sprintf("page has no marker %q in the expected place", e.Marker)
}

// Markdown returns the tables of the report, one per role.
func (r *Report) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Measured on one machine: %s. The load average was %s before and %s after, work of others included. Each value is min/**median**/max of n runs.\n", r.Machine, r.Load[0], r.Load[1])
	var roles []string
	for _, s := range r.Series {
		if !slices.Contains(roles, s.Role) {
			roles = append(roles, s.Role)
		}
	}
	slices.Sort(roles)
	for _, role := range roles {
		fmt.Fprintf(&b, "\n### Measured: %s\n\n", role)
		b.WriteString("| quantity | over | at sizes | n | base + slope | at target |\n|---|---|---|---|---|---|\n")
		for _, s := range r.Series {
			if s.Role == role {
				b.WriteString(s.row())
			}
		}
	}
	return b.String()
}

func (s Series) row() string {
	var sizes []string
	runs := 0
	for _, p := range s.Points {
		sizes = append(sizes, fmt.Sprintf("%.0f: %s/**%s**/%s", p.Size, formatRounded(p.Min), formatRounded(p.Median), formatRounded(p.Max)))
		runs = p.Runs
	}
	return fmt.Sprintf("| %s, %s | %s | %s | %d | %s + %s each | %.0f: %s |\n", s.Quantity, s.Unit, s.Axis,
		strings.Join(sizes, "; "), runs, formatRounded(s.Base), formatRounded(s.Slope), s.Target, formatRounded(s.AtTarget))
}

// formatRounded writes three significant digits, without an exponent unless the
// value is very small.
func formatRounded(value float64) string {
	magnitude := math.Abs(value)
	switch {
	case magnitude == 0:
		return "0"
	case magnitude >= 100:
		return fmt.Sprintf("%.0f", value)
	case magnitude >= 10:
		return fmt.Sprintf("%.1f", value)
	case magnitude >= 0.01:
		return fmt.Sprintf("%.3g", value)
	default:
		return fmt.Sprintf("%.2g", value)
	}
}

// ReplaceBlock returns the page with the text between the markers replaced by
// block, which should end with a line break. It fails with a MarkerError.
func ReplaceBlock(page, block string) (string, error) {
	before, rest, ok := strings.Cut(page, BeginMarker)
	if !ok {
		return "", &MarkerError{
			Marker: BeginMarker,
		}
	}
	_, after, ok := strings.Cut(rest, EndMarker)
	if !ok {
		return "", &MarkerError{
			Marker: EndMarker,
		}
	}
	return before + BeginMarker + "\n" + block + EndMarker + after, nil
}
