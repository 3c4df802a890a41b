package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"wallport/api/configpb"
	"wallport/runtime/wire"
)

// maxQuotedBytes is the maximum length of the quotation of an invalid value in a finding.
const maxQuotedBytes = 60

// collector collects the findings of one input.
type collector struct{ found []wire.Finding }

func (c *collector) add(path, format string, args ...any) {
	c.found = append(c.found, wire.Finding{Path: path, Text: fmt.Sprintf(format, args...)})
}

// Read decodes a whole configuration. Even if there are findings, it returns the parts that could be decoded.
func Read(body []byte) (*configpb.Sheet, []wire.Finding) {
	c := &collector{}
	configuration := new(configpb.Sheet)
	tables, ok := c.object("sheet", body)
	if !ok {
		return configuration, c.found
	}
	for _, table := range tables {
		if !isTable(table.name) {
			c.add(table.name, "no such table; the tables are services, rows and bookings")
			continue
		}
		var rows []json.RawMessage
		if json.Unmarshal(table.value, &rows) != nil {
			c.add(table.name, "is not a list of rows")
			continue
		}
		for i, row := range rows {
			c.row(fmt.Sprintf("%s[%d]", table.name, i), row, newRow(configuration, table.name))
		}
	}
	return configuration, c.found
}

// member is a name/value pair of a JSON object.
type member struct {
	name  string
	value json.RawMessage
}

// object splits a JSON object into its members and adds a finding for each duplicate name. ok is false if the
// text is not exactly one JSON object.
func (c *collector) object(path string, text []byte) (members []member, ok bool) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	badJSON := func(err error) ([]member, bool) {
		c.add(path, "invalid JSON near byte %d: %v", decoder.InputOffset(), err)
		return nil, false
	}
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		c.add(path, "is not a JSON object")
		return nil, false
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return badJSON(err)
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return badJSON(err)
		}
		name := key.(string)
		if slices.ContainsFunc(members, func(m member) bool { return m.name == name }) {
			c.add(path+"."+name, "is given twice")
		}
		members = append(members, member{name, value})
	}
	if _, err := decoder.Token(); err != nil {
		return badJSON(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		c.add(path, "unexpected data after the object, near byte %d", decoder.InputOffset())
		return nil, false
	}
	return members, true
}

// row decodes one row into a message, field by field.
func (c *collector) row(path string, text []byte, message proto.Message) {
	members, ok := c.object(path, text)
	if !ok {
		return
	}
	for _, m := range members {
		fieldPath := path + "." + m.name
		if !hasField(message, m.name) {
			c.add(fieldPath, "no such field")
			continue
		}
		single, _ := json.Marshal(map[string]json.RawMessage{m.name: m.value})
		field := message.ProtoReflect().New().Interface()
		if err := protojson.Unmarshal(single, field); err != nil {
			c.add(fieldPath, "invalid value for this field: %s", abbreviate(m.value))
			continue
		}
		proto.Merge(message, field)
	}
}

func hasField(message proto.Message, name string) bool {
	fields := message.ProtoReflect().Descriptor().Fields()
	return fields.ByName(protoreflect.Name(name)) != nil || fields.ByJSONName(name) != nil
}

func abbreviate(text []byte) string {
	if len(text) > maxQuotedBytes {
		return string(text[:maxQuotedBytes]) + "..."
	}
	return string(text)
}
