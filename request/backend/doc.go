// Package backend sends requests to backends over HTTP/1.1.
//
// A [Client] owns a pool of connections for each backend. An [Exchange] is one attempt: it takes a
// connection, writes the request, reads the complete response and classifies the result for package
// dispatch. Nothing is retried here, except that an idle connection that proves closed before a byte
// was written is replaced by another one.
//
// The class of a result is exact, since it decides whether a request may be sent again: "not sent" means
// that the kernel accepted no byte of it. Responses are parsed by net/http after stricter checks, so that
// none can be taken for another request's (RFC 9112, sections 6.3 and 11).
package backend
