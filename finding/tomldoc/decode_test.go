package tomldoc_test

import (
	"bytes"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/finding"
	"github.com/mangopost/mangopost/finding/tomldoc"
)

type page struct {
	Name  string   `toml:"name"`
	Count int64    `toml:"count"`
	Small uint8    `toml:"small"`
	Rate  float64  `toml:"rate"`
	On    bool     `toml:"on"`
	Words []string `toml:"words"`
	Inner inner    `toml:"inner"`
	Items []item   `toml:"item"`
}

type inner struct {
	Name string `toml:"name"`
	Deep struct {
		Count int `toml:"count"`
	} `toml:"deep"`
}

type item struct {
	Name  string `toml:"name"`
	Parts []struct {
		Count int `toml:"count"`
	} `toml:"part"`
}

const validDocument = `name = "a \u00e9"
count = 1_000
small = 0xff
rate = 2.5
on = true
words = [
  "x", # a comment
  'y',
]
inner.name = "i"
[inner.deep]
count = -3
[[item]]
name = "first"
part = [{count = 1}, {count = 2}]
[[item]]
name = """
second"""
[[item.part]]
count = 3
`

func TestDecodeMatchesGoTOML(t *testing.T) {
	var got, want page
	doc := tomldoc.Decode("x", []byte(validDocument), &got)
	assert.Equal(t, len(doc.Findings()), 0, "%v", doc.Findings())
	assert.NilError(t, toml.Unmarshal([]byte(validDocument), &want))
	assert.DeepEqual(t, got, want)
	assert.Assert(t, doc.Has("item[1].part[0].count"))
	assert.Assert(t, !doc.Has("item[1].part[1].count"))
}

func TestFindings(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"set twice", "name = 'a'\nname = 'b'\n", []string{"x:2:1: name: set twice; first in line 1"}},
		{"table twice", "[inner]\n[inner]\n", []string{"x:2:2: inner: set twice; first in line 1"}},
		{"table over inline table", "inner = {name = 'a'}\n[inner.deep]\ncount = 1\n", []string{"x:2:2: inner: set twice; first in line 1"}},
		{"value as table", "name = 'a'\n[name.x]\n", []string{"x:2:2: name: set twice; first in line 1"}},
		{"table over array", "[[item]]\n[item]\n", []string{"x:2:2: item: set twice; first in line 1"}},
		{"array over array value", "item = []\n[[item]]\n", []string{"x:2:3: item: set twice; first in line 1"}},
		{"wrong kinds", "name = 1\ncount = 'x'\non = 0\nwords = 'x'\ninner = 3\nitem = {}\nrate = true\n", []string{
			"x:1:1: name: must be a string, not a whole number",
			"x:2:1: count: must be a whole number, not a string (write the number without quotes)",
			"x:3:1: on: must be true or false, not a whole number",
			"x:4:1: words: must be an array, not a string",
			"x:5:1: inner: must be a table, not a whole number",
			"x:6:1: item: must be an array, not a table (write [[item]])",
			"x:7:1: rate: must be a decimal number, not true or false",
		}},
		{"out of range", "small = 256\ncount = 9223372036854775808\n", []string{
			"x:1:1: small: 256 is out of range",
			"x:2:1: count: 9223372036854775808 is out of range",
		}},
		{"date", "name = 2026-12-04\n", []string{"x:1:1: name: must be a string, not a date or time"}},
		{"array items", "words = ['a', 2]\n", []string{"x:1:15: words[1]: must be a string, not a whole number"}},
		{"two broken lines", "name = a\ncount = 1\nrate = 1.\nons = true\n", []string{
			"x:1:8: unexpected character U+0061 'a' at start of value",
			"x:3:10: decimal point must be followed by a digit",
			`x:4:1: ons: unknown key (did you mean "on"?)`,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p page
			findings := tomldoc.Decode("x", []byte(test.text), &p).Findings()
			assert.Equal(t, len(findings), len(test.want), "%v", findings)
			for i, f := range findings {
				assert.Assert(t, bytes.HasPrefix([]byte(f.String()), []byte(test.want[i])), "got %q, want %q", f, test.want[i])
			}
		})
	}
}

// FuzzDecode compares the decoder with go-toml in strict mode: it must accept the
// same documents with the same values and reject the others.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte("inner = {deep = {count = 1}}\nitem = [{name = 'a'}]\n"))
	f.Add([]byte("[[item]]\n[[item.part]]\n[item]\n"))
	f.Add([]byte("[item]\n"))
	f.Add([]byte("a = \"\"\"\nb\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want page
		findings := tomldoc.Decode("x", data, &got).Findings()
		err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&want)
		if isKnownStricter(findings) {
			return
		}
		if err == nil && len(findings) > 0 {
			t.Fatalf("go-toml accepts a document that Decode rejects: %v", findings)
		}
		if err != nil && len(findings) == 0 {
			t.Fatalf("go-toml rejects a document that Decode accepts: %v", err)
		}
		if err == nil && !equalValues(got, want) {
			t.Fatalf("got %+v, go-toml decoded %+v", got, want)
		}
	})
}

// isKnownStricter reports whether findings contain one that go-toml does not make:
// go-toml accepts a table in place of an array of one table, and ignores the case
// of names.
func isKnownStricter(findings []finding.Finding) bool {
	return slices.ContainsFunc(findings, func(f finding.Finding) bool {
		otherCase := f.Message == "unknown key" && strings.ToLower(f.Path) != f.Path
		return otherCase || strings.HasPrefix(f.Message, "must be an array, not a table")
	})
}

// equalValues compares two values; nil and empty slices are equal, and so are NaNs.
func equalValues(a, b page) bool {
	return reflect.DeepEqual(normalize(a), normalize(b))
}

func normalize(p page) page {
	if p.Rate != p.Rate {
		p.Rate = 0
	}
	if len(p.Words) == 0 {
		p.Words = nil
	}
	if len(p.Items) == 0 {
		p.Items = nil
	}
	p.Items = append([]item(nil), p.Items...)
	for i := range p.Items {
		if len(p.Items[i].Parts) == 0 {
			p.Items[i].Parts = nil
		}
	}
	return p
}
