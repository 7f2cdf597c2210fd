package chain_test

import (
	"fmt"
	"io/fs"
	"os"

	"lycheevale/internal/base/chain"
)

func ExampleAs() {
	_, err := os.Open("missing")
	var found *fs.PathError
	fmt.Println(chain.As(fmt.Errorf("settings: %w", err), &found), found.Path)
	// Output: true missing
}
