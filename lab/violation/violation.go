// Package violation lets tests bring the violation of an invariant about and see it.
package violation

import "wallport/runtime/invariant"

// By runs a function and returns the invariant that it violated; empty is none.
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
