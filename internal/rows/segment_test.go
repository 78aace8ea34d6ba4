package rows

import (
	"reflect"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/billing"
	"github.com/peridotreel/peridotreel/internal/decide/claims"
)

// Guards against values that change when they are encoded and decoded.
func TestRowsKeepTheirValues(t *testing.T) {
	ref := core.HostRef{Host: "a/b", Incarnation: 7}
	bill := core.Bill{
		Request: core.RequestID{1, 2}, Keyed: true, Team: "t", Class: "c", Share: core.ShareID{Budget: "x", Holder: ref},
		Usage: core.Usage{Prompt: 3, Generated: 4}, Cost: 7, Finished: time.Unix(1_800_000_000, 5).UTC(),
	}
	writeID := billing.WriteID{Writer: ref, Attempt: 9}
	segment := billing.Segment{Owner: ref, Number: 2, WriteID: writeID, Previous: writeID, Bills: []core.Bill{bill}}
	head := billing.Head{Number: 2, WriteID: writeID, Count: 5, Tokens: 6}
	record := claims.Record{State: claims.Done, Holder: ref, Attempt: 3, Fingerprint: [32]byte{4}, Answer: &core.Answer{
		Completion: &core.CompletionAnswer{Text: "x", FinishReason: "stop", Usage: core.Usage{Prompt: 1, Generated: 2}}}}
	key := claims.Key{Team: "a/b%", Key: "k"}
	Convey("Decoding returns the encoded value", t, func() {
		segmentAgain, segmentErr := DecodeSegment(EncodeSegment(segment))
		headAgain, headErr := DecodeHead(EncodeHead(head))
		recordAgain, recordErr := DecodeClaim(EncodeClaim(record))
		billAgain, billErr := DecodeBill(EncodeBill(bill))
		keyAgain, keyValid := ParseClaimKey(ClaimKey(key))
		request, isBill := ParseBillKey(BillKey(bill.Request))
		So([]any{segmentAgain, headAgain, recordAgain, billAgain, keyAgain, request}, ShouldResemble,
			[]any{segment, head, record, bill, key, bill.Request})
		So([]any{segmentErr, headErr, recordErr, billErr, keyValid, isBill}, ShouldResemble, []any{nil, nil, nil, nil, true, true})
	})
}

// Guards against objects that a host cannot read or that exhaust its memory.
func TestCompressedObjects(t *testing.T) {
	bill := core.Bill{Request: core.RequestID{1}, Finished: time.Unix(1_800_000_000, 5).UTC()}
	segment := billing.Segment{Number: 1, Bills: slices.Repeat([]core.Bill{bill}, billing.MaxSegmentBills)}
	packed := EncodeSegment(segment)
	plain, err := decompress(packed)
	Convey("A segment is read with and without compression", t, func() {
		So(err, ShouldBeNil)
		So(len(plain), ShouldBeGreaterThan, 2*len(packed))
		again, err := DecodeSegment(plain)
		So(err, ShouldBeNil)
		So(again, ShouldResemble, segment)
	})
	Convey("A truncated or oversized object is rejected", t, func() {
		_, err := DecodeSegment(packed[:len(packed)-9])
		So(err, ShouldNotBeNil)
		_, err = DecodeSegment(compress(make([]byte, maxObjectBytes+1)))
		So(err, ShouldNotBeNil)
	})
}

// fuzzDecoder checks that a decoder rejects or accepts any input without a
// panic, and that accepted values are the same after another round trip.
func fuzzDecoder[V any](f *testing.F, decode func([]byte) (V, error), encode func(V) []byte) {
	f.Fuzz(func(t *testing.T, value []byte) {
		first, err := decode(value)
		if err != nil {
			return
		}
		again, err := decode(encode(first))
		if err != nil {
			t.Fatalf("%s cannot be decoded again: %v", encode(first), err)
		}
		if !reflect.DeepEqual(encode(first), encode(again)) {
			t.Fatalf("%s is decoded and encoded as %s", encode(first), encode(again))
		}
	})
}

// Guards against segments that crash a host or change when they are encoded
// again.
func FuzzDecodeSegment(f *testing.F) {
	f.Add([]byte(`{"owner":{"host":"a"},"number":1,"bills":[{"request":"00000000000000000000000000000000","finished":"9999-12-31T23:59:59-01:00"}]}`))
	f.Add(EncodeSegment(billing.Segment{Number: 1}))
	fuzzDecoder(f, DecodeSegment, EncodeSegment)
}

// Guards against the same faults in the heads of journals.
func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"number":1,"count":2,"tokens":3}`))
	fuzzDecoder(f, DecodeHead, EncodeHead)
}

// Guards against the same faults in claims and their answers.
func FuzzDecodeClaim(f *testing.F) {
	f.Add(EncodeClaim(claims.Record{State: claims.Done, Answer: &core.Answer{Service: &core.ServiceAnswer{Status: 200}}}))
	fuzzDecoder(f, DecodeClaim, EncodeClaim)
}
