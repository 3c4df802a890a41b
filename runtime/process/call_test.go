// A call whose caller has gone.

package process

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
)

func TestPluginIsNotifiedOfCanceledCall(t *testing.T) {
	p := &Process{inbox: make(chan kernel.Input, 2), stopping: make(chan struct{})}
	ctx, gone := context.WithCancel(context.Background())
	gone()
	_, err := p.Call(ctx, "operate", "a question")
	must.ErrorIs(t, err, context.Canceled)
	asked := (<-p.inbox).(kernel.Call)
	must.Eq(t, kernel.Canceled{Plugin: "operate", ID: asked.ID}, (<-p.inbox).(kernel.Canceled))
}
