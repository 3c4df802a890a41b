package wire

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// filler sets every encoded field to a distinct value that depends on the field's position, not its name.
// Maps get one entry, since the order of several entries is not fixed.
type filler struct{ n uint64 }

func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Tag.Get("msg") != "-" {
				f.fill(v.Field(i))
			}
		}
		return
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
		return
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
		return
	}
	f.n++
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", f.n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		// Use numbers of all sizes, including negative ones.
		n := int64(f.n) << (8 * (f.n % 7))
		if f.n%2 == 0 {
			n = -n
		}
		v.SetInt(n)
	case reflect.Uint32:
		v.SetUint(f.n << (8 * (f.n % 3)))
	case reflect.Uint64:
		v.SetUint(f.n << (8 * (f.n % 7)))
	case reflect.Uint8:
		v.SetUint(f.n)
	default:
		panic("no value for a field of kind " + v.Kind().String())
	}
}

// structsIn adds the struct types that a type contains, itself included, to found.
func structsIn(t reflect.Type, found map[reflect.Type]bool) {
	switch t.Kind() {
	case reflect.Struct:
		found[t] = true
		for i := range t.NumField() {
			structsIn(t.Field(i).Type, found)
		}
	case reflect.Pointer, reflect.Slice, reflect.Map:
		structsIn(t.Elem(), found)
	}
}

// parsePackage parses the package without its tests.
func parsePackage(t *testing.T) (files []*ast.File) {
	t.Helper()
	list, err := os.ReadDir(".")
	must.NoError(t, err)
	for _, e := range list {
		if !strings.HasSuffix(e.Name(), ".go") || strings.HasSuffix(e.Name(), "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), e.Name(), nil, 0)
		must.NoError(t, err)
		files = append(files, file)
	}
	return files
}

func TestGoldenCoversEveryKind(t *testing.T) {
	// The kinds are the package's only constants of type uint8.
	var kinds []string
	for _, file := range parsePackage(t) {
		for _, d := range file.Decls {
			group, ok := d.(*ast.GenDecl)
			if !ok || group.Tok != token.CONST {
				continue
			}
			first := group.Specs[0].(*ast.ValueSpec)
			if name, ok := first.Type.(*ast.Ident); !ok || name.Name != "uint8" {
				continue
			}
			for _, spec := range group.Specs {
				for _, name := range spec.(*ast.ValueSpec).Names {
					kinds = append(kinds, name.Name)
				}
			}
		}
	}
	must.Positive(t, len(kinds))
	must.Len(t, len(kinds), framed, must.Sprint("a new kind needs a line in the table and in the golden file"))
	for i, m := range framed {
		must.Eq(t, i+1, int(m.kind), must.Sprint(m.label))
	}
}

func TestGoldenCoversEveryType(t *testing.T) {
	encoded := map[string]bool{}
	for _, file := range parsePackage(t) {
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv != nil && f.Name.Name == "MarshalMsg" {
				receiver := f.Recv.List[0].Type
				if star, ok := receiver.(*ast.StarExpr); ok {
					receiver = star.X
				}
				encoded[receiver.(*ast.Ident).Name] = true
			}
		}
	}
	covered := map[reflect.Type]bool{}
	for _, m := range framed {
		structsIn(reflect.TypeOf(m.empty), covered)
	}
	for _, m := range bodies {
		structsIn(reflect.TypeOf(m.empty), covered)
	}
	for message := range covered {
		must.MapContainsKey(t, encoded, message.Name())
	}
	must.MapLen(t, len(encoded), covered, must.Sprint("every encoded type must be covered by the tables of golden_test.go"))
}
