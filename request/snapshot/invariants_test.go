package snapshot

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/lab/violation"
	"wallport/runtime/invariant"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func TestConfigVersionGoingBackIsReported(t *testing.T) {
	builder := &Builder{config: configState{version: wire.Version{Term: 3, Seq: 9}}}
	step := &kernel.Context{Counts: kernel.NewCounts()}
	violationOf := func(term, seq uint64) invariant.Name {
		return violation.By(func() { builder.checkVersionRises(step, wire.Version{Term: term, Seq: seq}) })
	}
	must.Eq(t, "", violationOf(4, 10))
	must.Eq(t, invariant.ConfigIncreases, violationOf(3, 8))
	must.Eq(t, invariant.ConfigIncreases, violationOf(2, 12))
}
