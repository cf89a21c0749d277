package validator_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/validator"
)

// Guards against a reference page that lacks a key or differs from the code in a
// key's description, valid values or default.
func TestConfigurationPage(t *testing.T) {
	page, err := os.ReadFile("../docs/configuration.md")
	assert.NilError(t, err)
	schemas := append(validator.SettingsSchema(), validator.DocumentSchema()...)
	rows := countRows(t, string(page), "### ", schemas)
	rows += countRows(t, string(page), "### Job processes ", validator.JobSettingsSchema())
	assert.Equal(t, strings.Count(string(page), "\n| `"), rows)
}

// countRows checks that the page has a row for each key of the schemas, and returns
// the number of keys.
func countRows(t *testing.T, page, heading string, schemas []validator.SectionSchema) int {
	t.Helper()
	rows := 0
	for _, schema := range schemas {
		_, body, found := strings.Cut(page, heading+"`["+schema.Name()+"]`\n")
		assert.Assert(t, found, schema.Name())
		body, _, _ = strings.Cut(body, "\n### ")
		for _, field := range schema.Fields() {
			assert.Assert(t, strings.Contains(body, formatRow(field)), "[%s]\n%s", schema.Name(), formatRow(field))
			rows++
		}
	}
	return rows
}

func formatRow(field validator.Field) string {
	defaultText := "none"
	switch {
	case field.Required():
		defaultText = "required"
	case field.Default() != "":
		defaultText = "`" + field.Default() + "`"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s |\n", field.Name(), field.Expected(), defaultText, field.Description())
}
