// Package violation lets tests provoke the violation of an invariant and observe it.
package violation

import "wallport/runtime/invariant"

// By calls f and returns the name of the invariant that f violated, "" if f violated none. By does not recover other
// panics.
func By(f func()) (name invariant.Name) {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case invariant.Violation:
			name = v.Name
		default:
			panic(v)
		}
	}()
	f()
	return ""
}
