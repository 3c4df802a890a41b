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

// callTimeout bounds the duration of an operator API call.
const callTimeout = 10 * time.Second

// Rebuild creates a new replica group for a partition of the control state, see [operations.Rebuild].
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

// submit runs a command, writes the audit log entry for it, and converts its result into a response.
func (a operatorAPI) submit(ctx context.Context, edit wire.Edit, command any) (*operator.Taken, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := a.node.process.Call(ctx, operations.PluginName, command)
	if err != nil {
		return nil, &operator.Failure{Name: FailureOutcomeUnknown, Message: err.Error(), Ran: ranUnknown}
	}
	result := answer.(operations.Result)
	a.audit(edit, result.Reply)
	return taken(result)
}

// audit logs an edit, the operator who made it, and its result.
func (a operatorAPI) audit(edit wire.Edit, reply wire.EditReply) {
	a.node.process.Log.Info("audit",
		zap.String("op", edit.Op), zap.Int("partition", edit.Partition), zap.String("name", edit.Name), zap.String("by", edit.By),
		zap.String("edit_id", edit.EditID), zap.String("result", string(reply.Code)),
		zap.String("version", config.VersionText(reply.Version)), zap.Int("findings", len(reply.Findings)))
}

// taken returns the response to a command that was applied, or the failure for the code of its result.
func taken(result operations.Result) (*operator.Taken, error) {
	version := config.VersionText(result.Reply.Version)
	switch result.Reply.Code {
	case wire.CodeOK:
		return &operator.Taken{Stamp: version, InForce: result.InForce, Laggards: append([]string{}, result.Laggards...)}, nil
	case wire.CodeInvalid, operations.CodeUnknownZone:
		return nil, findingsFailure(FailureMalformed, result.Reply.Findings)
	case wire.CodeConflict:
		return nil, findingsFailure(FailureConflict, result.Reply.Findings)
	case wire.CodeLostRace:
		f := findingsFailure(FailureLostRace, result.Reply.Findings)
		f.Message = "another edit came first; read the sheet again and base the edit on it"
		f.Stamp = &version
		return nil, f
	case wire.CodeOverloaded:
		retry := 1
		return nil, &operator.Failure{Name: FailureOverloaded, Message: "no owner of this part can be reached; nothing was changed", Ran: ranNo, RetryAfter: &retry}
	}
	return nil, &operator.Failure{Name: FailureOutcomeUnknown, Message: "the owner did not say what became of the edit; send it again with the same Edit-Id", Ran: ranUnknown}
}
