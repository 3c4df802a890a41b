// Package config reads, checks, edits and compares the operators' configuration, which the API calls a
// sheet: the services (indexes), the quotas on their requests (table rows) and the reservations of their
// capacity (table bookings).
//
// The input is JSON sent by an operator; the output is the protobuf message [configpb.Sheet] and a list of
// findings. Each finding names the table, row and field that it refers to. All findings for an input are
// reported together: JSON is decoded field by field with protojson, so that one invalid field does not hide
// another. The package also reads the file of the operators' tokens. It keeps no state.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"wallport/api/configpb"
	"wallport/runtime/wire"
)

// Names of the tables of a configuration.
const (
	tableServices     = "services"
	tableRows         = "rows"
	tableReservations = "bookings"
)

func isTable(name string) bool {
	return slices.Contains([]string{tableServices, tableRows, tableReservations}, name)
}

// newRow appends an empty row to a table and returns it.
func newRow(configuration *configpb.Sheet, table string) proto.Message {
	switch table {
	case tableServices:
		row := new(configpb.Service)
		configuration.Services = append(configuration.Services, row)
		return row
	case tableRows:
		row := new(configpb.Row)
		configuration.Rows = append(configuration.Rows, row)
		return row
	default:
		row := new(configpb.Booking)
		configuration.Bookings = append(configuration.Bookings, row)
		return row
	}
}

// quotaKey returns the key of a quota row, which is unique in a configuration: its index and kind.
func quotaKey(row *configpb.Row) string { return row.Index + "\x00" + row.Kind }

// VersionText formats a version as TERM.SEQUENCE, the form for operators and HTTP headers.
func VersionText(version wire.Version) string { return fmt.Sprintf("%d.%d", version.Term, version.Seq) }

// ParseVersion parses the output of VersionText, with or without double quotes, as a version of a partition.
// ok is false if the text is not a version.
func ParseVersion(partition int, text string) (version wire.Version, ok bool) {
	version.Partition = partition
	n, err := fmt.Sscanf(strings.Trim(text, `"`), "%d.%d", &version.Term, &version.Seq)
	return version, err == nil && n == 2
}

// JSON encodes a configuration as compact JSON with the names of the protobuf fields, unset fields
// included.
func JSON(configuration *configpb.Sheet) json.RawMessage {
	encoded, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(configuration)
	if err != nil {
		return json.RawMessage("{}")
	}
	// protojson deliberately varies its white space, so the output is compacted to make it stable.
	var compact bytes.Buffer
	if json.Compact(&compact, encoded) != nil {
		return encoded
	}
	return compact.Bytes()
}
