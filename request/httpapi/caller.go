package httpapi

import (
	"context"

	"wallport/gen/caller"
	"wallport/request/search"
)

// callerAPI implements the caller service interface that goa generates.
type callerAPI struct{ node *Node }

// deref returns what an optional field points to, or the zero value.
func deref[T any](p *T) T {
	var zero T
	if p == nil {
		return zero
	}
	return *p
}

// Search runs a search over all shards and returns the merged records.
func (a callerAPI) Search(_ context.Context, p *caller.SearchPayload) (*caller.Merged, error) {
	outcome := a.node.Run(search.Request{
		Kind: search.KindSearch, Index: p.Index, Query: p.Query, Limit: p.Limit, Deadline: deref(p.DeadlineUs), Key: deref(p.Key),
	})
	if outcome.Code != search.CodeOK {
		return nil, failure(outcome)
	}
	merged := &caller.Merged{
		Inquiry: outcome.ID, Cut: outcome.Cut, Shards: outcome.Shards, Missing: outcome.Missing,
		Records: make([]*caller.Record, 0, len(outcome.Records)),
	}
	for _, r := range outcome.Records {
		merged.Records = append(merged.Records, record(r))
	}
	return merged, nil
}

// Read reads one record.
func (a callerAPI) Read(_ context.Context, p *caller.ReadPayload) (*caller.Single, error) {
	return a.single(search.Request{Kind: search.KindRead, Index: p.Index, Record: p.ID, Deadline: deref(p.DeadlineUs), Key: deref(p.Key)})
}

// Correct changes one record, at most once per idempotency key.
func (a callerAPI) Correct(_ context.Context, p *caller.CorrectPayload) (*caller.Single, error) {
	return a.single(search.Request{Kind: search.KindCorrect, Index: p.Index, Record: p.ID, Body: p.Body, Deadline: deref(p.DeadlineUs), Key: deref(p.Key), FirstAttempt: deref(p.FirstTry)})
}

// Part fetches one part of a record, at most once per idempotency key.
func (a callerAPI) Part(_ context.Context, p *caller.PartPayload) (*caller.Single, error) {
	return a.single(search.Request{Kind: search.KindPart, Index: p.Index, Record: p.ID, Part: p.Part, Deadline: deref(p.DeadlineUs), Key: deref(p.Key), FirstAttempt: deref(p.FirstTry)})
}

// single runs a request for one record.
func (a callerAPI) single(request search.Request) (*caller.Single, error) {
	request.Digest = search.RequestDigest(&request)
	outcome := a.node.Run(request)
	if outcome.Code != search.CodeOK {
		return nil, failure(outcome)
	}
	single := &caller.Single{Inquiry: outcome.ID, Cut: outcome.Cut, Shard: outcome.Shard}
	if len(outcome.Records) > 0 {
		single.Record = record(outcome.Records[0])
	}
	if outcome.Repeat {
		single.Repeat = &outcome.Repeat
	}
	return single, nil
}

func record(r search.Record) *caller.Record {
	out := &caller.Record{ID: r.ID, Score: r.Score}
	if r.Body != "" {
		out.Body = &r.Body
	}
	return out
}

// failure converts the outcome of a failed request into the error of the caller API.
func failure(o search.Outcome) *caller.Failure {
	f := &caller.Failure{Name: string(o.Code), Message: o.Why, Ran: string(o.Ran), Inquiry: &o.ID}
	if f.Ran == "" {
		f.Ran = ranNo
	}
	if o.Retry > 0 {
		f.RetryAfter = &o.Retry
	}
	return f
}
