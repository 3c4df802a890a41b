package process

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
)

func TestPluginIsNotifiedOfCanceledCall(t *testing.T) {
	p := &Process{inbox: make(chan kernel.Input, 2), stopping: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := p.Call(ctx, "operate", "a request")
	must.ErrorIs(t, err, context.Canceled)
	call := (<-p.inbox).(kernel.Call)
	must.Eq(t, kernel.Canceled{Plugin: "operate", ID: call.ID}, (<-p.inbox).(kernel.Canceled))
}
