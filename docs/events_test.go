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

// TestEveryEventIsDocumented checks that EVENTS.md lists exactly the registered
// events, each with its level and summary.
func TestEveryEventIsDocumented(t *testing.T) {
	page, err := os.ReadFile("EVENTS.md")
	assert.NilError(t, err)
	row := regexp.MustCompile(`(?m)^\| (MP\d{4}) \| (\w+) \| ([^|]+) \|`)
	documented := make(map[string]string)
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		assert.Equal(t, documented[m[1]], "", "event %s is listed twice", m[1])
		documented[m[1]] = fmt.Sprintf("%s: %s", m[2], m[3])
	}
	for _, e := range kernel.Events() {
		assert.Equal(t, documented[e.ID.String()], fmt.Sprintf("%s: %s", e.Level, e.Summary), e.ID.String())
		delete(documented, e.ID.String())
	}
	assert.Equal(t, len(documented), 0, "EVENTS.md lists events that are not registered: %v", documented)
}
