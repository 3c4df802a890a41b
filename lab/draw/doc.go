// Package draw generates random scenarios: a few overlapping faults out of the brief's complete list, together
// with load, configuration edits, races, bookings, zone calls and reshardings; and days on the users' platform.
// Every fault is repaired before the end, so that healing can be checked too. A scenario is a function of its
// number.
package draw
