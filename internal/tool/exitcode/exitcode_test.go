package exitcode_test

import (
	"fmt"

	"lycheevale/internal/tool/exitcode"
)

func Example() {
	fmt.Println(exitcode.OK, exitcode.Invalid, exitcode.Unknown)
	// Output: 0 3 6
}
