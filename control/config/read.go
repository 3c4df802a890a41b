// Package config reads, edits and checks the operator's configuration. Protobuf
// types are read with protojson, field by field, so that every fault is found
// in one go and each comes with its row and field.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"wallport/api/configpb"
	"wallport/runtime/wire"
)

// VersionText is a version as people and headers have it: TERM.SEQUENCE.
func VersionText(s wire.Version) string { return fmt.Sprintf("%d.%d", s.Term, s.Seq) }

// ParseVersion reads what VersionText wrote, with or without quotes.
func ParseVersion(partition int, text string) (wire.Version, bool) {
	s := wire.Version{Partition: partition}
	n, err := fmt.Sscanf(strings.Trim(text, `"`), "%d.%d", &s.Term, &s.Seq)
	return s, err == nil && n == 2
}

// JSON writes a sheet.
func JSON(s *configpb.Sheet) json.RawMessage {
	b, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(s)
	if err != nil {
		return json.RawMessage("{}")
	}
	var out bytes.Buffer
	if json.Compact(&out, b) != nil {
		return b
	}
	return out.Bytes()
}

type collector struct{ found []wire.Finding }

func (f *collector) add(place, text string, args ...any) {
	f.found = append(f.found, wire.Finding{Path: place, Text: fmt.Sprintf(text, args...)})
}

// Read decodes a whole sheet.
func Read(body []byte) (*configpb.Sheet, []wire.Finding) {
	f := &collector{}
	s := new(configpb.Sheet)
	tables, ok := f.object("sheet", body)
	if !ok {
		return s, f.found
	}
	for _, kv := range tables {
		var rows []json.RawMessage
		if !slices.Contains([]string{"services", "rows", "bookings"}, kv.name) {
			f.add(kv.name, "no such table; there are services, rows and bookings")
			continue
		}
		if json.Unmarshal(kv.value, &rows) != nil {
			f.add(kv.name, "is not a list of rows")
			continue
		}
		for i, raw := range rows {
			f.row(fmt.Sprintf("%s[%d]", kv.name, i), raw, newRow(s, kv.name))
		}
	}
	return s, f.found
}

func newRow(s *configpb.Sheet, table string) proto.Message {
	switch table {
	case "services":
		r := new(configpb.Service)
		s.Services = append(s.Services, r)
		return r
	case "rows":
		r := new(configpb.Row)
		s.Rows = append(s.Rows, r)
		return r
	default:
		r := new(configpb.Booking)
		s.Bookings = append(s.Bookings, r)
		return r
	}
}

type member struct {
	name  string
	value json.RawMessage
}

// object splits a JSON object, reporting names given twice.
func (f *collector) object(place string, raw []byte) ([]member, bool) {
	d := json.NewDecoder(bytes.NewReader(raw))
	tok, err := d.Token()
	if err != nil || tok != json.Delim('{') {
		f.add(place, "is not a JSON object")
		return nil, false
	}
	var out []member
	for d.More() {
		k, err := d.Token()
		if err != nil {
			f.add(place, "bad JSON near byte %d: %v", d.InputOffset(), err)
			return nil, false
		}
		var v json.RawMessage
		if err := d.Decode(&v); err != nil {
			f.add(place, "bad JSON near byte %d: %v", d.InputOffset(), err)
			return nil, false
		}
		name := k.(string)
		if slices.ContainsFunc(out, func(m member) bool { return m.name == name }) {
			f.add(place+"."+name, "is given twice")
		}
		out = append(out, member{name, v})
	}
	if _, err := d.Token(); err != nil {
		f.add(place, "bad JSON near byte %d: %v", d.InputOffset(), err)
		return nil, false
	}
	if _, err := d.Token(); err != io.EOF {
		f.add(place, "something follows the object at byte %d", d.InputOffset())
		return nil, false
	}
	return out, true
}

// row decodes one row, field by field.
func (f *collector) row(place string, raw []byte, into proto.Message) {
	fields, ok := f.object(place, raw)
	if !ok {
		return
	}
	for _, kv := range fields {
		at := place + "." + kv.name
		if !hasField(into, kv.name) {
			f.add(at, "no such field")
			continue
		}
		one, _ := json.Marshal(map[string]json.RawMessage{kv.name: kv.value})
		part := into.ProtoReflect().New().Interface()
		if err := protojson.Unmarshal(one, part); err != nil {
			f.add(at, "cannot take %s", clip(kv.value))
			continue
		}
		proto.Merge(into, part)
	}
}

func hasField(m proto.Message, name string) bool {
	fs := m.ProtoReflect().Descriptor().Fields()
	return fs.ByName(protoreflect.Name(name)) != nil || fs.ByJSONName(name) != nil
}

func clip(raw []byte) string {
	if len(raw) > 60 {
		return string(raw[:60]) + "..."
	}
	return string(raw)
}

// RowEdit sets or removes one row.
type RowEdit struct {
	Op    string          `json:"op"`
	Table string          `json:"table"`
	Row   json.RawMessage `json:"row"`
}

// Apply makes a new sheet of one and a list of row edits; all of them or none.
func Apply(s *configpb.Sheet, body []byte) (*configpb.Sheet, []wire.Finding) {
	f := &collector{}
	var edits []RowEdit
	if err := json.Unmarshal(body, &edits); err != nil {
		f.add("edits", "cannot be read: %v", err)
		return s, f.found
	}
	out := proto.Clone(s).(*configpb.Sheet)
	for i, e := range edits {
		place := fmt.Sprintf("edits[%d]", i)
		tmp := new(configpb.Sheet)
		if !slices.Contains([]string{"services", "rows", "bookings"}, e.Table) || e.Op != "set" && e.Op != "remove" {
			f.add(place, "op is set or remove; table is services, rows or bookings")
			continue
		}
		before := len(f.found)
		f.row(place+".row", e.Row, newRow(tmp, e.Table))
		if len(f.found) > before {
			continue
		}
		var done bool
		switch e.Table {
		case "services":
			out.Services, done = editRows(out.Services, tmp.Services[0], e.Op, func(r *configpb.Service) string { return r.Index })
		case "rows":
			out.Rows, done = editRows(out.Rows, tmp.Rows[0], e.Op, func(r *configpb.Row) string { return r.Index + "\x00" + r.Kind })
		case "bookings":
			out.Bookings, done = editRows(out.Bookings, tmp.Bookings[0], e.Op, func(r *configpb.Booking) string { return r.Id })
		}
		if !done {
			f.add(place+".row", "there is no such row to remove")
		}
	}
	return out, f.found
}

func editRows[R any](rows []R, row R, op string, key func(R) string) ([]R, bool) {
	i := slices.IndexFunc(rows, func(r R) bool { return key(r) == key(row) })
	switch {
	case op == "remove" && i < 0:
		return rows, false
	case op == "remove":
		return slices.Delete(rows, i, i+1), true
	case i < 0:
		return append(rows, row), true
	}
	rows[i] = row
	return rows, true
}
