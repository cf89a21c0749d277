package validator_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/validator"
)

// Guards against a reference page that lacks a key or states another default
// than the one in force.
func TestConfigurationPage(t *testing.T) {
	page, err := os.ReadFile("../docs/configuration.md")
	assert.NilError(t, err)
	schemas := append(validator.SettingsSchema(), validator.DocumentSchema()...)
	rows := countRows(t, string(page), "### ", schemas)
	rows += countRows(t, string(page), "### Job processes ", validator.JobSettingsSchema())
	assert.Equal(t, strings.Count(string(page), "\n| `"), rows)
}

// countRows checks that the page has each key of the schemas.
func countRows(t *testing.T, page, heading string, schemas []validator.SectionSchema) int {
	t.Helper()
	rows := 0
	for _, schema := range schemas {
		_, body, found := strings.Cut(page, heading+"`["+schema.Name()+"]`\n")
		assert.Assert(t, found, schema.Name())
		body, _, _ = strings.Cut(body, "\n### ")
		for _, field := range schema.Fields() {
			assert.Assert(t, strings.Contains(body, row(field)), "[%s]\n%s", schema.Name(), row(field))
			rows++
		}
	}
	return rows
}

func row(field validator.Field) string {
	fallback := "none"
	switch {
	case field.Required():
		fallback = "required"
	case field.Default() != "":
		fallback = "`" + field.Default() + "`"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s |\n", field.Name(), field.Expected(), fallback, field.About())
}
