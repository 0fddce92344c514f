package limit_test

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
)

func ExampleGate() {
	gate := limit.NewGate(1, limit.QueueConfig{})
	now := time.Now()
	draft := &limit.Item{Class: "interactive", Caller: "coach-7", Deadline: now.Add(time.Minute)}
	fmt.Println(gate.Enter(context.Background(), now, draft))

	// The only place is taken, and this one needs longer than it has.
	review := &limit.Item{Class: "batch", Caller: "office", Deadline: now.Add(time.Second), Service: 2 * time.Second}
	fmt.Println(errors.Is(gate.Enter(context.Background(), now, review), limit.ErrShed))

	gate.Leave(now)
	fmt.Println(gate.Running())
	// Output:
	// <nil>
	// true
	// 0
}
