// Package chunk transfers messages that are larger than a frame between two processes.
//
// The [Sender] splits messages into chunks; the [Assembler] joins the chunks of each connection and
// checks the complete message by its SHA-256 digest. Both are state machines: they take events and
// the current time, and return the chunks and acknowledgements to send. They own the queued
// messages, the windows and the partly assembled messages, and start no goroutine or timer: the
// caller must call Expire at intervals while they are busy.
//
// One message at a time is in flight to a destination, and the unacknowledged bytes are bounded for
// each destination and for the process, so that small frames can be sent between the chunks. The
// transfer is go-back-N with a sliding window: the receiver acknowledges the next offset that it
// expects, and after a time-out the sender resends everything from that offset. An acknowledgement
// of offset 0 requests the message from its start, for example after a reconnect. A transfer that
// makes no progress is abandoned: it is up to the caller to send the message again if it is still
// needed.
package chunk
