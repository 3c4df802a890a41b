// Tests that generated configurations are valid, invalid or different as intended.

package soak

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/control/routing"
)

func TestEveryChangeDiffers(t *testing.T) {
	must.NotEq(t, completeText(5, 1), completeText(5, 2))
	must.NotEq(t, patchText(5, 1), patchText(5, 2))
	full := applied(nil, completeText(5, 1), 0, false)
	must.SliceEmpty(t, routing.Check(full))
	patched := applied(full, patchText(7, 2), 5, true)
	must.SliceEmpty(t, routing.Check(patched))
	must.Eq(t, 7, patched.Revision)
	must.False(t, proto.Equal(patched, applied(full, patchText(7, 3), 5, true)))
	must.SliceNotEmpty(t, routing.Check(applied(nil, badText(5, 1), 0, false)))
	must.Nil(t, applied(nil, "{", 0, false))
}

func TestExtremeConfigurationsAreValid(t *testing.T) {
	for serial := range int64(len(extremes)) {
		text := extremeText(5, serial)
		must.NotEq(t, completeText(5, serial), text)
		table := applied(nil, text, 0, false)
		must.NotNil(t, table)
		must.SliceEmpty(t, routing.Check(table), must.Sprint(extremes[serial]))
	}
}
