package store_test

import (
	"context"
	"errors"
	"fmt"

	"lycheevale/internal/fake/store"
)

func ExampleStore() {
	s := store.New()
	s.LoadTime, s.Interval = 0, 0
	s.Fail = func(source string) error {
		if source == "broken/v1" {
			return errors.New("transfer failed")
		}
		return nil
	}
	fmt.Println(s.Fetch(context.Background(), "draft/v1"), s.Fetch(context.Background(), "broken/v1"), s.Loads())
	// Output: <nil> transfer failed 1
}
