// Package rules checks a day on the users' platform against the platform's rules. Input is a [Journal]: what
// clients, backends, operators and the platform observed from outside, and when machines were faulty.
// [Journal.Check] fills in its findings and how often each rule was tested; the package keeps no other state.
// Each rule is one function over the complete journal. Times are microseconds since the day's start. The rules
// and their names come from the users' platform pages.
package rules
