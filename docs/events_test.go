package docs_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	_ "github.com/mangopost/mangopost/internal/entry"
	_ "github.com/mangopost/mangopost/internal/placer"
	_ "github.com/mangopost/mangopost/internal/router"
	_ "github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/kernel"
)

// TestEventCatalogue checks that EVENTS.md lists each event with its level and
// summary, and nothing else.
func TestEventCatalogue(t *testing.T) {
	page, err := os.ReadFile("EVENTS.md")
	assert.NilError(t, err)
	row := regexp.MustCompile(`(?m)^\| (MP\d{4}) \| (\w+) \| ([^|]+) \|`)
	listed := make(map[string]string)
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		assert.Equal(t, listed[m[1]], "", "%s stands twice", m[1])
		listed[m[1]] = fmt.Sprintf("%s: %s", m[2], m[3])
	}
	for _, e := range kernel.Events() {
		assert.Equal(t, listed[e.ID.String()], fmt.Sprintf("%s: %s", e.Level, e.Summary), e.ID.String())
		delete(listed, e.ID.String())
	}
	assert.Equal(t, len(listed), 0, "no such events: %v", listed)
}
