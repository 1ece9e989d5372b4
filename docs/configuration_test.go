// Package docs_test checks the documentation pages against the code that they
// describe.
package docs_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/finding/tomldoc"
	"github.com/mangopost/mangopost/internal/settings"
	"github.com/mangopost/mangopost/template"
)

// pageSection returns the text below a heading of a page, up to the next
// heading.
func pageSection(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, ok := strings.Cut(page, "\n"+heading+"\n")
	assert.Assert(t, ok, "no heading %q", heading)
	if i := strings.Index(rest, "\n#"); i >= 0 {
		rest = rest[:i]
	}
	return rest
}

func TestEverySettingIsDocumented(t *testing.T) {
	data, err := os.ReadFile("CONFIGURATION.md")
	assert.NilError(t, err)
	sections := map[string]reflect.Type{
		"## Templates": reflect.TypeFor[template.Template](),
		"### Routes":   reflect.TypeFor[template.Route](),
		"## Clients":   reflect.TypeFor[template.Client](),
	}
	for f := range reflect.TypeFor[settings.Host]().Fields() {
		heading, table := "### [%s]", f.Type
		if f.Type.Kind() == reflect.Slice {
			heading, table = "### [[%s]]", f.Type.Elem()
		}
		sections[fmt.Sprintf(heading, f.Tag.Get("toml"))] = table
	}
	for heading, table := range sections {
		section := pageSection(t, string(data), heading)
		keys := tomldoc.FieldNames(table)
		for _, key := range keys {
			assert.Assert(t, strings.Contains(section, "\n| `"+key+"` |"), "%s: %s is not documented", heading, key)
		}
		assert.Equal(t, strings.Count(section, "\n| `"), len(keys), "%s documents keys that do not exist", heading)
	}
}

func TestDefaultsAreDocumented(t *testing.T) {
	data, err := os.ReadFile("CONFIGURATION.md")
	assert.NilError(t, err)
	defaults := map[string]any{
		"timeout_ms":       settings.DefaultPlatformTimeoutMS,
		"max_header_bytes": settings.DefaultMaxHeaderBytes,
		"max_body_bytes":   settings.DefaultMaxBodyBytes,
		"read_timeout_ms":  settings.DefaultReadTimeoutMS,
		"level":            settings.DefaultLogLevel,
		"format":           settings.DefaultLogFormat,
		"memory_bytes":     settings.DefaultMemoryBytes,
		"dedup_bytes":      settings.DefaultDedupBytes,
		"shards":           fmt.Sprintf("%d if keyed", template.DefaultShards),
		"when_cut":         template.DefaultWhenCut,
		"queue_limit":      template.DefaultQueueLimit,
		"queue_order":      template.DefaultQueueOrder,
		"balancer":         template.DefaultBalancer,
		"retry_horizon_s":  template.DefaultRetryHorizonS,
		"clock_skew_ms":    template.DefaultClockSkewMS,
		"weight":           template.DefaultWeight,
		"zone":             template.DefaultZone,
	}
	for key, value := range defaults {
		_, row, ok := strings.Cut(string(data), "\n| `"+key+"` | ")
		assert.Assert(t, ok, key)
		cells := strings.SplitN(row, " | ", 3)
		assert.Equal(t, cells[1], fmt.Sprint(value), key)
	}
}
