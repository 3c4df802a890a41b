// Package design is wallport's API schema: the requests of callers and operators,
// their results, and the status and Retry-After header of each failure. goa
// generates the servers, clients and OpenAPI documents in the folder gen from it.
package design

import . "goa.design/goa/v3/dsl"

var _ = API("wallport", func() {
	Title("wallport")
	Description("A search front over sharded indexes")
	Server("wallport", func() {
		Services("caller", "operator")
		Host("local", func() { URI("http://127.0.0.1:8080") })
	})
})

// Failure is the body of every error response. Its field ran is "no" if the
// request certainly did not run, and "unknown" if it may have run.
var Failure = Type("Failure", func() {
	ErrorName("name", String, "Stable code of the fault")
	Attribute("message", String, "What happened, in words")
	Attribute("ran", String, "Whether the inquiry ran: no, or unknown", func() { Enum("no", "unknown") })
	Attribute("inquiry", String, "Id to explain the inquiry by")
	Attribute("retry_after", Int, "Seconds after which a retry makes sense")
	Attribute("findings", ArrayOf(Finding), "Every fault found, with its place")
	Attribute("stamp", String, "Stamp in force, where an edit lost against it")
	Required("name", "message", "ran")
})

// Finding is one error in a request, with its location.
var Finding = Type("Finding", func() {
	Attribute("place", String, "Row and field")
	Attribute("text", String, "What is wrong there")
	Required("place", "text")
})

func faults() {
	Error("malformed", Failure, "The inquiry is malformed")
	Error("unknown", Failure, "No such index, record or id")
	Error("oversize", Failure, "The inquiry is too large")
	Error("over_ceiling", Failure, "The kind's ceiling is reached")
	Error("shed", Failure, "Nothing could take the inquiry; it did not run")
	Error("given_up", Failure, "No answer in time; it may be retried")
	Error("outcome_unknown", Failure, "Written to a server, and no proof of what became of it")
	Error("conflict", Failure, "The inquiry key was used for another inquiry")
	Error("lost_race", Failure, "Another edit came first")
	Error("forbidden", Failure, "The operator token is missing or wrong")
	Error("out_of_scope", Failure, "The operator token does not allow this")
	HTTP(func() {
		retry := func() { Header("retry_after:Retry-After") }
		Response("malformed", StatusBadRequest)
		Response("unknown", StatusNotFound)
		Response("oversize", StatusRequestEntityTooLarge)
		Response("over_ceiling", StatusTooManyRequests, retry)
		Response("shed", StatusServiceUnavailable, retry)
		Response("given_up", StatusGatewayTimeout, retry)
		Response("outcome_unknown", StatusGatewayTimeout)
		Response("conflict", StatusConflict, retry)
		Response("lost_race", StatusPreconditionFailed)
		Response("forbidden", StatusUnauthorized)
		Response("out_of_scope", StatusForbidden)
	})
}
