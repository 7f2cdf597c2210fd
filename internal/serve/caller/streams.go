package caller

import (
	"context"
	"sync"
)

// streamTable holds the running requests by key, so that they can be ended when their key is withdrawn.
type streamTable struct {
	mu     sync.Mutex
	nextID uint64
	byKey  map[string]map[uint64]runningStream
}

type runningStream struct {
	cancel    context.CancelCauseFunc
	permitted func() bool
}

func newStreamTable() *streamTable {
	return &streamTable{byKey: map[string]map[uint64]runningStream{}}
}

// add registers a running request of the key; done must be called when it ends.
func (t *streamTable) add(ctx context.Context, key string, permitted func() bool) (_ context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if key == "" {
		return ctx, func() { cancel(nil) }
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	id := t.nextID
	if t.byKey[key] == nil {
		t.byKey[key] = map[uint64]runningStream{}
	}
	t.byKey[key][id] = runningStream{cancel, permitted}
	return ctx, func() {
		cancel(nil)
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.byKey[key], id)
		if len(t.byKey[key]) == 0 {
			delete(t.byKey, key)
		}
	}
}

// recheck ends every running request that is no longer permitted and returns how many it ended.
func (t *streamTable) recheck() (ended int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, streams := range t.byKey {
		for _, s := range streams {
			if !s.permitted() {
				s.cancel(errWithdrawn)
				ended++
			}
		}
	}
	return ended
}
