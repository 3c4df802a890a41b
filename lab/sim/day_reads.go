// Confirmed reads of a day: at intervals the configuration and the drained zones are read through a core, for the
// history check of package rules.

package sim

import (
	"wallport/control/operations"
	"wallport/control/state"
	"wallport/lab/rules"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// confirmedReadUs is the interval between reads, and the time of the first read.
const confirmedReadUs = 2 * clock.Second

// readConfirmed reads once and schedules the next read. The core itself gives up a read that it cannot answer
// within the time-out; the next read does not wait for it.
func (c *commands) readConfirmed() {
	d := c.day
	d.sim.after(confirmedReadUs, c.readConfirmed)
	list := d.listedCores()
	if len(list) == 0 {
		return
	}
	m := list[d.sim.rng.IntN(len(list))]
	p := m.core
	if m.poweredOff || !p.up {
		return
	}
	sent := d.sim.now
	request := operations.Submit{Edit: wire.Edit{Partition: state.ConfigPartition, Op: "read"}, Timeout: answerTimeoutUs}
	p.deliver(func() {
		p.call("operate", request, func(v any) { c.recordConfirmedRead(sent, v.(operations.Result).Reply) })
	})
}

func (c *commands) recordConfirmedRead(sent clock.Micros, r wire.EditReply) {
	d := c.day
	if r.Code != wire.CodeOK {
		return
	}
	config, err := state.ReadConfig(r.Body)
	if err != nil {
		d.sim.Checker.Fail(rules.History, d.sim.now, "the body of a confirmed read cannot be decoded: %v", err)
		return
	}
	table, err := state.RoutingOf(config)
	if err != nil {
		d.sim.Checker.Fail(rules.History, d.sim.now, "the routing table of a confirmed read cannot be decoded: %v", err)
		return
	}
	d.sim.Checker.Count("confirmed_reads", 1)
	d.journal.Confirmed = append(d.journal.Confirmed, rules.ConfirmedReading{Sent: sent, At: d.sim.now, Table: table, Drained: config.DrainedZones})
}
