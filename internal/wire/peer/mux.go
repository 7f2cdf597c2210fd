package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// Caller calls a method of another instance by its name; result may be nil.
type Caller func(ctx context.Context, to, method string, params, result any) error

// HandlerFunc handles a call of the instance named from.
type HandlerFunc func(ctx context.Context, from string, params json.RawMessage) (result any, err error)

// Mux routes methods to handlers; it is safe for concurrent use.
type Mux struct {
	mu       sync.RWMutex
	handlers map[string]HandlerFunc
}

// NewMux returns a Mux without methods.
func NewMux() *Mux {
	return &Mux{handlers: map[string]HandlerFunc{}}
}

// Handle registers the handler of a method and panics if the method has one already.
func (m *Mux) Handle(method string, h HandlerFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, taken := m.handlers[method]; taken {
		panic(fmt.Sprintf("peer: method %s has two handlers", method))
	}
	m.handlers[method] = h
}

// Has reports whether a method has a handler.
func (m *Mux) Has(method string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, ok := m.handlers[method]
	return ok
}

// Serve calls the handler of a method.
func (m *Mux) Serve(ctx context.Context, from, method string, params json.RawMessage) (any, error) {
	m.mu.RLock()
	h, ok := m.handlers[method]
	m.mu.RUnlock()
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + method}
	}
	return h(ctx, from, params)
}

// Typed adapts a handler with typed parameters.
func Typed[P, R any](h func(ctx context.Context, from string, params P) (R, error)) HandlerFunc {
	return func(ctx context.Context, from string, raw json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return h(ctx, from, p)
	}
}
