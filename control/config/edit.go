package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"wallport/api/configpb"
	"wallport/runtime/wire"
)

// Operations of a RowEdit.
const (
	opSet    = "set"
	opRemove = "remove"
)

// RowEdit sets or removes one row of a table. A row is identified by its key fields: a service by its
// index, a quota row by index and kind, a booking by its id.
type RowEdit struct {
	Op    string          `json:"op"`
	Table string          `json:"table"`
	Row   json.RawMessage `json:"row"`
}

// Apply returns a copy of a configuration with a JSON list of row edits applied. The copy may be used only if
// there are no findings, so that either all edits take effect or none.
func Apply(configuration *configpb.Sheet, body []byte) (*configpb.Sheet, []wire.Finding) {
	c := &collector{}
	var edits []RowEdit
	if err := json.Unmarshal(body, &edits); err != nil {
		c.add("edits", "cannot be read: %v", err)
		return configuration, c.found
	}
	edited := proto.Clone(configuration).(*configpb.Sheet)
	for i, edit := range edits {
		path := fmt.Sprintf("edits[%d]", i)
		if !isTable(edit.Table) || edit.Op != opSet && edit.Op != opRemove {
			c.add(path, "op must be set or remove; table must be services, rows or bookings")
			continue
		}
		decoded := new(configpb.Sheet)
		before := len(c.found)
		c.row(path+".row", edit.Row, newRow(decoded, edit.Table))
		if len(c.found) > before {
			continue
		}
		if !editTable(edited, decoded, edit) {
			c.add(path+".row", "there is no such row to remove")
		}
	}
	return edited, c.found
}

// editTable applies one edit to the configuration edited. decoded contains only the row of that edit. ok is false
// if the row to be removed does not exist.
func editTable(edited, decoded *configpb.Sheet, edit RowEdit) (ok bool) {
	switch edit.Table {
	case tableServices:
		edited.Services, ok = editRows(edited.Services, decoded.Services[0], edit.Op, (*configpb.Service).GetIndex)
	case tableRows:
		edited.Rows, ok = editRows(edited.Rows, decoded.Rows[0], edit.Op, quotaKey)
	case tableReservations:
		edited.Bookings, ok = editRows(edited.Bookings, decoded.Bookings[0], edit.Op, (*configpb.Booking).GetId)
	}
	return ok
}

func editRows[R any](rows []R, row R, op string, key func(R) string) (edited []R, ok bool) {
	i := slices.IndexFunc(rows, func(r R) bool { return key(r) == key(row) })
	switch {
	case op == opRemove && i < 0:
		return rows, false
	case op == opRemove:
		return slices.Delete(rows, i, i+1), true
	case i < 0:
		return append(rows, row), true
	}
	rows[i] = row
	return rows, true
}

// EditedIndexes lists the indexes affected by a JSON list of row edits, for checking whether they are within an
// operator's scope. An index that cannot be determined is listed as the empty string.
func EditedIndexes(configuration *configpb.Sheet, body []byte) []string {
	var edits []RowEdit
	if json.Unmarshal(body, &edits) != nil {
		return []string{""}
	}
	var indexes []string
	for _, edit := range edits {
		var row struct{ Index, ID string }
		if json.Unmarshal(edit.Row, &row) != nil {
			return []string{""}
		}
		indexes = append(indexes, row.Index)
		for _, booking := range configuration.GetBookings() {
			// Moving a booking to another index affects both indexes.
			if edit.Table == tableReservations && booking.Id == row.ID {
				indexes = append(indexes, booking.Index)
			}
		}
		if edit.Table == tableReservations && edit.Op == opRemove && row.Index == "" {
			indexes = slices.DeleteFunc(indexes, func(index string) bool { return index == "" })
		}
	}
	return indexes
}
