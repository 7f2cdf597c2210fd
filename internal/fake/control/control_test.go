package control_test

import (
	"context"
	"fmt"

	"lycheevale/internal/fake/control"
	"lycheevale/internal/state/registry"
)

func ExampleNew() {
	fake := control.New()
	outcome, err := fake.System().Propose(context.Background(), registry.Command{
		RequestID: "r1",
		Changes:   []registry.Object{{Kind: registry.KindModel, Name: "quill", Model: &registry.Model{}}},
	})
	fmt.Println(outcome.Revision, outcome.InForce, err)
	// Output: 1 [entry-1 entry-2] <nil>
}
