// Package rules checks the record of a day on the users' platform against the platform's rules. The input is a
// [Journal]: what clients, backends, operators and the platform observed from outside, and the times at which
// machines were faulty. [Journal.Check] fills in the findings and how often each rule was tested; the package keeps
// no other state. Each rule is one function over the complete journal. Times are microseconds since the day's start.
// The rules and their names come from the documentation of that platform.
package rules
