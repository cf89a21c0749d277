package parser_test

import (
	"strings"
	"testing"

	"gopkg.in/ini.v1"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/parser"
)

// Guards against wrong line numbers, lost keys, and duplicate keys that replace the
// first one without an error.
func TestParse(t *testing.T) {
	text := "# document\n[zone  a] # position 4.1\nowner = ops\r\nin_service: no ; storm\n\n# about b\n[zone b]\nowner = ops\nowner = other\n"
	parsed := parser.Parse("d.ini", text)
	assert.Equal(t, len(parsed.Sections()), 2)
	a, ok := parsed.Section("zone a")
	assert.Assert(t, ok)
	assert.Equal(t, a.Line(), 2)
	assert.Equal(t, a.Comment(), "position 4.1")
	assert.Equal(t, a.Body(), "owner = ops\nin_service: no ; storm\n")
	key, ok := a.Key("in_service")
	assert.Assert(t, ok)
	assert.Equal(t, key.Value(), "no")
	assert.Equal(t, key.Line(), 4)
	assert.Equal(t, len(parsed.Errors()), 1)
	assert.Equal(t, parsed.Errors()[0].Error(), `d.ini:9: the key is already defined at line 8 (found "other")`)
}

// Guards against accepting syntax that ini.v1 reads across lines or drops.
func TestSyntaxErrors(t *testing.T) {
	cases := []struct {
		name, text, message string
		line                int
	}{
		{"no delimiter", "[a]\nowner\n", "key = value", 2},
		{"unclosed header", "[a\n", "must end with ]", 1},
		{"empty header", "[ ]\n", "must contain a name", 1},
		{"text after header", "[a] x = 1\n", "only a comment", 1},
		{"continuation", "[a]\nx = 1 \\\ny = 2\n", "on one line", 2},
		{"triple quote", "[a]\nx = \"\"\"1\ny = 2\"\"\"\n", "on one line", 2},
		{"backquote", "[a]\nx = `1\n", "on one line", 2},
		{"dash key", "[a]\n- = 1\n", "key = value", 2},
		{"control character", "[a]\nx = \x001\n", "printable", 2},
		{"invalid UTF-8", "[a]\nx = \xff\n", "printable", 2},
		{"duplicate section", "[a]\nx = 1\n[a]\n", "is already defined at line 1", 3},
		{"too long", "[a]\n" + strings.Repeat("#", parser.MaxTextBytes), "longer than", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			errs := parser.Parse("f", c.text).Errors()
			assert.Assert(t, len(errs) > 0)
			assert.Equal(t, errs[0].Line, c.line)
			assert.ErrorContains(t, errs[0], c.message)
		})
	}
}

// Guards against a published body that this package and a plain ini.v1 reader, such
// as the replayer, read differently.
func FuzzParseBody(f *testing.F) {
	for _, seed := range []string{"owner = ops\nin_service = no\n", "a: b # c\r\n; d", "x = \"1", "x = 1\\\ny=2", "[a]", "-=1", "x=%(y)s\ny=no", "a = 'b'\n", "a=b;c\\"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		section := parser.ParseBody("f", "zone a", body)
		if len(section.Errors()) > 0 {
			return
		}
		plain, err := ini.Load([]byte(section.Body()))
		assert.NilError(t, err)
		assert.Equal(t, len(plain.Section("").Keys()), len(section.Keys()))
		for _, key := range section.Keys() {
			assert.Equal(t, plain.Section("").Key(key.Name()).Value(), key.Value())
		}
		assert.Equal(t, len(parser.Parse("f", "[zone a]\n"+body).Sections()), 1)
	})
}
