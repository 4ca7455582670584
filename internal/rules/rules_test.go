// Package rules checks rules of the design that no linter covers.
package rules

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// decisionPackages are pure: time and randomness come from outside.
var decisionPackages = []string{ //nolint:gochecknoglobals // constant table of the tests
	"internal/ctrl", "internal/lease", "internal/admit", "internal/pool", "internal/order", "internal/part", "pkg/model",
}

var impureImports = []string{ //nolint:gochecknoglobals // constant table of the tests
	"net", "net/http", "os", "sync", "sync/atomic", "context", "log", "log/slog", "math/rand", "crypto/rand", "os/exec", "io/fs",
}

var impureTime = []string{"Now", "Since", "Until", "After", "AfterFunc", "Sleep", "NewTimer", "NewTicker", "Tick"} //nolint:gochecknoglobals // constant table of the tests

const root = "../.."

// sources parses the files of a package that are not tests.
func sources(t *testing.T, dir string) (*token.FileSet, []*ast.File) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
	require.NoError(t, err)
	fset := token.NewFileSet()
	var files []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(fset, name, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		files = append(files, f)
	}
	require.NotEmpty(t, files, dir)
	return fset, files
}

// Guards against a decision that depends on a clock, a lock, the network or a
// global random source: it could not be replayed or tested in virtual time.
func TestDecisionPackagesArePure(t *testing.T) {
	for _, dir := range decisionPackages {
		fset, files := sources(t, dir)
		for _, f := range files {
			for _, fault := range impurities(f) {
				t.Errorf("%s: %s", fset.Position(fault.pos), fault.text)
			}
		}
	}
}

type fault struct {
	pos  token.Pos
	text string
}

func impurities(f *ast.File) []fault {
	var faults []fault
	for _, imp := range f.Imports {
		path, _ := strconv.Unquote(imp.Path.Value)
		if slices.Contains(impureImports, path) {
			faults = append(faults, fault{imp.Pos(), "imports " + path})
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			faults = append(faults, fault{n.Pos(), "starts a goroutine"})
		case *ast.SelectorExpr:
			pkg, ok := n.X.(*ast.Ident)
			if ok && pkg.Name == "time" && slices.Contains(impureTime, n.Sel.Name) {
				faults = append(faults, fault{n.Pos(), "uses time." + n.Sel.Name})
			}
		}
		return true
	})
	return faults
}

// Guards against the check above passing because it finds nothing at all.
func TestImpuritiesAreFound(t *testing.T) {
	const src = "package p\nimport (\"os\"; \"time\")\nfunc f() { go f(); _ = time.Now(); _ = os.Args }"
	f, err := parser.ParseFile(token.NewFileSet(), "p.go", src, parser.SkipObjectResolution)
	require.NoError(t, err)
	require.Len(t, impurities(f), 3)
}

// Guards against domain types that fix their encoding with tags.
func TestDomainTypesCarryNoTags(t *testing.T) {
	for _, dir := range append(slices.Clone(decisionPackages), "internal/proto") {
		fset, files := sources(t, dir)
		for _, f := range files {
			ast.Inspect(f, func(n ast.Node) bool {
				if field, ok := n.(*ast.Field); ok && field.Tag != nil {
					t.Errorf("%s: field has the tag %s", fset.Position(field.Pos()), field.Tag.Value)
				}
				return true
			})
		}
	}
}

// Guards against goroutines that no supervisor knows.
func TestGoroutinesStartThroughAGroup(t *testing.T) {
	err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		fset := token.NewFileSet()
		f, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if g, ok := n.(*ast.GoStmt); ok {
				t.Errorf("%s: go statement; start the goroutine through package super or a pond group", fset.Position(g.Pos()))
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
}
