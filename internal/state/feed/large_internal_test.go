package feed

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/frankban/quicktest"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/state/registry"
)

// Another instance states an absurd size and sends a snapshot without end, or an object in it without end. Guards against keeping it in memory: the
// fetch has no other end.
func TestSnapshotWithoutEndIsCut(t *testing.T) {
	object, err := json.Marshal(registry.Object{Kind: registry.KindModel, Name: "m", Model: &registry.Model{}})
	quicktest.Assert(t, err, quicktest.IsNil)
	const stop = 256 << 20 // bytes after which the source fails
	for _, test := range []struct {
		name, begin string
		part        []byte
		size, limit int // bytes
	}{
		{"objects", "", bytes.Repeat(append(object, '\n'), chunkBytes/(len(object)+1)), 1 << 40, 0},
		{"object", `{"Kind":"Model","Name":"`, bytes.Repeat([]byte("x"), chunkBytes), 128 << 20, 16 << 20},
		{"blanks", "", bytes.Repeat([]byte(" "), chunkBytes), 128 << 20, 16 << 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				read := 0
				call := func(_ context.Context, _, _ string, _, result any) error {
					if read >= stop {
						return Error.New("the source has sent %d bytes", read)
					}
					data := test.part
					if read == 0 {
						data = append([]byte(test.begin), data...)
					}
					read += len(data)
					result.(*fetchResult).Data = data
					return nil
				}
				n := New(WithRegistry(registry.New()), WithCaller(call), WithLogger(slog.New(slog.DiscardHandler)))
				err := n.fetch(context.Background(), "source", largeDelta{To: 1, Size: test.size, Snapshot: true})
				quicktest.Check(t, err, quicktest.IsNotNil)
				quicktest.Check(t, read <= test.limit, quicktest.IsTrue, quicktest.Commentf("%d bytes read", read))
			})
		})
	}
}
