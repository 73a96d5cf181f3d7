package kctcontrol

import (
	"context"
	"sync"
)

// tasks runs goroutines for calls to the ports, so that none of these calls blocks the control goroutine.
type tasks struct {
	ctx   context.Context
	group sync.WaitGroup
}

func newTasks(ctx context.Context) *tasks {
	return &tasks{ctx: ctx}
}

func (t *tasks) start(run func(context.Context)) {
	t.group.Go(func() { run(t.ctx) })
}

func (t *tasks) wait() {
	t.group.Wait()
}
