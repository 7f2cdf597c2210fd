package voter_test

import (
	"context"
	"fmt"
	"os"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/state/voter"
)

func ExampleVoter_Propose() {
	dir, _ := os.MkdirTemp("", "voter")
	defer os.RemoveAll(dir)
	total := 0
	v := voter.New(voter.WithGroup("Count"), voter.WithName("only"), voter.WithDir(dir), voter.WithLogger(nil),
		voter.WithMachine(voter.StateMachine{
			Apply: func(data []byte) []byte {
				total += len(data)
				return fmt.Append(nil, total)
			},
			Snapshot: func() ([]byte, error) { return fmt.Append(nil, total), nil },
			Restore:  func(data []byte) error { _, err := fmt.Sscan(string(data), &total); return err },
		}))
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return v.Run(ctx) })
	result, err := v.Propose(ctx, []byte("five!"))
	fmt.Println(string(result), err)
	cancel()
	_ = group.Wait()
	// Output: 5 <nil>
}
