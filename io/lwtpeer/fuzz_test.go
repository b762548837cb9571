package lwtpeer_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"lacewingtide/core/lwtmember"
	"lacewingtide/io/lwtpeer"
)

// FuzzDecodeEnvelope guards against input that makes the decoder panic or return more data
// than the input contains.
func FuzzDecodeEnvelope(f *testing.F) {
	for _, gossip := range []lwtmember.Gossip{
		{Sequence: 7, Revision: 12, TableHash: 1 << 60},
		{Join: true, Members: []lwtmember.Member{{Address: "10.0.0.1:7001", Name: "d1", Boot: 3}}},
		{Metadata: []lwtmember.Metadata{{Address: "10.0.0.1:7001", Version: 2, Values: map[string]int64{"e1": 5}}}},
	} {
		body, err := cbor.Marshal(gossip)
		if err != nil {
			f.Fatal(err)
		}
		raw, err := cbor.Marshal(lwtpeer.Envelope{Version: lwtpeer.ProtocolVersion, Type: "ping", Body: body})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
		f.Add(raw[:len(raw)/2])
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		envelope, err := lwtpeer.DecodeEnvelope(raw)
		if err != nil {
			return
		}
		if envelope.Type == "" || len(envelope.Body) > len(raw) {
			t.Errorf("decoded envelope %+v from %d bytes", envelope, len(raw))
		}
		var gossip lwtmember.Gossip
		if lwtpeer.Decode(envelope.Body, &gossip) == nil && len(gossip.Members) > len(raw) {
			t.Errorf("decoded %d members from %d bytes", len(gossip.Members), len(raw))
		}
	})
}
