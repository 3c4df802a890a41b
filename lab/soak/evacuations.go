// Evacuations: a zone is drained for a while and restored.

package soak

import (
	"context"
	"net/http"
	"time"

	"wallport/lab/rules"
	"wallport/runtime/clock"
)

// evacuate drains a zone for a while and restores it.
func (o *operators) evacuate(ctx context.Context, zone string, lasts time.Duration) {
	order := &rules.Evacuation{Zone: zone, Sent: o.journal.now(), Acked: rules.Never, RestoreSent: rules.Never, RestoreAcked: rules.Never}
	o.journal.with(func() { o.journal.Evacuations = append(o.journal.Evacuations, order) })
	note := func(at *clock.Micros) func(int64) {
		return func(now clock.Micros) {
			o.journal.with(func() {
				if *at == 0 {
					*at = now
				}
			})
		}
	}
	calls := context.WithoutCancel(ctx)
	if r := o.sendUntilFinal(calls, http.MethodPost, evacuatePath+zone, "", "", note(&order.FirstAcked)); r.status == 200 {
		o.journal.with(func() { order.Acked = o.journal.now() })
	}
	select {
	case <-ctx.Done():
	case <-time.After(lasts):
	}
	o.journal.with(func() { order.RestoreSent = o.journal.now() })
	if r := o.sendUntilFinal(calls, http.MethodDelete, evacuatePath+zone, "", "", note(&order.RestoreFirstAcked)); r.status == 200 {
		o.journal.with(func() { order.RestoreAcked = o.journal.now() })
	}
}

const evacuatePath = "/-/evacuate/"
