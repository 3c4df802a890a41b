package idempotency

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/snapshot"
)

// Nodes of two releases run at the same time during an upgrade and must agree on the owners of a key.
func TestOwnersMatchEarlierReleases(t *testing.T) {
	var roster []snapshot.Node
	for i := range 14 {
		roster = append(roster, snapshot.Node{Name: fmt.Sprint("node-", i), Zone: fmt.Sprint("z", i%3)})
	}
	for key, want := range map[string]string{
		"":        " node-6 node-5 node-7 node-3 node-11 node-10 node-9 node-13 node-8 node-1 node-12",
		"order-1": " node-13 node-0 node-8 node-6 node-1 node-2 node-9 node-4 node-5 node-3 node-10",
		"order-2": " node-8 node-0 node-4 node-12 node-1 node-11 node-5 node-6 node-13 node-10 node-9",
	} {
		got := ""
		for _, n := range Owners(key, roster) {
			got += " " + n.Name
		}
		must.Eq(t, want, got, must.Sprint(key))
	}
}
