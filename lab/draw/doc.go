// Package draw generates random scenarios for the simulator. There are two kinds: scenarios of a fleet with a few
// overlapping faults, load, configuration edits, concurrent edits, bookings, zone commands and resharding, and days
// on the users' platform. Every fault is repaired before the end, so that recovery can be checked as well. A
// scenario depends only on its number.
package draw
