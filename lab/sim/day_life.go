// The end of a backend's life, planned or not, and its cold times.

package sim

import "wallport/lab/rules"

// crash ends a life; dark is without a word.
func (l *life) crash(dark bool) {
	if !l.up {
		return
	}
	d := l.d
	l.up, l.dark = false, dark
	l.seen.Ended = l.now()
	d.w.note(l.row.ID + " of " + l.row.Pool + " ends")
	for _, x := range d.exchangesOf(l) {
		if !dark {
			x.broke("reset")
		}
	}
	l.queue, l.running = nil, 0
	b := &d.backends
	b.free = append(b.free, freeAddr{l.row.Addr, l.row.Zone, l.row.Pool, l.now() + reuseUs})
	d.w.after(reuseUs, func() { l.dark = l.dark && b.byAddr[l.row.Addr] == l })
	d.w.after(crashedFor, func() { l.listed = false; b.publish() })
}

// chill makes a life cold again.
func (l *life) chill() {
	l.cold = l.now() + warmUpUs
	l.seen.Cold = append(l.seen.Cold, rules.Span{From: l.now(), To: l.cold})
}

// leave is the planned end: the list shows it, then the backend serves on for a while.
func (l *life) leave() {
	if !l.up || l.leaving {
		return
	}
	d := l.d
	l.leaving, l.row.State = true, "leaving"
	l.seen.Shown = l.now() + listLagUs
	d.backends.publish()
	d.w.after(listLagUs+d.journal.Bounds.DrainUs+300_000, func() {
		if l.up {
			l.crash(false)
			l.listed = false
			d.backends.publish()
		}
	})
}
