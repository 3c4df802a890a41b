// Package gateway serves the platform's clients over plain HTTP, on net/http.
//
// A request is read completely, within limits, and processed by its state machine (package dispatch). A
// [driver] steps the machine, executes its actions with exchanges (package backend) and timers, and
// returns one outcome, which is written as the response. If net/http accepts a request whose length other
// HTTP implementations could determine differently (RFC 9112, section 11.2), the connection is closed after
// the response.
//
// The package owns the clients' connections, the requests in flight and the bytes of their bodies. It
// reports readiness on a separate address and shuts down gracefully: it finishes the requests that it
// has read.
package gateway
