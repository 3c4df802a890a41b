package backend

import (
	"net/http"
	"strings"
)

// hopByHop lists the fields that apply to a single connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the fields that apply to a single connection only, and all fields that Connection lists
// except the field named keep.
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

// listItems returns an iterator over the non-empty items of all comma-separated lists of a field.
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
