package backend

import (
	"net/http"
	"strings"
)

// hopByHop are the fields that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the fields that concern one connection only and those that Connection names,
// except the field to keep.
func RemoveHopByHop(h http.Header, keep string) {
	for name := range listItems(h, "Connection") {
		if name = http.CanonicalHeaderKey(name); name != keep {
			delete(h, name)
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// listItems visits the items of the comma-separated lists of a field.
func listItems(h http.Header, name string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for _, list := range h[name] {
			for item := range strings.SplitSeq(list, ",") {
				if item = strings.TrimSpace(item); item != "" && !yield(item) {
					return
				}
			}
		}
	}
}
