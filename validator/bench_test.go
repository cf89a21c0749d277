package validator_test

import (
	"fmt"
	"slices"
	"testing"

	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

// Measures the time to build a document of the target size, 680 teams.
func BenchmarkFromSections(b *testing.B) {
	var states []*wire.SectionState
	for i := range 680 {
		states = append(states, &wire.SectionState{
			Section: fmt.Sprintf("team t%d", i),
			Text:    "owner = platform\nprocessors = 88\nmemory = 385GB\nshare = 2\n",
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, diagnostics := validator.DocumentFromSections(slices.Values(states)); len(diagnostics) > 0 {
			b.Fatal(diagnostics)
		}
	}
}
