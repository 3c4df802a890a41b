// Operators: they change the configuration sequentially and concurrently, read the configuration and evacuate zones.
// Each command is repeated unchanged, at any core, until its response is final. Some responses are lost.

package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wallport/api/routingpb"
	"wallport/lab/rules"
	"wallport/runtime/clock"
)

// operators sends and records the commands of a run.
type operators struct {
	journal *journal
	addrs   []string
	client  *http.Client
	// acksToLose is the share of the responses that are lost, in thousandths.
	acksToLose atomic.Int64
	// serial counts the changes. Each change contains its serial number, so that no two changes are identical.
	serial atomic.Int64

	mu sync.Mutex
	// newestRevision is the newest revision that is known to be committed, and table is the routing table of that
	// revision. lastRevision is the highest revision that was read or was used by a change without concurrent changes.
	newestRevision int64
	table          *routingpb.RoutingTable
	lastRevision   int64
	// outcomeUnknown reports that some command's outcome is unknown; it may still take effect later.
	outcomeUnknown bool
}

// responseTimeout bounds one call, maxCalls the number of calls for one command. baselineAckLoss is the usual value of
// acksToLose.
const (
	responseTimeout = time.Second
	maxCalls        = 60
	baselineAckLoss = 30
)

func newOperators(j *journal, addrs []string) *operators {
	o := &operators{journal: j, addrs: addrs, client: &http.Client{
		Timeout: responseTimeout, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	o.acksToLose.Store(baselineAckLoss)
	return o
}

// replace makes operators call the core at newAddr instead of the removed core at oldAddr.
func (o *operators) replace(oldAddr, newAddr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, addr := range o.addrs {
		if addr == oldAddr {
			o.addrs[i] = newAddr
		}
	}
}

// anyCore returns the address of a random core.
func (o *operators) anyCore() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.addrs[rand.IntN(len(o.addrs))]
}

// reply is the outcome of a call. Status 0 means that the core did not respond; lost means that the core responded, but
// that the run treats the response as lost on the way to the operator.
type reply struct {
	status int
	body   []byte
	lost   bool
}

// call sends one request to a random core; match is the If-Match header, if not empty.
func (o *operators) call(ctx context.Context, method, path, match, body string) reply {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.anyCore()+path, strings.NewReader(body))
	if err != nil {
		return reply{}
	}
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	return reply{resp.StatusCode, text, rand.Int64N(1000) < o.acksToLose.Load()}
}

// final reports whether a response with this status ends the command, so that it is not repeated.
func final(status int) bool {
	return status == 200 || status == 400 || status == 404 || status == 409 || status == 412 || status == 413 || status == 422
}

// sendUntilFinal repeats a command until its response is final. onAck is called for every acknowledgement that a core
// returns, including those that count as lost. It returns an empty reply if the outcome is still unknown after
// maxCalls calls or at the end of the context.
func (o *operators) sendUntilFinal(ctx context.Context, method, path, match, body string, onAck func(at int64)) reply {
	pause := 50 * time.Millisecond
	for range maxCalls {
		r := o.call(ctx, method, path, match, body)
		if r.status == 200 {
			onAck(o.journal.now())
		}
		if final(r.status) && !r.lost {
			return r
		}
		select {
		case <-ctx.Done():
			return reply{}
		case <-time.After(pause):
		}
		pause = min(pause*3/2, 500*time.Millisecond)
	}
	return reply{}
}

// changeText returns the text of a change with this revision and serial number.
type changeText func(revision, serial int64) string

// change sends a change that is based on the newest known version, with a revision that is higher by step, and records
// it with its outcome. alone means that no concurrent change is sent.
func (o *operators) change(ctx context.Context, text changeText, patch, invalid, alone bool, step int64) {
	o.mu.Lock()
	base, before := o.newestRevision, o.table
	revision := max(base, o.lastRevision) + step
	if alone {
		o.lastRevision = revision
	}
	alone = alone && !o.outcomeUnknown
	o.mu.Unlock()
	body, method := text(revision, o.serial.Add(1)), http.MethodPut
	if patch {
		method = http.MethodPatch
	}
	version := &rules.Version{Revision: revision, Base: base, Sent: o.journal.now(), Acked: rules.Never, Refused: rules.Never, Invalid: invalid, Uncontested: alone}
	version.Table = applied(before, body, base, patch)
	o.journal.withLock(func() { o.journal.Versions = append(o.journal.Versions, version) })
	r := o.sendUntilFinal(ctx, method, configPath, strconv.FormatInt(base, 10), body, func(at clock.Micros) {
		o.journal.withLock(func() {
			if version.FirstAcked == 0 {
				version.FirstAcked = at
			}
		})
	})
	at := o.journal.now()
	switch r.status {
	case 200:
		o.journal.withLock(func() { version.Acked = at })
		o.mu.Lock()
		if revision > o.newestRevision {
			o.newestRevision, o.table = revision, version.Table
		}
		o.mu.Unlock()
	case 0:
		o.mu.Lock()
		o.outcomeUnknown = true
		o.mu.Unlock()
	default:
		o.journal.withLock(func() { version.Refused = at })
	}
}

const configPath = "/-/config"

// first sends the first configuration and reports whether it was accepted.
func (o *operators) first(ctx context.Context) bool {
	o.change(ctx, completeText, false, false, true, 3)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newestRevision > 0
}

// race makes n operators change the same version concurrently, in pairs that use the same revision.
func (o *operators) race(ctx context.Context, n int) {
	var all sync.WaitGroup
	texts := []changeText{completeText, patchText}
	for i := range n {
		all.Go(func() { o.change(ctx, texts[i%2], i%2 == 1, false, false, int64(2+i/2)) })
	}
	all.Wait()
	o.refresh(ctx)
}

// refresh reads the current configuration, on which the next changes are based. It is needed after a race and after a
// command without a final response.
func (o *operators) refresh(ctx context.Context) {
	sentAt := o.journal.now()
	r := o.sendUntilFinal(ctx, http.MethodGet, configPath, "", "", func(int64) {})
	if r.status != 200 {
		return
	}
	o.read(sentAt, r)
	t := readTable(r.body)
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.GetRevision() > o.newestRevision {
		o.newestRevision, o.table = t.GetRevision(), t
	}
	o.lastRevision = max(o.lastRevision, o.newestRevision)
}

// read records a configuration that was read; sentAt is when the read was sent.
func (o *operators) read(sentAt int64, r reply) {
	at, t := o.journal.now(), readTable(r.body)
	o.journal.withLock(func() {
		o.journal.Confirmed = append(o.journal.Confirmed, rules.ConfirmedReading{Sent: sentAt, At: at, Table: t, TableOnly: true})
	})
}

// readAll reads the configuration once from a random core and records it.
func (o *operators) readAll(ctx context.Context) {
	sentAt := o.journal.now()
	if r := o.call(ctx, http.MethodGet, configPath, "", ""); r.status == 200 {
		o.read(sentAt, r)
	}
}
