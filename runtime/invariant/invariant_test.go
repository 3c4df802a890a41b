package invariant

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestViolationIsCountedLoggedAndFatal(t *testing.T) {
	counted, logged := "", ""
	r := &Recorder{
		Count: func(counter string, n int64) { counted = counter },
		Log:   func(n Name, detail string) { logged = string(n) + " " + detail },
	}
	func() {
		defer func() {
			v, ok := recover().(Violation)
			must.True(t, ok)
			must.EqError(t, v, "runs_once: request 7 is sent again")
		}()
		r.Violated(AtMostOnce, "request %d is sent again", 7)
	}()
	must.Eq(t, `invariant_violations{invariant="runs_once"}`, counted)
	must.Eq(t, "runs_once request 7 is sent again", logged)
}

func TestNamesAreUnique(t *testing.T) {
	seen := map[Name]bool{}
	for _, n := range All() {
		must.False(t, seen[n], must.Sprint(n))
		seen[n] = true
	}
}
