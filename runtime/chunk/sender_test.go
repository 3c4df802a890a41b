package chunk

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

func TestUnacknowledgedBytesAreBoundedPerDestinationAndProcess(t *testing.T) {
	s := NewSender(0)
	perDestination := map[string]int{}
	total := 0
	for i := range 8 {
		s.Enqueue(0, Message{To: Destination{Addr: fmt.Sprint(i)}, Data: message(byte(i), 1<<20)})
	}
	for range 3 {
		for _, o := range s.Pump(0) {
			perDestination[o.To.Addr] += len(o.Chunk.Data)
			total += len(o.Chunk.Data)
		}
	}
	must.LessEq(t, ProcessWindow, total)
	for _, n := range perDestination {
		must.LessEq(t, DestinationWindow, n)
	}
	// Destinations that do not acknowledge block the others for only half of RetryInterval.
	must.Positive(t, len(s.Pump(RetryInterval/2)))
}

func TestUnacknowledgedBytesFillOneDestinationWindow(t *testing.T) {
	s := NewSender(0)
	s.Enqueue(0, Message{To: Destination{Addr: "a"}, Data: message(1, 1<<20)})
	total := 0
	for range 3 {
		for _, o := range s.Pump(0) {
			total += len(o.Chunk.Data)
		}
	}
	must.Eq(t, DestinationWindow, total)
}

func TestDuplicateIsSentOnceAndNewerMessageWaitsForTransferInFlight(t *testing.T) {
	x := newTransport(t, 1, faults{})
	to := Destination{Conn: 1}
	first, second, third := message(1, 300_000), message(2, 300_000), message(3, 200_000)
	for _, m := range [][]byte{first, first, second, third, third} {
		must.True(t, x.sender.Enqueue(0, Message{To: to, ReplaceKey: "version", Data: m}))
	}
	must.Eq(t, 500_000, x.sender.queuedBytes)
	x.run(10 * clock.Second)
	equalMessages(t, [][]byte{first, third}, x.arrived)
}

func TestTransferWithoutProgressIsAbandonedAndNextStarts(t *testing.T) {
	s := NewSender(0)
	to := Destination{Addr: "a"}
	s.Enqueue(0, Message{To: to, Data: message(1, 100_000)})
	s.Enqueue(0, Message{To: to, Data: message(2, 100_000)})
	first := s.Pump(0)[0].Chunk.Transfer
	must.Eq(t, 0, s.Expire(RetryInterval))
	must.Eq(t, first, s.Pump(RetryInterval)[0].Chunk.Transfer, must.Sprint("the chunks of the same transfer must be resent"))
	must.Eq(t, 1, s.Expire(ProgressTimeout))
	must.NotEq(t, first, s.Pump(ProgressTimeout)[0].Chunk.Transfer)
	must.Eq(t, 1, s.Expire(2*ProgressTimeout))
	must.False(t, s.Busy())
	must.Eq(t, 0, s.queuedBytes)
}

func TestQueueIsBounded(t *testing.T) {
	s := NewSender(0)
	to := Destination{Addr: "a"}
	for i := range MaxQueued {
		must.True(t, s.Enqueue(0, Message{To: to, Data: message(byte(i), 70_000)}))
	}
	must.False(t, s.Enqueue(0, Message{To: to, Data: message(99, 70_000)}))
	must.False(t, s.Enqueue(0, Message{To: Destination{Addr: "b"}, Data: make([]byte, wire.MaxMessage+1)}))
	s.Closed(0)
	must.True(t, s.Busy(), must.Sprint("messages to an address must remain queued when a connection is closed"))
}

func TestUnresponsiveDestinationIsSentNewestMessageOnly(t *testing.T) {
	x := newTransport(t, 1, faults{lose: 100})
	for i := range byte(9) {
		m := message(i, 200_000)
		must.True(t, x.sender.Enqueue(x.now, Message{To: Destination{Addr: "a"}, ReplaceKey: "version", Data: m}))
		x.run(RetryInterval)
	}
	must.Eq(t, 200_000, x.sender.queuedBytes)
	x.faults.lose = 0
	x.run(20 * clock.Second)
	equalMessages(t, [][]byte{message(8, 200_000)}, x.arrived[len(x.arrived)-1:])
	must.Len(t, 1, x.arrived)
}
