package pages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// areas matches the top-level folders with which references to code begin.
const areas = `(?:api|cluster|cmd|control|lab|platform|request|runtime|scenarios|smoke|surface|tools)`

var (
	// declaration matches a reference to a declaration, such as `request/dispatch.StateMachine.Step`.
	declaration = regexp.MustCompile("`(" + areas + `(?:/\w+)*)\.([A-Za-z]\w*(?:\.[A-Za-z]\w*)?)` + "(?:\\([^`]*\\))?`")
	// fileExtension has the extensions of file names. They distinguish a file name from the name of a declaration.
	fileExtension = map[string]bool{"go": true, "json": true, "md": true, "proto": true, "sh": true, "toml": true, "txt": true}
	// sourceFile matches a reference to a file, such as `request/dispatch/retry.go`.
	sourceFile = regexp.MustCompile("`(" + areas + `(?:/[\w-]+)*\.(?:go|txt|proto|sh))` + "`")
	// link matches a link to another page.
	link = regexp.MustCompile(`\]\(([^):#]+\.md)(?:#[^)]*)?\)`)
)

// pagesOf returns the pages of the documentation, without the reports of past incidents. These refer to the code as it
// was at the time of the incident.
func pagesOf(t *testing.T) []string {
	t.Helper()
	out := []string{"README.md", "DEVELOPERS.md"}
	for _, pattern := range []string{"docs/*.md", "docs/design/*.md", "docs/operators/*.md"} {
		list, err := filepath.Glob(root + pattern)
		must.NoError(t, err)
		for _, f := range list {
			rel, err := filepath.Rel(root, f)
			must.NoError(t, err)
			out = append(out, rel)
		}
	}
	return out
}

// declared returns the names that a package declares: NAME for each top-level declaration and TYPE.MEMBER for each
// method and field.
func declared(t *testing.T, dir string) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	list, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
	must.NoError(t, err)
	for _, f := range list {
		syntax, err := parser.ParseFile(token.NewFileSet(), f, nil, 0)
		must.NoError(t, err)
		for _, d := range syntax.Decls {
			switch d := d.(type) {
			case *ast.FuncDecl:
				out[receiver(d)+d.Name.Name] = true
			case *ast.GenDecl:
				for _, spec := range d.Specs {
					add(out, spec)
				}
			}
		}
	}
	return out
}

// receiver returns the name of a method's receiver type followed by a dot, or "" for a function.
func receiver(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	typ := d.Recv.List[0].Type
	if star, ok := typ.(*ast.StarExpr); ok {
		typ = star.X
	}
	if generic, ok := typ.(*ast.IndexExpr); ok {
		typ = generic.X
	}
	return typ.(*ast.Ident).Name + "."
}

// add adds the names that a type, constant or variable specification declares to out.
func add(out map[string]bool, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			out[name.Name] = true
		}
	case *ast.TypeSpec:
		out[s.Name.Name] = true
		var members *ast.FieldList
		switch typ := s.Type.(type) {
		case *ast.StructType:
			members = typ.Fields
		case *ast.InterfaceType:
			members = typ.Methods
		default:
			return
		}
		for _, field := range members.List {
			for _, name := range field.Names {
				out[s.Name.Name+"."+name.Name] = true
			}
		}
	}
}

func TestCodeReferencesExist(t *testing.T) {
	packages := map[string]map[string]bool{}
	for _, page := range pagesOf(t) {
		text := read(t, page)
		for _, m := range declaration.FindAllStringSubmatch(text, -1) {
			if fileExtension[m[2]] {
				continue // a file name, not a declaration
			}
			if packages[m[1]] == nil {
				packages[m[1]] = declared(t, m[1])
			}
			must.True(t, packages[m[1]][m[2]], must.Sprintf("%s names %s.%s, which is not declared", page, m[1], m[2]))
		}
		for _, m := range sourceFile.FindAllStringSubmatch(text, -1) {
			if fileExtension[strings.TrimPrefix(filepath.Ext(m[1]), ".")] && !strings.Contains(m[1], "/") {
				continue // a file name without a folder: the page's text names the folder
			}
			_, err := os.Stat(filepath.Join(root, m[1]))
			must.NoError(t, err, must.Sprintf("%s names the file %s, which must exist", page, m[1]))
		}
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(root, filepath.Dir(page), m[1]))
			must.NoError(t, err, must.Sprintf("%s links to %s, which must exist", page, m[1]))
		}
	}
	must.Greater(t, 10, len(packages))
}

// testName matches the name of a test, or a common prefix of the names of several tests.
var testName = regexp.MustCompile(`\bTest[A-Z]\w+`)

func TestTestNamesOnPagesExist(t *testing.T) {
	var names []string
	for name := range existingNames(t) {
		if test, ok := strings.CutPrefix(name, "test/"); ok {
			names = append(names, test)
		}
	}
	for _, page := range pagesOf(t) {
		for _, begin := range testName.FindAllString(read(t, page), -1) {
			must.True(t, slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, begin) }),
				must.Sprintf("%s names the test %s, but no test name begins with it", page, begin))
		}
	}
}

func TestReferencePatterns(t *testing.T) {
	must.Eq(t, [][]string{{"`control/state.Apply`", "control/state", "Apply"}}, declaration.FindAllStringSubmatch("see `control/state.Apply`.", -1))
	must.Eq(t, "tools/pages/references_test.go", sourceFile.FindStringSubmatch("`tools/pages/references_test.go`")[1])
	must.True(t, strings.HasSuffix(link.FindStringSubmatch("[x](docs/a.md#b)")[1], "a.md"))
}
