// The sender: few bytes under way, no message twice, and nothing that hangs.

package chunk

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/wire"
)

func TestFewBytesAreUnacknowledged(t *testing.T) {
	s := NewSender(0)
	perDestination := map[string]int{}
	total := 0
	for i := range 8 {
		s.Enqueue(0, Message{To: Destination{Addr: fmt.Sprint(i)}, Data: message(byte(i), 1<<20)})
	}
	for range 3 {
		for _, o := range s.Pump(0) {
			perDestination[o.To.Addr] += len(o.Piece.Data)
			total += len(o.Piece.Data)
		}
	}
	must.LessEq(t, ProcessWindow, total)
	for _, n := range perDestination {
		must.LessEq(t, DestinationWindow, n)
	}
	// Those that do not answer hold up the others for a moment only.
	must.Positive(t, len(s.Pump(RetryAfter/2)))
}

func TestFewBytesAreUnacknowledgedToOneDestination(t *testing.T) {
	s := NewSender(0)
	s.Enqueue(0, Message{To: Destination{Addr: "a"}, Data: message(1, 1<<20)})
	total := 0
	for range 3 {
		for _, o := range s.Pump(0) {
			total += len(o.Piece.Data)
		}
	}
	must.Eq(t, DestinationWindow, total)
}

func TestARepeatedMessageIsSentOnceAndANewerOneWaitsForTheOneUnderWay(t *testing.T) {
	x := newTransport(t, 1, way{})
	to := Destination{Conn: 1}
	first, second, third := message(1, 300_000), message(2, 300_000), message(3, 200_000)
	for _, m := range [][]byte{first, first, second, third, third} {
		must.True(t, x.sender.Enqueue(0, Message{To: to, Slot: "version", Data: m}))
	}
	must.Eq(t, 500_000, x.sender.held)
	x.run(10_000_000)
	same(t, [][]byte{first, third}, x.arrived)
}

func TestATransferWithoutProgressIsGivenUpAndTheNextOneBegins(t *testing.T) {
	s := NewSender(0)
	to := Destination{Addr: "a"}
	s.Enqueue(0, Message{To: to, Data: message(1, 100_000)})
	s.Enqueue(0, Message{To: to, Data: message(2, 100_000)})
	first := s.Pump(0)[0].Piece.Transfer
	must.Eq(t, 0, s.Expire(RetryAfter))
	must.Eq(t, first, s.Pump(RetryAfter)[0].Piece.Transfer, must.Sprint("sent again"))
	must.Eq(t, 1, s.Expire(GiveUpAfter))
	must.NotEq(t, first, s.Pump(GiveUpAfter)[0].Piece.Transfer)
	must.Eq(t, 1, s.Expire(2*GiveUpAfter))
	must.False(t, s.Busy())
	must.Eq(t, 0, s.held)
}

func TestThereIsRoomForSoManyMessagesOnly(t *testing.T) {
	s := NewSender(0)
	to := Destination{Addr: "a"}
	for i := range QueueMost {
		must.True(t, s.Enqueue(0, Message{To: to, Data: message(byte(i), 70_000)}))
	}
	must.False(t, s.Enqueue(0, Message{To: to, Data: message(99, 70_000)}))
	must.False(t, s.Enqueue(0, Message{To: Destination{Addr: "b"}, Data: make([]byte, wire.MaxMessage+1)}))
	s.Closed(0)
	must.True(t, s.Busy(), must.Sprint("an address outlives a connection"))
}

// What is under way to one that was away is the newest when it is back.
func TestOneThatDoesNotAnswerIsSentTheNewestOnly(t *testing.T) {
	x := newTransport(t, 1, way{lose: 100})
	for i := range byte(9) {
		m := message(i, 200_000)
		must.True(t, x.sender.Enqueue(x.now, Message{To: Destination{Addr: "a"}, Slot: "version", Data: m}))
		x.run(RetryAfter)
	}
	must.Eq(t, 200_000, x.sender.held)
	x.way.lose = 0
	x.run(20_000_000)
	same(t, [][]byte{message(8, 200_000)}, x.arrived[len(x.arrived)-1:])
	must.Len(t, 1, x.arrived)
}
