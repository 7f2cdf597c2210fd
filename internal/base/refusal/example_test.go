package refusal_test

import (
	"errors"
	"fmt"

	"lycheevale/internal/base/refusal"
)

func ExampleNew() {
	e := refusal.New(refusal.UnknownModel, "model %q does not exist", "draft")
	fmt.Println(e.Status, e)
	// Output: 404 UnknownModel (NotRun): model "draft" does not exist
}

// An untyped error does not prove that the request did not run.
func ExampleFrom() {
	fmt.Println(refusal.From(fmt.Errorf("dispatch: %w", refusal.New(refusal.Unavailable, "no endpoint"))))
	fmt.Println(refusal.From(errors.New("connection reset")))
	// Output:
	// Unavailable (NotRun): no endpoint
	// OutcomeUnknown (Unknown): connection reset
}
