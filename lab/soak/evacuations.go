// Evacuations: a zone is drained for a while and taken back.

package soak

import (
	"context"
	"net/http"
	"time"

	"wallport/lab/rules"
)

// evacuate drains a zone for a while and takes it back.
func (o *operators) evacuate(ctx context.Context, zone string, lasts time.Duration) {
	order := &rules.Order{Zone: zone, Sent: o.j.now(), Acked: rules.Never, Back: rules.Never, BackAcked: rules.Never}
	o.j.with(func() { o.j.Orders = append(o.j.Orders, order) })
	note := func(at *int64) func(int64) {
		return func(now int64) {
			o.j.with(func() {
				if *at == 0 {
					*at = now
				}
			})
		}
	}
	calls := context.WithoutCancel(ctx)
	if r := o.carry(calls, http.MethodPost, evacuatePath+zone, "", "", note(&order.Taken)); r.status == 200 {
		o.j.with(func() { order.Acked = o.j.now() })
	}
	select {
	case <-ctx.Done():
	case <-time.After(lasts):
	}
	o.j.with(func() { order.Back = o.j.now() })
	if r := o.carry(calls, http.MethodDelete, evacuatePath+zone, "", "", note(&order.BackTaken)); r.status == 200 {
		o.j.with(func() { order.BackAcked = o.j.now() })
	}
}

const evacuatePath = "/-/evacuate/"
