// Evacuations: a zone is drained and later restored.

package soak

import (
	"context"
	"net/http"
	"time"

	"wallport/lab/rules"
	"wallport/runtime/clock"
)

// evacuate drains a zone, restores it after the duration or when the context ends, and records both commands. The
// commands themselves are repeated until their outcome is known, also after the end of the context.
func (o *operators) evacuate(ctx context.Context, zone string, duration time.Duration) {
	evacuation := &rules.Evacuation{Zone: zone, Sent: o.journal.now(), Acked: rules.Never, RestoreSent: rules.Never, RestoreAcked: rules.Never}
	o.journal.withLock(func() { o.journal.Evacuations = append(o.journal.Evacuations, evacuation) })
	recordAck := func(at *clock.Micros) func(int64) {
		return func(now clock.Micros) {
			o.journal.withLock(func() {
				if *at == 0 {
					*at = now
				}
			})
		}
	}
	calls := context.WithoutCancel(ctx)
	if r := o.sendUntilFinal(calls, http.MethodPost, evacuatePath+zone, "", "", recordAck(&evacuation.FirstAcked)); r.status == 200 {
		o.journal.withLock(func() { evacuation.Acked = o.journal.now() })
	}
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
	o.journal.withLock(func() { evacuation.RestoreSent = o.journal.now() })
	if r := o.sendUntilFinal(calls, http.MethodDelete, evacuatePath+zone, "", "", recordAck(&evacuation.RestoreFirstAcked)); r.status == 200 {
		o.journal.withLock(func() { evacuation.RestoreAcked = o.journal.now() })
	}
}

const evacuatePath = "/-/evacuate/"
