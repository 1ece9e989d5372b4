package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const modulePath = "github.com/mangopost/mangopost/"

// decisionPackages do no I/O, start no goroutine and read no clock.
var decisionPackages = []string{
	"lease", "ownership", "membership", "placement", "admission", "dedup",
	"routing", "routing/crossing", "template", "maintenance", "finding", "finding/tomldoc",
	"lease/coordinator", "ownership/keyrange", "ownership/grants", "placement/hotrange", "placement/demand",
	"admission/pool", "admission/coldstart", "admission/loadreport", "admission/repeat",
	"membership/directory", "membership/mirror", "membership/aggregators", "membership/evacuation", "lease/era",
}

// forbiddenImports are the import paths that a decision package must not use,
// including the packages below them.
var forbiddenImports = []string{
	modulePath + "internal", modulePath + "plugin", modulePath + "cmd", modulePath + "kernel",
	"net", "os", "log", "syscall", "math/rand", "crypto/rand", "github.com/hashicorp/go-hclog",
}

// allowedImports are exceptions to forbiddenImports, of which only names and
// constants are used, not I/O.
var allowedImports = map[string]bool{"net/http": true, "net/netip": true}

// clockCalls are the functions of package time that read the clock or wait.
var clockCalls = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true,
	"Tick": true, "NewTicker": true, "NewTimer": true,
}

func parseSources(t *testing.T, dir string) map[string]*ast.File {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
	assert.NilError(t, err)
	files := make(map[string]*ast.File)
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		assert.NilError(t, err)
		files[path] = file
	}
	assert.Assert(t, len(files) > 0, "no sources in %s", dir)
	return files
}

func TestDecisionPackagesArePure(t *testing.T) {
	for _, dir := range decisionPackages {
		for path, file := range parseSources(t, dir) {
			for _, spec := range file.Imports {
				name, err := strconv.Unquote(spec.Path.Value)
				assert.NilError(t, err)
				assert.Assert(t, !isForbiddenImport(name), "%s imports %s", path, name)
			}
			ast.Inspect(file, func(n ast.Node) bool {
				_, starts := n.(*ast.GoStmt)
				assert.Assert(t, !starts, "%s starts a goroutine", path)
				assert.Assert(t, !isClockCall(n), "%s reads the clock", path)
				return true
			})
		}
	}
}

func isForbiddenImport(name string) bool {
	if allowedImports[name] {
		return false
	}
	for _, prefix := range forbiddenImports {
		if name == prefix || strings.HasPrefix(name, prefix+"/") {
			return true
		}
	}
	return false
}

func isClockCall(n ast.Node) bool {
	selector, ok := n.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	pkg, ok := selector.X.(*ast.Ident)
	return ok && pkg.Name == "time" && clockCalls[selector.Sel.Name]
}

// TestKernelAndPluginsDoNotImportInternal checks that the kernel and the plug-ins
// do not depend on internal packages, as they are also linked into programs that
// embed them.
func TestKernelAndPluginsDoNotImportInternal(t *testing.T) {
	for _, dir := range []string{"kernel", "plugin/balance", "plugin/queue"} {
		for path, file := range parseSources(t, dir) {
			for _, spec := range file.Imports {
				assert.Assert(t, !strings.Contains(spec.Path.Value, modulePath+"internal"), "%s imports %s", path, spec.Path.Value)
			}
		}
	}
}
