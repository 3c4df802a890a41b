// The caller API over goa: payloads to inquiries, outcomes to answers.

package httpapi

import (
	"context"

	"wallport/gen/caller"
	"wallport/request/search"
)

type callerAPI struct{ node *Node }

func deref[T any](p *T) T {
	var zero T
	if p == nil {
		return zero
	}
	return *p
}

func (a callerAPI) Search(ctx context.Context, p *caller.SearchPayload) (*caller.Merged, error) {
	o := a.node.Run(ctx, search.Request{Kind: search.KindSearch, Index: p.Index, Query: p.Query, Limit: p.Limit, Deadline: deref(p.DeadlineUs), Key: deref(p.Key)})
	if o.Code != search.CodeOK {
		return nil, failure(o)
	}
	out := &caller.Merged{Inquiry: o.ID, Cut: o.Cut, Shards: o.Shards, Missing: o.Missing, Records: make([]*caller.Record, 0, len(o.Records))}
	for _, r := range o.Records {
		out.Records = append(out.Records, record(r))
	}
	return out, nil
}

func (a callerAPI) Read(ctx context.Context, p *caller.ReadPayload) (*caller.Single, error) {
	return a.single(ctx, search.Request{Kind: search.KindRead, Index: p.Index, Record: p.ID, Deadline: deref(p.DeadlineUs), Key: deref(p.Key)})
}

func (a callerAPI) Correct(ctx context.Context, p *caller.CorrectPayload) (*caller.Single, error) {
	return a.single(ctx, search.Request{Kind: search.KindCorrect, Index: p.Index, Record: p.ID, Body: p.Body, Deadline: deref(p.DeadlineUs), Key: deref(p.Key), FirstAttempt: deref(p.FirstTry)})
}

func (a callerAPI) Part(ctx context.Context, p *caller.PartPayload) (*caller.Single, error) {
	return a.single(ctx, search.Request{Kind: search.KindPart, Index: p.Index, Record: p.ID, Part: p.Part, Deadline: deref(p.DeadlineUs), Key: deref(p.Key), FirstAttempt: deref(p.FirstTry)})
}

func (a callerAPI) single(ctx context.Context, in search.Request) (*caller.Single, error) {
	in.Digest = search.RequestDigest(&in)
	o := a.node.Run(ctx, in)
	if o.Code != search.CodeOK {
		return nil, failure(o)
	}
	out := &caller.Single{Inquiry: o.ID, Cut: o.Cut, Shard: o.Shard}
	if len(o.Records) > 0 {
		out.Record = record(o.Records[0])
	}
	if o.Repeat {
		out.Repeat = &o.Repeat
	}
	return out, nil
}

func record(r search.Record) *caller.Record {
	out := &caller.Record{ID: r.ID, Score: r.Score}
	if r.Body != "" {
		out.Body = &r.Body
	}
	return out
}

func failure(o search.Outcome) *caller.Failure {
	f := &caller.Failure{Name: string(o.Code), Message: o.Why, Ran: string(o.Ran), Inquiry: &o.ID}
	if f.Ran == "" {
		f.Ran = "no"
	}
	if o.Retry > 0 {
		f.RetryAfter = &o.Retry
	}
	return f
}
