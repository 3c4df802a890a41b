package kernel

import (
	"math/rand/v2"

	"github.com/tinylib/msgp/msgp"

	"wallport/runtime/clock"
	"wallport/runtime/invariant"
	"wallport/runtime/wire"
)

// Context is one step in progress: the clocks, random source and counters that a plug-in may use, and
// the output requested so far. Nothing takes effect before the driver carries out the step's [Output].
type Context struct {
	// Now is the process's monotonic clock, Wall the time since the Unix epoch.
	Now, Wall clock.Micros
	Rand      *rand.Rand
	Counts    *Counts
	Output    Output
	events    []Input
}

// Emit delivers an event to every plug-in of this process, later in this step.
func (ctx *Context) Emit(in Input) { ctx.events = append(ctx.events, in) }

// Send queues a message on a connection.
func (ctx *Context) Send(conn uint64, kind uint8, id uint64, m msgp.Marshaler) {
	ctx.Output.Sends = append(ctx.Output.Sends, Send{Conn: conn, Data: wire.Seal(kind, id, m)})
}

// SendTo queues a message on the direct connection to an address, which is opened if there is none.
func (ctx *Context) SendTo(addr string, kind uint8, id uint64, m msgp.Marshaler) {
	ctx.Output.Sends = append(ctx.Output.Sends, Send{Addr: addr, Data: wire.Seal(kind, id, m)})
}

// SendLatest is Send for a message that makes earlier ones with the same replaceKey obsolete: it
// replaces an earlier one that is still queued.
func (ctx *Context) SendLatest(conn uint64, kind uint8, m msgp.Marshaler, replaceKey string) {
	ctx.Output.Sends = append(ctx.Output.Sends, Send{Conn: conn, Data: wire.Seal(kind, 0, m), ReplaceKey: replaceKey})
}

// SendLatestTo is SendLatest on the direct connection to an address.
func (ctx *Context) SendLatestTo(addr string, kind uint8, m msgp.Marshaler, replaceKey string) {
	ctx.Output.Sends = append(ctx.Output.Sends, Send{Addr: addr, Data: wire.Seal(kind, 0, m), ReplaceKey: replaceKey})
}

// Dial requests a mesh connection to an address; ConnUp or ConnDown follows.
func (ctx *Context) Dial(addr string) { ctx.Output.Dials = append(ctx.Output.Dials, addr) }

// Drop closes a connection.
func (ctx *Context) Drop(conn uint64) { ctx.Output.Drops = append(ctx.Output.Drops, conn) }

// After delivers a Tick with a key to a plug-in once delay, in microseconds, has passed. A timer can be
// neither cancelled nor replaced: a plug-in must ignore a Tick that no longer applies.
func (ctx *Context) After(delay clock.Micros, plugin, key string) {
	tick := Tick{Plugin: plugin, Key: key}
	ctx.Output.Timers = append(ctx.Output.Timers, Timer{At: ctx.Now + delay, Tick: tick})
}

// AfterFor is After for an operation that a plug-in has in flight, identified by id.
func (ctx *Context) AfterFor(delay clock.Micros, plugin string, id uint64) {
	tick := Tick{Plugin: plugin, ID: id}
	ctx.Output.Timers = append(ctx.Output.Timers, Timer{At: ctx.Now + delay, Tick: tick})
}

// Write requests that a file be written durably, or removed if data is nil. If key is not empty, a
// [Written] reports the result.
func (ctx *Context) Write(plugin, key, file string, data []byte) {
	ctx.Output.Writes = append(ctx.Output.Writes, Write{Plugin: plugin, Key: key, File: file, Data: data})
}

// Fetch requests an HTTP GET; a [Fetched] with the same key reports the result.
func (ctx *Context) Fetch(plugin, key, url string, timeout clock.Micros) {
	ctx.Output.Fetches = append(ctx.Output.Fetches, Fetch{Plugin: plugin, Key: key, URL: url, Timeout: timeout})
}

// Reply responds to a Call.
func (ctx *Context) Reply(id uint64, v any) {
	ctx.Output.Replies = append(ctx.Output.Replies, Reply{ID: id, Value: v})
}

// Log records an event with alternating keys and values.
func (ctx *Context) Log(level Level, event string, kv ...any) {
	ctx.Output.LogEvents = append(ctx.Output.LogEvents, LogEvent{Level: level, Event: event, Fields: kv})
}

// ReportViolation counts and logs the violation of an invariant, and panics if violations are fatal;
// detail describes the violation.
func (ctx *Context) ReportViolation(name invariant.Name, detail string) {
	ctx.Counts.Add(invariant.Counter(name), 1)
	ctx.Log(LevelError, invariant.Event, "invariant", string(name), "detail", detail)
	invariant.PanicIfFatal(name, detail)
}
