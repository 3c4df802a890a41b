package check

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/wire"
)

// An edit that is based on a version which no edit created is linearizable only if the fleet started with that version.
func TestHistoryStartsFromConfigInForce(t *testing.T) {
	for _, began := range []bool{true, false} {
		c := New()
		if began {
			c.SetInitialVersion(wire.Version{Term: 1, Seq: 2})
			c.SetInitialVersion(wire.Version{Term: 1, Seq: 9})
		}
		c.EditBegan(Edit{Mark: 7, Base: wire.Version{Term: 1, Seq: 2}, Version: wire.Version{Term: 1, Seq: 3}, Began: 10, Ended: 20, Code: "ok"})
		must.Eq(t, began, len(c.History().Check()) == 0, must.Sprint("SetInitialVersion was called: ", began))
	}
}
