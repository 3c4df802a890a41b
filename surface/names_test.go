package surface

import (
	"fmt"
	"go/ast"
	"regexp"
	"slices"
	"strings"
	"testing"
)

func TestFlagsAndDefaultsAreUnchanged(t *testing.T) {
	all, _ := sources(t)
	flags, _ := tags(all, "long")
	for i, f := range flags {
		flags[i] = regexp.MustCompile(` ?description:"([^"\\]|\\.)*"`).ReplaceAllString(f, "")
	}
	slices.Sort(flags)
	goldenLines(t, "flags.txt", flags)
}

func TestJSONTagsAreUnchanged(t *testing.T) {
	_, product := sources(t)
	_, names := tags(product, "json")
	slices.Sort(names)
	goldenLines(t, "json_tags.txt", names)
}

// TestMetricNamesAreUnchanged collects the first arguments of the methods and functions that access counters. "of" is
// the name of such a method in packages with their own counters; one of these packages puts backend_ before the name.
func TestMetricNamesAreUnchanged(t *testing.T) {
	_, product := sources(t)
	goldenSet(t, "metrics.txt", matching(firstArguments(product, "Add", "Of", "Set", "of"), `^[a-z0-9_]+(\{.*)?$`))
}

// TestHeaderNamesAreUnchanged collects the first arguments of http.Header's methods, and every
// literal that has a hyphen and the form of a header name.
func TestHeaderNamesAreUnchanged(t *testing.T) {
	_, product := sources(t)
	names := matching(firstArguments(product, "Get", "Set", "Add", "Del", "Values"), `^[A-Z][A-Za-z-]*$`)
	for _, f := range product {
		names = append(names, matching(texts(f), `^[A-Z][A-Za-z]*(-[A-Z][A-Za-z]*)+$`)...)
	}
	goldenSet(t, "headers.txt", names)
}

// TestWordsAreUnchanged collects the string literals that consist of printable ASCII without a space, or of an HTTP
// method, a space and such a text, and that contain two adjacent letters. It covers names that the other lists miss,
// such as setting keys, fields, codes, paths, file names and the events of log lines.
func TestWordsAreUnchanged(t *testing.T) {
	_, product := sources(t)
	var words []string
	for _, f := range product {
		words = append(words, matching(matching(texts(f), `^((GET|PUT|POST|PATCH|DELETE) )?[!-~]+$`), `[A-Za-z]{2}`)...)
	}
	goldenSet(t, "words.txt", words)
}

// TestMsgpKeysAreUnchanged lists the tags of each struct in the order in which they are encoded and,
// as a check of the code generated from them, the keys that each generated reader accepts. A struct
// that is encoded as a tuple has no keys and is listed with its number of fields.
func TestMsgpKeysAreUnchanged(t *testing.T) {
	all, _ := sources(t)
	var lines []string
	for _, f := range all {
		tuples := tupleNames(f)
		each(f, func(s *ast.TypeSpec) {
			if v, ok := s.Type.(*ast.StructType); ok && tuples[s.Name.Name] {
				lines = append(lines, fmt.Sprintf("tuple of %d", v.Fields.NumFields()))
			}
		})
		each(f, func(s *ast.StructType) {
			if keys := msgpKeys(s); keys != "" {
				lines = append(lines, "tags"+keys)
			}
		})
		each(f, func(d *ast.FuncDecl) {
			if ast.IsGenerated(f) && (d.Name.Name == "UnmarshalMsg" || d.Name.Name == "DecodeMsg") {
				keys := ""
				each(d, func(c *ast.CaseClause) {
					for _, e := range c.List {
						keys += " " + strings.Join(texts(e), " ")
					}
				})
				lines = append(lines, "reader"+keys)
			}
		})
	}
	slices.Sort(lines)
	goldenLines(t, "msgp.txt", lines)
}

// tupleNames returns the names of the structs that are encoded as tuples, from the file's directives.
func tupleNames(f *ast.File) map[string]bool {
	out := map[string]bool{}
	for _, group := range f.Comments {
		for _, c := range group.List {
			if names, ok := strings.CutPrefix(c.Text, "//msgp:tuple "); ok {
				for _, n := range strings.Fields(names) {
					out[n] = true
				}
			}
		}
	}
	return out
}

// msgpKeys returns the keys of a struct, or "" if none of its fields has a tag. The key of a field
// without a tag is its name in Go.
func msgpKeys(s *ast.StructType) string {
	keys, tagged := "", false
	for _, f := range s.Fields.List {
		if _, v, ok := tagOf(f, "msg"); ok {
			keys, tagged = keys+" "+v, true
			continue
		}
		for _, n := range f.Names {
			if n.IsExported() {
				keys += " " + n.Name
			}
		}
	}
	if !tagged {
		return ""
	}
	return keys
}
