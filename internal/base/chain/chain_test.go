package chain_test

import (
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/zeebo/errs"

	"lycheevale/internal/base/chain"
	"lycheevale/internal/base/refusal"
)

// Checks that errors are found behind an error class, in a group and among several wrapped errors.
func TestAs(t *testing.T) {
	refused := refusal.New(refusal.Conflict, "x")
	class := errs.Class("class")
	for _, err := range []error{
		refused, class.Wrap(refused), fmt.Errorf("%w", refused), fmt.Errorf("%w: %w", io.EOF, refused), errs.Combine(io.EOF, refused),
	} {
		var found *refusal.Error
		qt.Check(t, chain.As(err, &found), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, found, qt.Equals, refused)
		qt.Check(t, errs.Is(err, refused), qt.IsTrue, qt.Commentf("%v", err))
	}
	var none *refusal.Error
	qt.Check(t, chain.As(io.EOF, &none), qt.IsFalse)
	qt.Check(t, chain.As(nil, &none), qt.IsFalse)
}
