package config

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"wallport/api/configpb"
)

// rowsByKey returns the rows of a configuration by key. A key consists of the table name and the row's key fields,
// separated by spaces, and is shown to operators in this form.
func rowsByKey(configuration *configpb.Sheet) map[string]proto.Message {
	rows := map[string]proto.Message{}
	for _, row := range configuration.Services {
		rows[tableServices+" "+row.Index] = row
	}
	for _, row := range configuration.Rows {
		rows[tableRows+" "+row.Index+" "+row.Kind] = row
	}
	for _, row := range configuration.Bookings {
		rows[tableReservations+" "+row.Id] = row
	}
	return rows
}

// Diff lists the rows that were added (+), changed (~) or removed (-), sorted by key. Changed rows are listed with
// the changed fields.
func Diff(from, to *configpb.Sheet) []string {
	fromRows, toRows := rowsByKey(from), rowsByKey(to)
	var lines []string
	for key, row := range toRows {
		before, existed := fromRows[key]
		switch {
		case !existed:
			lines = append(lines, "+ "+key)
		case !proto.Equal(before, row):
			lines = append(lines, "~ "+key+" "+strings.Join(changedFields(before, row), " "))
		}
	}
	for key := range fromRows {
		if _, exists := toRows[key]; !exists {
			lines = append(lines, "- "+key)
		}
	}
	slices.SortFunc(lines, func(a, b string) int { return strings.Compare(a[2:], b[2:]) })
	return lines
}

// changedFields lists the fields in which two rows of one table differ, as name=before->after.
func changedFields(before, after proto.Message) []string {
	var changed []string
	fields := before.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		x, y := before.ProtoReflect().Get(field), after.ProtoReflect().Get(field)
		if !x.Equal(y) {
			changed = append(changed, fmt.Sprintf("%s=%v->%v", field.Name(), x.Interface(), y.Interface()))
		}
	}
	return changed
}
