package kernel

import "wallport/runtime/clock"

// Input is what one step of a kernel is given: one of the types below, or an event that a plug-in
// emitted for the others with [Context.Emit].
type Input any

type (
	// Start is the first input of a process.
	Start struct{}
	// ConnUp reports a new mesh connection. Peer is the fingerprint of the other side's key, as proved by TLS.
	// Dialed reports whether this process opened it, and Addr is then the address that was dialled. Direct
	// connections, which [Context.SendTo] opens, are not reported; Mesh is always set.
	ConnUp struct {
		Conn   uint64
		Addr   string
		Peer   string
		Zone   string
		Dialed bool
		Mesh   bool
	}
	// ConnDown reports that a mesh connection ended, or that an attempt to open one failed; Conn is 0 then. The
	// end of a direct connection is not reported: what was sent on it counts as lost after a time-out.
	ConnDown struct {
		Conn uint64
		Addr string
		Mesh bool
	}
	// Received is one frame from a connection, still encoded.
	Received struct {
		Conn uint64
		Data []byte
	}
	// Message is a frame whose envelope was decoded. It goes to the plug-in that registered its kind. ID is the
	// sender's number for a request; the reply to it carries the same one, and 0 stands for none.
	Message struct {
		Conn uint64
		Kind uint8
		ID   uint64
		Body []byte
	}
	// Tick is a timer that is due. It belongs to the plug-in as a whole, by Key, or to one of the
	// things that the plug-in has in flight, by ID.
	Tick struct {
		Plugin string
		Key    string
		ID     uint64
	}
	// Written is the result of a [Write] with a key: the file is durable, or Err says why not.
	Written struct{ Plugin, Key, Err string }
	// Fetched is the result of a [Fetch].
	Fetched struct {
		Plugin, Key string
		Status      int
		Body        []byte
		Err         string
	}
	// Call is a request of this process's own API side. A plug-in responds with [Context.Reply].
	Call struct {
		Plugin  string
		ID      uint64
		Request any
	}
	// Canceled reports that nobody waits for the reply to a [Call] any more: what was not sent for it need not be.
	Canceled struct {
		Plugin string
		ID     uint64
	}
	// Thawed reports that the process did not run for Gap (more than process.FreezeGap), so that its view of
	// others is out of date. It comes before any other input that was received meanwhile.
	Thawed struct{ Gap clock.Micros }
	// Stopping reports that a graceful shutdown has begun.
	Stopping struct{}
	// SeedsChanged carries the mesh addresses of the seeds as the settings name them now.
	// They replace the earlier ones; any of them may be down, or new and empty.
	SeedsChanged struct{ Seeds []string }
)
