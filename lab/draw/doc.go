// Package draw generates random scenarios for the simulator. There are two kinds: scenarios of a fleet with a few
// overlapping faults, load, configuration edits, concurrent edits, bookings, zone commands and resharding, and days
// on the users' platform. Faults are repaired before the end, except for a few permanent ones such as
// vanished servers, so that recovery can be checked as well. A scenario depends only on its number.
package draw
