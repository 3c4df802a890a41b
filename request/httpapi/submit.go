// Carrying an operator's word to the kernel, and telling what became of it.

package httpapi

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wallport/control/config"
	"wallport/control/operations"
	"wallport/gen/operator"
	"wallport/runtime/wire"
)

// callTimeout is how long an operator's call may take.
const callTimeout = 10 * time.Second

// Rebuild makes a part's group anew on the operator's word.
func (a operatorAPI) Rebuild(ctx context.Context, p *operator.RebuildPayload) (*operator.Taken, error) {
	who, err := a.node.authorizer.authorize(p.Token, config.ScopeAll, nil)
	if err != nil {
		return nil, err
	}
	if who == "" {
		who = deref(p.By)
	}
	return a.submit(ctx, wire.Edit{Op: wire.OpRebuild, Partition: p.Part, By: who}, operations.Rebuild{Partition: p.Part})
}

// submit asks the kernel and leaves a line for the audit.
func (a operatorAPI) submit(ctx context.Context, e wire.Edit, ask any) (*operator.Taken, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := a.node.process.Call(ctx, "operate", ask)
	if err != nil {
		return nil, &operator.Failure{Name: "outcome_unknown", Message: err.Error(), Ran: "unknown"}
	}
	res := v.(operations.Result)
	stamp := config.VersionText(res.Reply.Version)
	a.node.process.Log.Info("audit", zap.String("op", e.Op), zap.Int("part", e.Partition), zap.String("name", e.Name), zap.String("by", e.By), zap.String("edit_id", e.EditID),
		zap.String("result", string(res.Reply.Code)), zap.String("stamp", stamp), zap.Int("findings", len(res.Reply.Findings)))
	switch res.Reply.Code {
	case wire.CodeOK:
		return &operator.Taken{Stamp: stamp, InForce: res.InForce, Laggards: append([]string{}, res.Laggards...)}, nil
	case wire.CodeInvalid, operations.CodeUnknownZone:
		return nil, findingsFailure("malformed", res.Reply.Findings)
	case wire.CodeConflict:
		return nil, findingsFailure("conflict", res.Reply.Findings)
	case wire.CodeLostRace:
		f := findingsFailure("lost_race", res.Reply.Findings)
		f.Message = "another edit came first; read the sheet again and base the edit on it"
		f.Stamp = &stamp
		return nil, f
	case wire.CodeOverloaded:
		retry := 1
		return nil, &operator.Failure{Name: "shed", Message: "no owner of this part can be reached; nothing was changed", Ran: "no", RetryAfter: &retry}
	}
	return nil, &operator.Failure{Name: "outcome_unknown", Message: "the owner did not say what became of the edit; send it again with the same Edit-Id", Ran: "unknown"}
}
