// Operators: changes one after another and in races, evacuations and reads, each repeated unchanged at any core
// until its answer is final. Some answers are lost on their way.

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

// operators sends the commands of a run.
type operators struct {
	journal *journal
	addrs   []string
	client  *http.Client
	// acksToLose is the share of the answers that are lost, in thousandths.
	acksToLose atomic.Int64
	// serial counts the changes.
	serial atomic.Int64

	mu sync.Mutex
	// newestRevision is the newest revision that is known to be in force; table is its table.
	newestRevision int64
	table          *routingpb.RoutingTable
	lastRevision   int64
	// outcomeUnknown reports that some command's outcome is unknown: it may take effect late.
	outcomeUnknown bool
}

// Constants of operators.
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

// replace makes operators call another core in place of a removed one.
func (o *operators) replace(oldAddr, newAddr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, addr := range o.addrs {
		if addr == oldAddr {
			o.addrs[i] = newAddr
		}
	}
}

// anyCore returns the address of some core.
func (o *operators) anyCore() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.addrs[rand.IntN(len(o.addrs))]
}

// reply is the outcome of a call; status 0 means no answer, lost that the answer did not arrive.
type reply struct {
	status int
	body   []byte
	lost   bool
}

// call calls some core once.
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

// final reports whether a call's answer ends the command.
func final(status int) bool {
	return status == 200 || status == 400 || status == 404 || status == 409 || status == 412 || status == 413 || status == 422
}

// sendUntilFinal repeats a command until its answer is final; taken is called when the first acknowledgement
// left a core, lost on its way or not. A command whose outcome is still unknown after many calls is left so.
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

// changeText returns a change's text.
type changeText func(revision, serial int64) string

// change sends a change based on the newest version, with a higher revision.
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
	version := &rules.Version{Revision: revision, Base: base, Sent: o.journal.now(), Acked: rules.Never, Refused: rules.Never, Invalid: invalid, Alone: alone}
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

// first sends the first configuration until it is accepted.
func (o *operators) first(ctx context.Context) bool {
	o.change(ctx, completeText, false, false, true, 3)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newestRevision > 0
}

// race makes several operators change the same version at once, some under one revision.
func (o *operators) race(ctx context.Context, n int) {
	var all sync.WaitGroup
	texts := []changeText{completeText, patchText}
	for i := range n {
		all.Go(func() { o.change(ctx, texts[i%2], i%2 == 1, false, false, int64(2+i/2)) })
	}
	all.Wait()
	o.refresh(ctx)
}

// refresh reads the configuration in force, to base changes on: after a race, or a command without a final
// answer.
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

// read records a reading.
func (o *operators) read(sentAt int64, r reply) {
	at, t := o.journal.now(), readTable(r.body)
	o.journal.withLock(func() {
		o.journal.Confirmed = append(o.journal.Confirmed, rules.ConfirmedReading{Sent: sentAt, At: at, Table: t, TableOnly: true})
	})
}

// readAll reads the configuration once, at any core.
func (o *operators) readAll(ctx context.Context) {
	sentAt := o.journal.now()
	if r := o.call(ctx, http.MethodGet, configPath, "", ""); r.status == 200 {
		o.read(sentAt, r)
	}
}
