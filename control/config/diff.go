// The difference of two sheets, row by row.

package config

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"wallport/api/configpb"
)

type rows map[string]proto.Message

func rowsByKey(s *configpb.Sheet) rows {
	out := rows{}
	for _, r := range s.Services {
		out["services "+r.Index] = r
	}
	for _, r := range s.Rows {
		out["rows "+r.Index+" "+r.Kind] = r
	}
	for _, r := range s.Bookings {
		out["bookings "+r.Id] = r
	}
	return out
}

// Diff lists the rows that are new, gone or changed, and in which fields.
func Diff(from, to *configpb.Sheet) []string {
	a, b := rowsByKey(from), rowsByKey(to)
	var out []string
	for k, r := range b {
		was, ok := a[k]
		switch {
		case !ok:
			out = append(out, "+ "+k)
		case !proto.Equal(was, r):
			out = append(out, "~ "+k+" "+strings.Join(changedFields(was, r), " "))
		}
	}
	for k := range a {
		if _, ok := b[k]; !ok {
			out = append(out, "- "+k)
		}
	}
	slices.SortFunc(out, func(x, y string) int { return strings.Compare(x[2:], y[2:]) })
	return out
}

func changedFields(a, b proto.Message) []string {
	var out []string
	fs := a.ProtoReflect().Descriptor().Fields()
	for i := range fs.Len() {
		f := fs.Get(i)
		x, y := a.ProtoReflect().Get(f), b.ProtoReflect().Get(f)
		if !x.Equal(y) {
			out = append(out, fmt.Sprintf("%s=%s->%s", f.Name(), text(x), text(y)))
		}
	}
	return out
}

func text(v protoreflect.Value) string { return fmt.Sprint(v.Interface()) }
