// The operator API over goa. Every change goes to the owner of its part; the
// answer says the stamp, who has it in force, and who lags.

package httpapi

import (
	"context"
	"encoding/json"

	"wallport/cluster/membership"
	"wallport/control/config"
	"wallport/control/operations"
	"wallport/control/state"
	"wallport/gen/operator"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

type operatorAPI struct{ node *Node }

func newFailure(code, message string) *operator.Failure {
	return &operator.Failure{Name: code, Message: message, Ran: "no"}
}

// allowed reports whether a token may look.
func (a operatorAPI) allowed(token *string) error {
	_, err := a.node.authorizer.authorize(token, config.ScopeRead, nil)
	return err
}

type editParams struct {
	token, editID, basedOn, by *string
}

// submitEdit carries an edit and tells what became of it, with a line for the audit.
func (a operatorAPI) submitEdit(ctx context.Context, c editParams, e wire.Edit) (*operator.Taken, error) {
	scope, indexes := config.ScopeAll, []string(nil)
	if e.Op == wire.OpEditRows {
		scope, indexes = config.ScopeRows, config.EditedIndexes(a.node.table.Current().Configuration, e.Body)
	}
	who, err := a.node.authorizer.authorize(c.token, scope, indexes)
	if err != nil {
		return nil, err
	}
	e.EditID, e.By = deref(c.editID), deref(c.by)
	if who != "" {
		// Whom the token names, not whom the caller names, goes into audit and history.
		e.By = who
	}
	if e.Strict {
		stamp, ok := config.ParseVersion(e.Partition, deref(c.basedOn))
		if !ok && deref(c.basedOn) != "0.0" {
			return nil, findingsFailure("malformed", []wire.Finding{{Path: "If-Match", Text: "needs the stamp that the edit is based on, as GET /v1/sheet shows it"}})
		}
		e.Base = stamp
		if stamp.Term == 0 {
			e.Base = wire.Version{}
		}
	}
	return a.submit(ctx, e, operations.Submit{Edit: e, AwaitInForce: true})
}

func findingsFailure(code string, list []wire.Finding) *operator.Failure {
	f := newFailure(code, "nothing was changed")
	for _, v := range list {
		f.Findings = append(f.Findings, &operator.Finding{Place: v.Path, Text: v.Text})
	}
	return f
}

func encodeJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return b
}

func (a operatorAPI) Sheet(_ context.Context, p *operator.SheetPayload) (*operator.SheetNow, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	cp := a.node.table.Current()
	if cp.Version.Term == 0 {
		return nil, newFailure("shed", "this node has no configuration yet")
	}
	return &operator.SheetNow{Stamp: config.VersionText(cp.Config.ConfigVersion), Sheet: config.JSON(cp.Configuration)}, nil
}

func (a operatorAPI) PutSheet(ctx context.Context, p *operator.PutSheetPayload) (*operator.Taken, error) {
	return a.submitEdit(ctx, editParams{p.Token, p.EditID, p.BasedOn, p.By}, wire.Edit{Op: wire.OpPutConfig, Strict: true, Body: encodeJSON(p.Sheet)})
}

func (a operatorAPI) CheckSheet(_ context.Context, p *operator.CheckSheetPayload) ([]*operator.Finding, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	s, found := config.Read(encodeJSON(p.Sheet))
	if len(found) == 0 {
		found = config.Check(s)
	}
	return append([]*operator.Finding{}, findingsFailure("", found).Findings...), nil
}

func (a operatorAPI) History(ctx context.Context, p *operator.HistoryPayload) ([]*operator.PastSheet, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := a.node.process.Call(ctx, "operate", operations.ReadHistory{})
	history, known := v.(operations.History)
	if err != nil || !known || history.Code != wire.CodeOK {
		return nil, newFailure("shed", "no leader of the configuration can be reached")
	}
	out := []*operator.PastSheet{}
	for _, h := range history.Configurations {
		s := state.ConfigurationOf(wire.ConfigBody{Config: h.Config})
		out = append(out, &operator.PastSheet{Stamp: config.VersionText(h.Version), By: h.By, Sheet: config.JSON(s)})
	}
	return out, nil
}

func (a operatorAPI) ReturnSheet(ctx context.Context, p *operator.ReturnSheetPayload) (*operator.Taken, error) {
	return a.submitEdit(ctx, editParams{p.Token, p.EditID, p.BasedOn, p.By}, wire.Edit{Op: wire.OpRevertConfig, Strict: true, Name: p.Stamp})
}

func (a operatorAPI) EditSheet(ctx context.Context, p *operator.EditSheetPayload) (*operator.Taken, error) {
	edits := make([]config.RowEdit, 0, len(p.Edits))
	for _, e := range p.Edits {
		edits = append(edits, config.RowEdit{Op: e.Op, Table: e.Table, Row: encodeJSON(e.Row)})
	}
	return a.submitEdit(ctx, editParams{p.Token, p.EditID, p.BasedOn, p.By}, wire.Edit{Op: wire.OpEditRows, Strict: true, Body: encodeJSON(edits)})
}

func (a operatorAPI) Zone(ctx context.Context, p *operator.ZonePayload) (*operator.Taken, error) {
	return a.submitEdit(ctx, editParams{p.Token, p.EditID, p.BasedOn, p.By}, wire.Edit{Op: p.Action, Name: p.Zone})
}

func (a operatorAPI) Cut(ctx context.Context, p *operator.CutPayload) (*operator.Taken, error) {
	body := wire.Encode(&wire.ShardMap{Next: p.Cut, NextShards: p.Shards})
	return a.submitEdit(ctx, editParams{p.Token, p.EditID, p.BasedOn, p.By}, wire.Edit{Partition: state.PartitionOf(p.Index), Op: wire.OpReshard, Name: p.Index, Body: body})
}

func (a operatorAPI) Members(_ context.Context, p *operator.MembersPayload) ([]*operator.Status, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	out := []*operator.Status{}
	a.node.process.Do(func(now int64) {
		for _, r := range kernel.Find[*membership.Members](a.node.process.Kernel).All(now) {
			out = append(out, status(r))
		}
	})
	return out, nil
}

func status(r membership.Member) *operator.Status {
	s := &operator.Status{Name: r.Name, Role: r.Role, Zone: r.Zone, Addr: r.Addr, Live: r.Live, Draining: &r.Draining, Sick: &r.UnhealthyReason, InForce: "none"}
	if r.Role == "core" {
		s.Formed = &r.Bootstrapped
	}
	for _, st := range r.InForce {
		if st.Partition == state.ConfigPartition {
			s.InForce = config.VersionText(st)
		}
	}
	return s
}

func (a operatorAPI) Servers(_ context.Context, p *operator.ServersPayload) ([]*operator.ServerStatus, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	cp := a.node.table.Current()
	out := []*operator.ServerStatus{}
	for _, s := range cp.Backends {
		ramp := int64(0)
		if x := cp.Indexes[s.Index]; x != nil {
			ramp = x.Service.RampUs
		}
		out = append(out, &operator.ServerStatus{
			ID: s.ID, Addr: s.Addr, Zone: s.Zone, Index: s.Index, Cut: s.ShardMap, Shard: s.Shard,
			Verdict: s.Health.String(), Warm: int(s.SlowStartShare(a.node.process.Now(), ramp) / 10),
		})
	}
	return out, nil
}
