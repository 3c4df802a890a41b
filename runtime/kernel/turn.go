// The inputs a kernel takes and the turn in which plug-ins note what should
// happen because of one of them. Nothing here acts: drivers carry it out.
package kernel

import (
	"math/rand/v2"

	"github.com/tinylib/msgp/msgp"

	"wallport/runtime/invariant"
	"wallport/runtime/wire"
)

// Input is one of the types below.
type Input any

type (
	// Start is the first input of a process.
	Start struct{}
	// ChannelUp tells of a new channel; Peer is the other side's key, proved by TLS.
	ChannelUp struct {
		Chan   uint64
		Addr   string
		Peer   string
		Zone   string
		Dialed bool
		Mesh   bool
	}
	// ChannelDown tells that a channel, or a try to open one, ended.
	ChannelDown struct {
		Chan uint64
		Addr string
		Mesh bool
	}
	// Received is one frame off a channel, still encoded.
	Received struct {
		Chan uint64
		Data []byte
	}
	// Message is a frame after decoding of its envelope.
	Message struct {
		Chan uint64
		Kind uint8
		ID   uint64
		Body []byte
	}
	// Tick is a timer that came due.
	Tick struct{ Plugin, Key string }
	// Written answers a Write once the file is synced in place, or says why not.
	Written struct{ Plugin, Key, Err string }
	// Fetched answers a Fetch.
	Fetched struct {
		Plugin, Key string
		Status      int
		Body        []byte
		Err         string
	}
	// Call is a question of this same process's API side.
	Call struct {
		Plugin string
		ID     uint64
		Ask    any
	}
	// Abandoned tells that whoever made a Call is gone: what was not sent for it need not be.
	Abandoned struct {
		Plugin string
		ID     uint64
	}
	// Thawed tells that the process did not run for a while.
	Thawed struct{ Gap int64 }
	// Stopping tells that a planned stop has begun.
	Stopping struct{}
	// SeedsChanged gives the mesh addresses of the seeds as the settings name them now.
	// They replace those before; any of them may be down, or new and empty.
	SeedsChanged struct{ Seeds []string }
)

type (
	// Send is a frame for an open channel, or, by Addr, for a direct channel opened on demand.
	Send struct {
		Chan uint64
		Addr string
		Data []byte
		// Slot, when set, lets a newer frame of the same slot take the place of one still in the backlog.
		Slot string
	}
	// Timer asks for a Tick at a moment.
	Timer struct {
		At          int64
		Plugin, Key string
	}
	// Write asks for a file: written aside, synced, renamed, directory synced. Nil data removes.
	Write struct {
		Plugin, Key, File string
		Data              []byte
	}
	// Fetch asks for one small HTTP GET.
	Fetch struct {
		Plugin, Key, URL string
		Timeout          int64
	}
	// Answer replies to a Call.
	Answer struct {
		ID    uint64
		Value any
	}
	// Note is a line for the log; Level is as in Turn.Note.
	Note struct {
		Level int8
		Event string
		KV    []any
	}
)

// Out is all that one step asks of its driver.
type Out struct {
	Sends   []Send
	Dials   []string
	Drops   []uint64
	Timers  []Timer
	Writes  []Write
	Fetches []Fetch
	Answers []Answer
	Notes   []Note
}

// Turn is one step under way.
type Context struct {
	Now    int64
	Wall   int64
	Rand   *rand.Rand
	Counts *Counts
	Out    Out
	events []Input
}

// Emit hands an event to every plug-in of this process, later in this turn.
func (t *Context) Emit(in Input) { t.events = append(t.events, in) }

// Send queues a message on a channel.
func (t *Context) Send(ch uint64, kind uint8, id uint64, m msgp.Marshaler) {
	t.Out.Sends = append(t.Out.Sends, Send{Chan: ch, Data: wire.Seal(kind, id, m)})
}

// SendSlot is Send for frames of which only the newest of a slot matters.
func (t *Context) SendSlot(ch uint64, kind uint8, m msgp.Marshaler, slot string) {
	t.Out.Sends = append(t.Out.Sends, Send{Chan: ch, Data: wire.Seal(kind, 0, m), Slot: slot})
}

// SendSlotTo is SendSlot on the direct channel to an address.
func (t *Context) SendSlotTo(addr string, kind uint8, m msgp.Marshaler, slot string) {
	t.Out.Sends = append(t.Out.Sends, Send{Addr: addr, Data: wire.Seal(kind, 0, m), Slot: slot})
}

// SendTo queues a message on the direct channel to an address.
func (t *Context) SendTo(addr string, kind uint8, id uint64, m msgp.Marshaler) {
	t.Out.Sends = append(t.Out.Sends, Send{Addr: addr, Data: wire.Seal(kind, id, m)})
}

// Dial asks for a mesh channel to an address.
func (t *Context) Dial(addr string) { t.Out.Dials = append(t.Out.Dials, addr) }

// Drop closes a channel.
func (t *Context) Drop(ch uint64) { t.Out.Drops = append(t.Out.Drops, ch) }

// After sets a timer.
func (t *Context) After(d int64, plugin, key string) {
	t.Out.Timers = append(t.Out.Timers, Timer{At: t.Now + d, Plugin: plugin, Key: key})
}

// Write asks for a durable file.
func (t *Context) Write(plugin, key, file string, data []byte) {
	t.Out.Writes = append(t.Out.Writes, Write{Plugin: plugin, Key: key, File: file, Data: data})
}

// Fetch asks for an HTTP GET.
func (t *Context) Fetch(plugin, key, url string, timeout int64) {
	t.Out.Fetches = append(t.Out.Fetches, Fetch{Plugin: plugin, Key: key, URL: url, Timeout: timeout})
}

// Answer replies to a Call.
func (t *Context) Answer(id uint64, v any) {
	t.Out.Answers = append(t.Out.Answers, Answer{ID: id, Value: v})
}

// Violated takes note of an invariant that does not hold; detail says of what.
func (t *Context) Violated(name invariant.Name, detail string) {
	t.Counts.Add(invariant.Counter(name), 1)
	t.Log(2, invariant.Event, "invariant", string(name), "detail", detail)
	invariant.End(name, detail)
}

// Note logs an event with key=value pairs. Level -1 is debug, 0 info, 1 a warning, 2 an error.
func (t *Context) Log(level int8, event string, kv ...any) {
	t.Out.Notes = append(t.Out.Notes, Note{Level: level, Event: event, KV: kv})
}
