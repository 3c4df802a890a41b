// Header fields that concern one connection only: they are not passed on.

package backend

import (
	"net/http"
	"strings"
)

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop takes out what concerns one connection only, and what Connection names; a field to keep stays though it is named.
func RemoveHopByHop(h http.Header, keep string) {
	for o := range listItems(h, "Connection") {
		if o = http.CanonicalHeaderKey(o); o != keep {
			delete(h, o)
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// listItems visits the comma separated parts of a field.
func listItems(h http.Header, name string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for _, v := range h[name] {
			for o := range strings.SplitSeq(v, ",") {
				if o = strings.TrimSpace(o); o != "" && !yield(o) {
					return
				}
			}
		}
	}
}
