package surface

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	_ "wallport/api/configpb"
	_ "wallport/api/routingpb"
)

// apiProse lists the keys of an OpenAPI description on which callers do not depend.
var apiProse = []string{"description", "summary", "operationId", "tags", "example", "examples"}

// apiLines flattens a part of an OpenAPI description to lines. It resolves references, because the names of the schemas
// are derived from Go's type names. named is true if the keys of v are names that the API defines rather than OpenAPI
// keywords.
func apiLines(at string, v any, schemas map[string]any, named bool) []string {
	var out []string
	switch v := v.(type) {
	case map[string]any:
		if ref, ok := v["$ref"].(string); ok {
			return apiLines(at, schemas[strings.TrimPrefix(ref, "#/components/schemas/")], schemas, false)
		}
		for k, inner := range v {
			if named || !slices.Contains(apiProse, k) {
				out = append(out, apiLines(at+" "+k, inner, schemas, !named && k == "properties")...)
			}
		}
	case []any:
		for _, inner := range v {
			out = append(out, apiLines(at+apiName(inner), inner, schemas, false)...)
		}
	default:
		return []string{fmt.Sprintf("%s: %v", at, v)}
	}
	if len(out) == 0 {
		return []string{at}
	}
	return out
}

// apiName returns the location and name of a parameter, which distinguish it in its list, or "" if v
// is not a parameter.
func apiName(v any) string {
	if p, ok := v.(map[string]any); ok && p["name"] != nil {
		return fmt.Sprintf(" %v %v", p["in"], p["name"])
	}
	return ""
}

func TestAPIIsUnchanged(t *testing.T) {
	b, err := os.ReadFile(filepath.Join(root(t), "gen", "http", "openapi3.json"))
	must.NoError(t, err)
	var api struct {
		Paths      map[string]any
		Components struct{ Schemas map[string]any }
	}
	must.NoError(t, json.Unmarshal(b, &api))
	var lines []string
	for path, v := range api.Paths {
		lines = append(lines, apiLines(path, v, api.Components.Schemas, false)...)
	}
	goldenSet(t, "api.txt", lines)
}

// TestProtobufIsUnchanged lists the messages that are not the type of a field of another message. A message's name is
// left out, because it occurs neither in the encoding nor in JSON. If a field's type is a message, the fields of that
// message are listed below the field.
func TestProtobufIsUnchanged(t *testing.T) {
	var all []protoreflect.MessageDescriptor
	inner := map[protoreflect.FullName]bool{}
	protoregistry.GlobalFiles.RangeFilesByPackage("wallport", func(f protoreflect.FileDescriptor) bool {
		must.Zero(t, f.Enums().Len(), must.Sprint("this test does not support enums"))
		for i := range f.Messages().Len() {
			m := f.Messages().Get(i)
			must.Zero(t, m.Messages().Len()+m.Enums().Len(), must.Sprint("this test does not support nested types"))
			all = append(all, m)
			for j := range m.Fields().Len() {
				if v := m.Fields().Get(j).Message(); v != nil {
					inner[v.FullName()] = true
				}
			}
		}
		return true
	})
	var blocks []string
	for _, m := range all {
		if !inner[m.FullName()] {
			blocks = append(blocks, "message"+protoFields(m, "\n\t"))
		}
	}
	slices.Sort(blocks)
	goldenLines(t, "protobuf.txt", blocks)
}

func protoFields(m protoreflect.MessageDescriptor, indent string) string {
	var out string
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		out += fmt.Sprintf("%s%d %s json=%s %s %s presence=%t", indent, f.Number(), f.Name(), f.JSONName(), f.Cardinality(), f.Kind(), f.HasPresence())
		if v := f.Message(); v != nil {
			out += protoFields(v, indent+"\t")
		}
	}
	return out
}
