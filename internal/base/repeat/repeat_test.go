package repeat_test

import (
	"context"
	"fmt"
	"time"

	"lycheevale/internal/base/repeat"
)

func ExampleEvery() {
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	err := repeat.Every(ctx, time.Millisecond, func(context.Context) {
		if calls++; calls == 3 {
			cancel()
		}
	})
	fmt.Println(calls, err)
	// Output: 3 <nil>
}
