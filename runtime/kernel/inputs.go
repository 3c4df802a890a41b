package kernel

import "wallport/runtime/clock"

// Input is the input of one step of a kernel: one of the types below, or an event that a plug-in
// emitted with [Context.Emit].
type Input any

type (
	// Start is the first input of a process.
	Start struct{}
	// ConnUp reports a new mesh connection. Peer is the fingerprint of the other side's key, as proved by
	// TLS. Dialed reports whether this process opened the connection. Addr is the address that was dialled
	// or, on an accepted connection, the mesh address that the peer stated. Direct connections, which
	// [Context.SendTo] opens, are not reported; Mesh is always set.
	ConnUp struct {
		Conn   uint64
		Addr   string
		Peer   string
		Zone   string
		Dialed bool
		Mesh   bool
	}
	// ConnDown reports that a mesh connection ended, or that an attempt to open one failed; Conn is 0 then. The
	// end of a direct connection is not reported: the sender treats a message without a reply as lost after a
	// time-out.
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
	// Message is a frame whose envelope was decoded. It goes to the plug-in that registered its kind. ID is
	// the request id that the sender chose; the reply carries the same id. 0 means that the frame has no id.
	Message struct {
		Conn uint64
		Kind uint8
		ID   uint64
		Body []byte
	}
	// Tick reports that a timer is due. Key names a timer of the plug-in as a whole; ID identifies the
	// operation in flight that the timer belongs to.
	Tick struct {
		Plugin string
		Key    string
		ID     uint64
	}
	// Written is the result of a [Write] with a key: the file is durable, or Err states why it is not.
	Written struct{ Plugin, Key, Err string }
	// Fetched is the result of a [Fetch].
	Fetched struct {
		Plugin, Key string
		Status      int
		Body        []byte
		Err         string
	}
	// Call is a request from this process's own API. A plug-in responds with [Context.Reply].
	Call struct {
		Plugin  string
		ID      uint64
		Request any
	}
	// Canceled reports that the caller no longer waits for the reply to a [Call]. The plug-in need not send the
	// messages that it has not yet sent for that call.
	Canceled struct {
		Plugin string
		ID     uint64
	}
	// Thawed reports that the process did not run for Gap (more than process.FreezeGap), so that its view of
	// other processes is out of date. It is delivered before all inputs that were received during the gap.
	Thawed struct{ Gap clock.Micros }
	// Stopping reports that a graceful shutdown has begun.
	Stopping struct{}
	// SeedsChanged carries the seeds' mesh addresses after a change of the settings. They replace the earlier
	// seeds. Any process at these addresses may be down, or may be new and without state.
	SeedsChanged struct{ Seeds []string }
)
