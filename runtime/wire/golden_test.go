package wire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"
)

var update = flag.Bool("update", false, "write the golden files anew")

// goldenFile has the bytes of every message as earlier releases sent and stored them. Its lines are keyed by the labels
// of the tables below, so that a Go type can be renamed while its bytes stay the same.
const goldenFile = "testdata/messages.golden"

type message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// framed are the messages that are sent as a frame of their own kind.
var framed = []struct {
	kind  uint8
	label string
	empty message
}{
	{KindHello, "hello", &Hello{}},
	{KindHeartbeat, "heartbeat", &Heartbeat{}},
	{KindGossip, "gossip", &Entry{}},
	{KindVote, "vote", &Vote{}},
	{KindVoteReply, "vote reply", &VoteReply{}},
	{KindAccept, "accept", &Accept{}},
	{KindAcceptReply, "accept reply", &AcceptReply{}},
	{KindLeaderHeartbeat, "leader heartbeat", &LeaderHeartbeat{}},
	{KindLeaderHeartbeatReply, "leader heartbeat reply", &LeaderHeartbeatReply{}},
	{KindBootstrap, "bootstrap", &Bootstrap{}},
	{KindBootstrapReply, "bootstrap reply", &BootstrapReply{}},
	{KindPull, "pull", &Pull{}},
	{KindPullReply, "pull reply", &PullReply{}},
	{KindEdit, "edit", &Edit{}},
	{KindEditReply, "edit reply", &EditReply{}},
	{KindLeaseRequest, "lease request", &LeaseRequest{}},
	{KindLeaseReply, "lease reply", &LeaseReply{}},
	{KindAdmitRequest, "claim", &AdmitRequest{}},
	{KindAdmitReply, "claim reply", &AdmitReply{}},
	{KindOutcome, "settle", &Outcome{}},
	{KindRebuild, "rebuild", &Rebuild{}},
	{KindRebuildReply, "rebuild reply", &RebuildReply{}},
	{KindRecordsRequest, "hand over", &RecordsRequest{}},
	{KindRecordsReply, "handed", &RecordsReply{}},
	{KindSeenRequest, "seen", &SeenRequest{}},
	{KindSeenReply, "seen reply", &SeenReply{}},
	{KindNotice, "notice", &Notice{}},
	{KindLeave, "leave", &Leave{}},
	{KindChunk, "piece", &Chunk{}},
	{KindChunkAck, "piece ack", &ChunkAck{}},
	{KindStatusRequest, "status request", &StatusRequest{}},
	{KindStatusReply, "status reply", &StatusReply{}},
}

// bodies are the messages that mesh entries, versions, edits and files carry.
var bodies = []struct {
	label string
	empty message
}{
	{"member", &Member{}},
	{"listing", &BackendList{}},
	{"opinion", &HealthReport{}},
	{"usage report", &LoadReport{}},
	{"links", &Links{}},
	{"config body", &ConfigBody{}},
	{"index body", &IndexBody{}},
	{"ledger", &EditLog{}},
	{"live cut", &ShardMap{}},
	{"versioned", &Versioned{}},
}

// encoding is one line of the golden file, with the functions that encode and decode it.
type encoding struct {
	label  string
	value  message
	encode func(message) []byte
	decode func([]byte, message) error
}

// encodings returns all lines in the order of the file: for each message one line with all fields set and one line
// with no field set.
func encodings() (all []encoding) {
	add := func(label string, empty message, encode func(message) []byte, decode func([]byte, message) error) {
		f := &filler{}
		filled := newMessage(empty)
		f.fill(reflect.ValueOf(filled).Elem())
		all = append(all, encoding{label + " filled", filled, encode, decode}, encoding{label + " empty", empty, encode, decode})
	}
	for _, m := range framed {
		id := 0x0102030405060700 + uint64(m.kind)
		add(fmt.Sprintf("kind %d %s", m.kind, m.label), m.empty, func(v message) []byte {
			var stream bytes.Buffer
			if WriteTo(&stream, Seal(m.kind, id, v)) != nil {
				return nil
			}
			return stream.Bytes()
		}, func(b []byte, into message) error { return decodeFrame(b, m.kind, id, into) })
	}
	for _, m := range bodies {
		add("body "+m.label, m.empty, func(v message) []byte { return Encode(v) }, func(b []byte, into message) error { return Decode(b, into) })
	}
	return all
}

func newMessage(like message) message {
	return reflect.New(reflect.TypeOf(like).Elem()).Interface().(message)
}

// decodeFrame reads a frame with its length from a stream and checks its envelope.
func decodeFrame(b []byte, kind uint8, id uint64, into message) error {
	r := bytes.NewReader(b)
	data, err := ReadFrom(r)
	if err != nil {
		return err
	}
	f, err := Open(data)
	if err != nil {
		return err
	}
	if f.Kind != kind || f.ID != id || KindOf(data) != kind || r.Len() > 0 {
		return fmt.Errorf("unexpected frame: kind %d, id %x, %d bytes left after it", f.Kind, f.ID, r.Len())
	}
	return Decode(f.Body, into)
}

func readGolden(t *testing.T) (labels []string, golden map[string][]byte) {
	t.Helper()
	file, err := os.Open(goldenFile)
	must.NoError(t, err)
	defer file.Close()
	golden = map[string][]byte{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		label, text, found := strings.Cut(lines.Text(), ": ")
		must.True(t, found)
		b, err := hex.DecodeString(text)
		must.NoError(t, err)
		must.MapNotContainsKey(t, golden, label)
		labels, golden[label] = append(labels, label), b
	}
	must.NoError(t, lines.Err())
	return labels, golden
}

func TestGoldenBytes(t *testing.T) {
	all := encodings()
	if *update {
		var b strings.Builder
		for _, e := range all {
			fmt.Fprintf(&b, "%s: %x\n", e.label, e.encode(e.value))
		}
		must.NoError(t, os.WriteFile(goldenFile, []byte(b.String()), 0o644))
	}
	labels, golden := readGolden(t)
	var want []string
	for _, e := range all {
		want = append(want, e.label)
	}
	must.Eq(t, labels, want, must.Sprint("the golden file must have exactly the messages of the tables"))
	for _, e := range all {
		t.Run(e.label, func(t *testing.T) {
			stored := golden[e.label]
			decoded := newMessage(e.value)
			must.NoError(t, e.decode(stored, decoded))
			must.Eq(t, hex.EncodeToString(stored), hex.EncodeToString(e.encode(decoded)), must.Sprint("decoding and encoding must keep the bytes"))
			must.Eq(t, hex.EncodeToString(stored), hex.EncodeToString(e.encode(e.value)), must.Sprint("encoding the fields must produce the bytes of the golden file"))
			if strings.HasSuffix(e.label, " filled") {
				must.True(t, reflect.DeepEqual(e.value, decoded), must.Sprintf("want %+v, got %+v", e.value, decoded))
			}
		})
	}
}
