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

// layer orders the areas: a package imports from areas of its own layer's number or a lower one.
// Folders that are not listed are checks and examples, which nothing imports.
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

// file is one hand-written source file of the module.
type file struct {
	path   string // from the module's root, with slashes
	syntax *ast.File
	fset   *token.FileSet
}

func (f file) area() string { return strings.SplitN(f.path, "/", 2)[0] }

func (f file) test() bool { return strings.HasSuffix(f.path, "_test.go") }

// files parses every hand-written source file.
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
			must.True(t, ranked, must.Sprintf("%s imports %s, which nothing may import", f.path, path))
			must.LessEq(t, own, other, must.Sprintf("%s imports %s, an area above its own", f.path, path))
		}
	}
}

// group is the position of an import's group: the standard library, other modules, this module.
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
				must.GreaterEq(t, previous, now, must.Sprintf("%s:%d: %s stands behind a later group", f.path, at, spec.Path.Value))
				must.Eq(t, now != previous, at > line+1, must.Sprintf("%s:%d: a blank line divides groups, and nothing else", f.path, at))
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
		must.Len(t, 1, list, must.Sprintf("%s: package comments stand in %v", dir, list))
	}
}
