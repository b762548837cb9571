package lwtstream

import (
	"testing"

	"pgregory.net/rapid"
)

var key = []byte("0123456789abcdef")

// TestIDsOpenForTheirCallerOnly guards against access to another caller's stream with
// an observed or guessed event id.
func TestIDsOpenForTheirCallerOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Position{
			Engine: rapid.StringMatching(`[a-z0-9-]{1,20}`).Draw(t, "engine"),
			Stream: rapid.StringMatching(`[a-z0-9-]{1,40}`).Draw(t, "stream"),
			Offset: rapid.Uint64().Draw(t, "offset"),
		}
		id := string(NewSigner(key, "shop").AppendID(nil, want))
		got, err := NewSigner(key, "shop").Verify(id)
		if err != nil || got != want {
			t.Fatalf("verified as %+v, error %v, want %+v", got, err, want)
		}
		if _, err := NewSigner(key, "shop2").Verify(id); err == nil {
			t.Fatal("the id was verified for another caller")
		}
		changed := []byte(id)
		at := rapid.IntRange(0, len(changed)-1).Draw(t, "at")
		changed[at] = "AB"[(changed[at]&1)^1]
		if _, err := NewSigner(key, "shop").Verify(string(changed)); err == nil && string(changed) != id {
			t.Fatal("a changed id was verified")
		}
	})
}

// FuzzOpen guards against a panic on a malformed id, or its acceptance.
func FuzzOpen(f *testing.F) {
	f.Add(string(NewSigner(key, "shop").AppendID(nil, Position{Engine: "e1", Stream: "d1-1", Offset: 7})))
	f.Add("")
	f.Add("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA")
	f.Fuzz(func(t *testing.T, id string) {
		position, err := NewSigner(key, "shop").Verify(id)
		if err != nil {
			return
		}
		if _, err := NewSigner(key, "shop").Verify(string(NewSigner(key, "shop").AppendID(nil, position))); err != nil {
			t.Errorf("position %+v: new id is not verified: %v", position, err)
		}
	})
}

// TestSequenceDeliversEachEventOnce guards against tokens that are lost, repeated or
// taken from another stream.
func TestSequenceDeliversEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.Uint64Range(0, 5).Draw(t, "start")
		sequence, delivered := NewSequence("s", start), start
		for range rapid.IntRange(0, 100).Draw(t, "events") {
			stream := rapid.SampledFrom([]string{"s", "other"}).Draw(t, "stream")
			offset := rapid.Uint64Range(0, 20).Draw(t, "offset")
			next, class := sequence.Accept(stream, offset)
			if (class == InOrder) != (stream == "s" && offset == delivered) {
				t.Fatalf("event %s/%d after %d: class %d", stream, offset, delivered, class)
			}
			if class == InOrder {
				delivered++
			}
			sequence = next
		}
		if sequence.Next() != delivered {
			t.Fatalf("next %d, want %d", sequence.Next(), delivered)
		}
	})
}

// BenchmarkAppendID measures the cost of signing the id of one event.
func BenchmarkAppendID(b *testing.B) {
	signer, buffer := NewSigner(key, "shop"), []byte{}
	b.ReportAllocs()
	for b.Loop() {
		buffer = signer.AppendID(buffer[:0], Position{Engine: "e1", Stream: "d1-0123456789ab-17", Offset: 300})
	}
}
