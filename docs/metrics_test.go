package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var metricName = regexp.MustCompile(`\bmangopost_[a-z_]+`)

// TestEveryMetricIsDocumented checks that METRICS.md and the daemons' sources
// name the same metrics.
func TestEveryMetricIsDocumented(t *testing.T) {
	page, err := os.ReadFile("METRICS.md")
	assert.NilError(t, err)
	inCode := make(map[string]bool)
	for _, dir := range []string{"router", "placer", "linkbytes", "entry"} {
		paths, err := filepath.Glob(filepath.Join("..", "internal", dir, "*.go"))
		assert.NilError(t, err)
		for _, path := range paths {
			source, err := os.ReadFile(path)
			assert.NilError(t, err)
			for _, name := range metricName.FindAllString(string(source), -1) {
				inCode[name] = true
				assert.Assert(t, strings.Contains(string(page), name), "%s of %s is not in METRICS.md", name, path)
			}
		}
	}
	for _, name := range metricName.FindAllString(string(page), -1) {
		assert.Assert(t, inCode[name], "METRICS.md lists %s, which no daemon exports", name)
	}
}
