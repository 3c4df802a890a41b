package surface

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// notDeployed matches the folders, at any depth, whose code is not part of the deployed program.
var notDeployed = regexp.MustCompile(`(^|/)(lab|tools|design|gen)/`)

// sources parses the module's Go files except tests, and returns all of them and those of the deployed
// program that are not generated.
func sources(t *testing.T) (all, product []*ast.File) {
	t.Helper()
	top := root(t)
	err := filepath.WalkDir(top, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path != top && (strings.HasPrefix(d.Name(), ".") || d.Name() == "testdata"):
			return fs.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		all = append(all, f)
		if rel := filepath.ToSlash(strings.TrimPrefix(path, top)); !ast.IsGenerated(f) && !notDeployed.MatchString(rel) {
			product = append(product, f)
		}
		return nil
	})
	must.NoError(t, err)
	return all, product
}

// each calls visit for every node of type N in a tree.
func each[N ast.Node](root ast.Node, visit func(N)) {
	ast.Inspect(root, func(n ast.Node) bool {
		if v, ok := n.(N); ok {
			visit(v)
		}
		return true
	})
}

// texts returns the string literals in a tree, except import paths and struct tags.
func texts(root ast.Node) []string {
	excluded := map[*ast.BasicLit]bool{}
	each(root, func(i *ast.ImportSpec) { excluded[i.Path] = true })
	each(root, func(f *ast.Field) { excluded[f.Tag] = true })
	var out []string
	each(root, func(l *ast.BasicLit) {
		if s, err := strconv.Unquote(l.Value); l.Kind == token.STRING && !excluded[l] && err == nil {
			out = append(out, s)
		}
	})
	return out
}

// firstArguments returns the string literals in the first argument of calls of functions and methods with the given names.
func firstArguments(files []*ast.File, names ...string) []string {
	var out []string
	for _, f := range files {
		each(f, func(c *ast.CallExpr) {
			name := ""
			switch f := c.Fun.(type) {
			case *ast.SelectorExpr:
				name = f.Sel.Name
			case *ast.Ident:
				name = f.Name
			}
			if len(c.Args) > 0 && slices.Contains(names, name) {
				out = append(out, texts(c.Args[0])...)
			}
		})
	}
	return out
}

// tags returns the struct tags that contain a key, and the values of the key.
func tags(files []*ast.File, key string) (whole, values []string) {
	for _, f := range files {
		each(f, func(f *ast.Field) {
			if tag, v, ok := tagOf(f, key); ok {
				whole, values = append(whole, tag), append(values, v)
			}
		})
	}
	return whole, values
}

func tagOf(f *ast.Field, key string) (whole, value string, ok bool) {
	if f.Tag == nil {
		return "", "", false
	}
	whole, _ = strconv.Unquote(f.Tag.Value)
	value, ok = reflect.StructTag(whole).Lookup(key)
	return whole, value, ok
}

// matching returns the texts that match the regular expression form.
func matching(in []string, form string) []string {
	re := regexp.MustCompile(form)
	return slices.DeleteFunc(in, func(s string) bool { return !re.MatchString(s) })
}
