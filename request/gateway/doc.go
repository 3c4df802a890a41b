// Package gateway serves the platform's clients over plain HTTP, on net/http.
//
// A request is read completely and within limits, and goes through its state machine (package
// dispatch): a [driver] steps the machine, carries out its actions with exchanges (package backend)
// and timers, and ends with one outcome, which is written as the response. Requests that net/http
// accepts but that others could read differently (RFC 9112, section 11.2) end their connection.
//
// The package owns the clients' connections, the requests in flight and the bytes of their bodies. It
// reports readiness on an address of its own and shuts down gracefully: what was read is finished.
package gateway
