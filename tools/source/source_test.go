package source

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	root   = "../../"
	module = "wallport/"
)

// layer maps each area, a top-level folder, to its layer. A package may import only from areas of its own or a lower
// layer. Areas that are not listed contain checks and examples, which no listed area may import.
var layer = map[string]int{
	"gen": 0, "api": 0,
	"runtime":  1,
	"cluster":  2,
	"control":  3,
	"request":  4,
	"platform": 5,
	"lab":      6,
	"cmd":      7,
}

// file is a source file of the module that is not generated.
type file struct {
	path   string // relative to the module's root, with slashes
	syntax *ast.File
	fset   *token.FileSet
}

func (f file) area() string { return strings.SplitN(f.path, "/", 2)[0] }

func (f file) test() bool { return strings.HasSuffix(f.path, "_test.go") }

// files parses every source file of the module that is not generated.
func files(t *testing.T) []file {
	t.Helper()
	var out []file
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if d.Name() == ".git" || d.Name() == "journal" || d.Name() == "testdata" || d.Name() == "target" {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		fset := token.NewFileSet()
		syntax, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		if ast.IsGenerated(syntax) {
			return nil
		}
		rel, err := filepath.Rel(root, path)
		out = append(out, file{path: filepath.ToSlash(rel), syntax: syntax, fset: fset})
		return err
	})
	must.NoError(t, err)
	must.Greater(t, 300, len(out))
	return out
}

func importPath(spec *ast.ImportSpec) string {
	path, _ := strconv.Unquote(spec.Path.Value)
	return path
}

func TestAreasImportDownwardsOnly(t *testing.T) {
	for _, f := range files(t) {
		own, ranked := layer[f.area()]
		if !ranked || f.test() {
			continue
		}
		for _, spec := range f.syntax.Imports {
			path, inside := strings.CutPrefix(importPath(spec), module)
			if !inside {
				continue
			}
			area := strings.SplitN(path, "/", 2)[0]
			other, ranked := layer[area]
			must.True(t, ranked, must.Sprintf("%s imports %s, whose area has no layer and must not be imported", f.path, path))
			must.LessEq(t, own, other, must.Sprintf("%s imports %s, whose area is in a higher layer", f.path, path))
		}
	}
}

// group returns the position of the group of an import: 0 for the standard library, 1 for other modules and 2 for
// this module.
func group(path string) int {
	switch first := strings.SplitN(path, "/", 2)[0]; {
	case strings.HasPrefix(path, module):
		return 2
	case strings.Contains(first, "."):
		return 1
	default:
		return 0
	}
}

func TestImportsStandInGroups(t *testing.T) {
	for _, f := range files(t) {
		previous, line := -1, 0
		for _, spec := range f.syntax.Imports {
			now, at := group(importPath(spec)), f.fset.Position(spec.Pos()).Line
			if previous >= 0 {
				must.GreaterEq(t, previous, now, must.Sprintf("%s:%d: import %s must come before the imports of later groups", f.path, at, spec.Path.Value))
				must.Eq(t, now != previous, at > line+1, must.Sprintf("%s:%d: imports must be separated by a blank line between groups, and only there", f.path, at))
			}
			previous, line = now, at
		}
	}
}

func TestEachPackageHasOneComment(t *testing.T) {
	comments := map[string][]string{}
	for _, f := range files(t) {
		dir := filepath.Dir(f.path)
		if _, seen := comments[dir]; !seen {
			comments[dir] = nil
		}
		if f.syntax.Doc != nil {
			comments[dir] = append(comments[dir], f.path)
		}
	}
	for dir, list := range comments {
		must.Len(t, 1, list, must.Sprintf("%s: want one package comment, got comments in %v", dir, list))
	}
}
