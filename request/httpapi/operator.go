package httpapi

import (
	"context"
	"encoding/json"

	"wallport/cluster/membership"
	"wallport/control/config"
	"wallport/control/operations"
	"wallport/control/state"
	"wallport/gen/operator"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// operatorAPI implements the operator service interface that goa generates. Every change is sent to the leader of its
// partition of the control state. The response contains the version that includes the change, and lists the nodes that
// have not applied it yet.
type operatorAPI struct{ node *Node }

// newFailure returns the failure of a command that did not run.
func newFailure(code, message string) *operator.Failure {
	return &operator.Failure{Name: code, Message: message, Ran: ranNo}
}

// allowed returns an error unless the token grants the read scope.
func (a operatorAPI) allowed(token *string) error {
	_, err := a.node.authorizer.authorize(token, config.ScopeRead, nil)
	return err
}

// noVersion is the version that the first edit of a fleet is based on.
const noVersion = "0.0"

// editParams holds the parameters that all edits have in common.
type editParams struct {
	token, editID, basedOn, by *string
}

// submitEdit authorizes an edit, sets its parameters, and submits it.
func (a operatorAPI) submitEdit(ctx context.Context, params editParams, edit wire.Edit) (*operator.Taken, error) {
	scope, indexes := config.ScopeAll, []string(nil)
	if edit.Op == wire.OpEditRows {
		scope, indexes = config.ScopeRows, config.EditedIndexes(a.node.builder.Current().Configuration, edit.Body)
	}
	who, err := a.node.authorizer.authorize(params.token, scope, indexes)
	if err != nil {
		return nil, err
	}
	edit.EditID, edit.By = deref(params.editID), deref(params.by)
	if who != "" {
		// The audit log and the history show the name of the token's holder, not the name that the operator sent.
		edit.By = who
	}
	if edit.Strict {
		base, ok := config.ParseVersion(edit.Partition, deref(params.basedOn))
		if !ok && deref(params.basedOn) != noVersion {
			return nil, findingsFailure(FailureMalformed, []wire.Finding{{Path: "If-Match", Text: "needs the stamp that the edit is based on, as GET /v1/sheet shows it"}})
		}
		edit.Base = base
		if base.Term == 0 {
			edit.Base = wire.Version{}
		}
	}
	return a.submit(ctx, edit, operations.Submit{Edit: edit, AwaitInForce: true})
}

// findingsFailure returns a failure with the findings about an operator's input.
func findingsFailure(code string, list []wire.Finding) *operator.Failure {
	f := newFailure(code, "nothing was changed")
	for _, v := range list {
		f.Findings = append(f.Findings, &operator.Finding{Place: v.Path, Text: v.Text})
	}
	return f
}

// encodeJSON encodes a decoded payload as JSON again. It returns nil if the payload cannot be encoded.
func encodeJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return b
}

// Sheet returns the configuration that this node currently applies, with its version.
func (a operatorAPI) Sheet(_ context.Context, p *operator.SheetPayload) (*operator.SheetNow, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	snapshot := a.node.builder.Current()
	if snapshot.Version.Term == 0 {
		return nil, newFailure(FailureOverloaded, "this node has no configuration yet")
	}
	return &operator.SheetNow{Stamp: config.VersionText(snapshot.Config.ConfigVersion), Sheet: config.JSON(snapshot.Configuration)}, nil
}

// PutSheet replaces the configuration.
func (a operatorAPI) PutSheet(ctx context.Context, p *operator.PutSheetPayload) (*operator.Taken, error) {
	return a.submitEdit(ctx, editParams{p.Token, p.EditID, p.BasedOn, p.By}, wire.Edit{Op: wire.OpPutConfig, Strict: true, Body: encodeJSON(p.Sheet)})
}

// CheckSheet validates a configuration and returns the findings, without changing anything.
func (a operatorAPI) CheckSheet(_ context.Context, p *operator.CheckSheetPayload) ([]*operator.Finding, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	configuration, found := config.Read(encodeJSON(p.Sheet))
	if len(found) == 0 {
		found = config.Check(configuration)
	}
	return append([]*operator.Finding{}, findingsFailure("", found).Findings...), nil
}

// History returns the earlier configurations and the current one, the newest last.
func (a operatorAPI) History(ctx context.Context, p *operator.HistoryPayload) ([]*operator.PastSheet, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := a.node.process.Call(ctx, operations.PluginName, operations.ReadHistory{})
	history, known := answer.(operations.History)
	if err != nil || !known || history.Code != wire.CodeOK {
		return nil, newFailure(FailureOverloaded, "no leader of the configuration can be reached")
	}
	list := []*operator.PastSheet{}
	for _, past := range history.Configurations {
		configuration := state.ConfigurationOf(wire.ConfigBody{Config: past.Config})
		list = append(list, &operator.PastSheet{Stamp: config.VersionText(past.Version), By: past.By, Sheet: config.JSON(configuration)})
	}
	return list, nil
}

// ReturnSheet restores an earlier configuration under a new version.
func (a operatorAPI) ReturnSheet(ctx context.Context, p *operator.ReturnSheetPayload) (*operator.Taken, error) {
	return a.submitEdit(ctx, editParams{p.Token, p.EditID, p.BasedOn, p.By}, wire.Edit{Op: wire.OpRevertConfig, Strict: true, Name: p.Stamp})
}

// EditSheet sets or removes individual rows of the configuration.
func (a operatorAPI) EditSheet(ctx context.Context, p *operator.EditSheetPayload) (*operator.Taken, error) {
	edits := make([]config.RowEdit, 0, len(p.Edits))
	for _, e := range p.Edits {
		edits = append(edits, config.RowEdit{Op: e.Op, Table: e.Table, Row: encodeJSON(e.Row)})
	}
	return a.submitEdit(ctx, editParams{p.Token, p.EditID, p.BasedOn, p.By}, wire.Edit{Op: wire.OpEditRows, Strict: true, Body: encodeJSON(edits)})
}

// Zone drains a zone or restores it.
func (a operatorAPI) Zone(ctx context.Context, p *operator.ZonePayload) (*operator.Taken, error) {
	return a.submitEdit(ctx, editParams{p.Token, p.EditID, p.BasedOn, p.By}, wire.Edit{Op: p.Action, Name: p.Zone})
}

// Cut starts moving an index to another shard map.
func (a operatorAPI) Cut(ctx context.Context, p *operator.CutPayload) (*operator.Taken, error) {
	body := wire.Encode(&wire.ShardMap{Next: p.Cut, NextShards: p.Shards})
	return a.submitEdit(ctx, editParams{p.Token, p.EditID, p.BasedOn, p.By}, wire.Edit{Partition: state.PartitionOf(p.Index), Op: wire.OpReshard, Name: p.Index, Body: body})
}

// Members lists the processes of the fleet.
func (a operatorAPI) Members(_ context.Context, p *operator.MembersPayload) ([]*operator.Status, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	list := []*operator.Status{}
	a.node.process.Do(func(now clock.Micros) {
		for _, member := range kernel.Find[*membership.Members](a.node.process.Kernel).All(now) {
			list = append(list, memberStatus(member))
		}
	})
	return list, nil
}

// memberStatus converts a member to its form in the API, with the version of the configuration that it applies.
func memberStatus(member membership.Member) *operator.Status {
	status := &operator.Status{
		Name: member.Name, Role: member.Role, Zone: member.Zone, Addr: member.Addr, Live: member.Live,
		Draining: &member.Draining, Sick: &member.UnhealthyReason, InForce: "none",
	}
	if member.Role == settings.RoleCore {
		status.Formed = &member.Bootstrapped
	}
	for _, version := range member.InForce {
		if version.Partition == state.ConfigPartition {
			status.InForce = config.VersionText(version)
		}
	}
	return status
}

// Servers lists the backends, with the health state that this node has determined for each.
func (a operatorAPI) Servers(_ context.Context, p *operator.ServersPayload) ([]*operator.ServerStatus, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	snapshot := a.node.builder.Current()
	list := []*operator.ServerStatus{}
	for _, backend := range snapshot.Backends {
		var slowStart clock.Micros
		if index := snapshot.Indexes[backend.Index]; index != nil {
			slowStart = index.Service.RampUs
		}
		list = append(list, &operator.ServerStatus{
			ID: backend.ID, Addr: backend.Addr, Zone: backend.Zone, Index: backend.Index, Cut: backend.ShardMap, Shard: backend.Shard,
			Verdict: backend.Health.String(), Warm: int(backend.SlowStartShare(a.node.process.Now(), slowStart) / 10),
		})
	}
	return list, nil
}
