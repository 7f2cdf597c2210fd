package admit

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/zeebo/errs"
	"pgregory.net/rapid"
)

// Guards against a message that arrives differently, and against a crash by bytes that are not a message.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := BorrowRequest{Items: rapid.SliceOfN(rapid.Make[BorrowItem](), 0, 3).Draw(t, "items")}
		sent.Header = rapid.Make[Header]().Draw(t, "header")
		if rapid.Bool().Draw(t, "return") {
			sent.Return = &ReturnRequest{Header: sent.Header, Items: rapid.SliceOfN(rapid.Make[ReturnItem](), 0, 3).Draw(t, "returned")}
		}
		checkRoundTrip(t, sent)
		reply := BorrowReply{Items: rapid.SliceOfN(rapid.Make[BorrowAnswer](), 0, 3).Draw(t, "answers")}
		reply.Return = &ReturnReply{Mark: rapid.Uint64().Draw(t, "mark"), Final: rapid.SliceOfN(rapid.String(), 0, 3).Draw(t, "final")}
		checkRoundTrip(t, reply)
		checkRoundTrip(t, rapid.Make[LendRequest]().Draw(t, "lend"))
		broken := rapid.SliceOf(rapid.Byte()).Draw(t, "broken")
		_ = new(BorrowReply).UnmarshalText(wireText.AppendEncode(nil, broken))
		_ = new(LendRequest).UnmarshalText(broken)
	})
}

func checkRoundTrip[M any](t *rapid.T, sent M) {
	raw, err := json.Marshal(sent)
	var got M
	if err = errs.Combine(err, json.Unmarshal(raw, &got)); err != nil {
		t.Fatal(err)
	}
	if again, _ := json.Marshal(got); string(again) != string(raw) || cmp.Diff(sent, got, cmpopts.EquateEmpty(), cmpopts.EquateNaNs()) != "" {
		t.Fatalf("sent %+v, got %+v", sent, got)
	}
}
