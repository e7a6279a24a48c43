package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/hornpb"
	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/reducer"
)

// Guards against fields that are lost or swapped in the conversion to and from
// protocol buffers.
func TestProtoRoundTrip(t *testing.T) {
	is := is.New(t)
	member := granter.Member{
		Name: "a-1", Incarnation: 2, Front: "127.0.0.1:1", Peer: "127.0.0.1:2",
		Data: "127.0.0.1:3", Admin: "127.0.0.1:4", Domain: "a", Leaving: true,
	}
	parts := []granter.Part{{Upstream: "u", Index: 3, Slots: 64}}
	versions := []reducer.ViewVersion{{Domain: "b", Epoch: 5, Sequence: 6, Age: 7 * time.Millisecond}}
	signals := []observer.Signaled{{At: time.UnixMilli(8), Upstream: "u", Source: observer.FromRefusedConnections, Leaving: true}}
	request := reducer.Request{
		From: member, Epoch: 9, Seen: 10, Held: parts, Config: 11, Views: versions, Signals: signals, Clock: 12,
	}
	response := reducer.Response{
		From: member, Leader: "a-2", Epoch: 13, Valid: 14 * time.Millisecond, Sequence: 15, Parts: parts,
		Quotas: []granter.Quota{{Name: "shift/s", Rate: 0.5}}, Config: 16,
		Views: []granter.View{{
			Domain: "c", Epoch: 17, Sequence: 18, Leader: "c-1", Members: []granter.Member{member},
			Holdings: []granter.Holding{{Part: parts[0], Holder: "c-2"}},
		}},
		Heard: versions, Signals: signals, Clock: 19,
	}

	var q hornpb.ExchangeRequest
	roundTrip(is, requestToProto(request), &q)
	is.Equal(requestFromProto(&q), request)
	var r hornpb.ExchangeResponse
	roundTrip(is, responseToProto(response), &r)
	is.Equal(responseFromProto(&r), response)
}

func roundTrip(is *is.I, from, to proto.Message) {
	is.Helper()
	data, err := proto.Marshal(from)
	is.NoErr(err)
	is.NoErr(proto.Unmarshal(data, to))
}
