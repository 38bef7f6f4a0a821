package parts_test

import (
	"context"
	"fmt"
	"time"

	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
)

// One holder obtains a part of a limit of 3 tasks, then uses it without calling
// the platform.
func ExampleHolder() {
	ctx := context.Background()
	clock := timer.New(timer.WithManual(time.Unix(0, 0)))
	table := store.New(store.WithTimer(clock))
	if _, err := parts.SetLimit(ctx, table, "red", parts.AtMost(3), []string{"a"}); err != nil {
		fmt.Println(err)
	}
	holder := parts.New("one", "a", parts.WithTimer(clock))
	holder.Limit(map[string]parts.Dims{"red": parts.DimsOf(parts.Tasks)})
	fmt.Println("before it has a part:", holder.Take("red", parts.Count(1)))
	for range 3 {
		if err := holder.Settle(ctx, table, "red", parts.Count(3)); err != nil {
			fmt.Println(err)
		}
		clock.Advance(time.Second)
	}
	fmt.Println("3 of 3:", holder.Take("red", parts.Count(3)))
	fmt.Println("a fourth:", holder.Take("red", parts.Count(1)))
	// Output:
	// before it has a part: false
	// 3 of 3: true
	// a fourth: false
}
