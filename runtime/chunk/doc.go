// Package chunk carries messages that are larger than a frame between two processes.
//
// The [Sender] cuts messages into chunks; the [Assembler] joins the chunks of each connection and
// checks the complete message by its SHA-256 digest. Both are state machines: they are given what
// happened and the time, and return the chunks and acknowledgements to send. They own the queued
// messages, the windows and the partly assembled messages, and start no goroutine or timer: the
// caller calls Expire from time to time while they are busy.
//
// One message at a time is in flight to a destination, and the unacknowledged bytes are bounded for
// each destination and for the process, so that small frames pass between the chunks. The transfer is
// go-back-N with a sliding window: the receiver acknowledges the next offset that it expects, and the
// sender repeats everything from there after a time-out. Offset 0 asks for the message from its start,
// as after a reconnect. A transfer that makes no progress is abandoned: whoever sent the message sends
// it again if it still matters.
package chunk
