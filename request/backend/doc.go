// Package backend sends requests to backends over HTTP/1.1.
//
// A [Client] owns a pool of connections for each backend. An [Exchange] is one attempt: it acquires a
// connection, writes the request, reads the complete response and classifies the result for package
// dispatch. The package does not retry requests. It only replaces an idle connection that turns out to be
// closed before a byte was written.
//
// The class of a result must be exact, because it determines whether a request may be sent again: "not
// sent" means that the kernel accepted no byte of the request. Before net/http parses a response, it is checked
// more strictly than net/http does, so that it cannot be taken for the response to another request (RFC 9112,
// sections 6.3 and 11).
package backend
