package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"lycheevale/internal/base/event"
	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/serve/engine"
)

var commandKinds = map[scheduler.ActionKind]engine.CommandKind{
	scheduler.Load:     engine.LoadAdapter,
	scheduler.Unload:   engine.UnloadAdapter,
	scheduler.SetModel: engine.LoadModel,
	scheduler.SetRole:  engine.ChangeRole,
}

// runCommand sends one control command and reports its result to the scheduler.
func (o *Owner) runCommand(e *ownedEndpoint, a scheduler.Action) {
	c := o.describeCommand(a)
	err := o.send(e, a, c)
	o.logCommand(a, err)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	switch a.Kind {
	case scheduler.Load:
		o.options.LoadEnded(a.Endpoint, a.Adapter)
		o.scheduler.Loaded(now, scheduler.LoadResult{
			Endpoint: a.Endpoint, Adapter: a.Adapter, Incarnation: a.Incarnation, Failed: err != nil,
		})
	case scheduler.SetModel, scheduler.SetRole:
		o.scheduler.CommandEnded(now, scheduler.CommandResult{ID: a.ID, Incarnation: a.Incarnation, Failed: err != nil})
	}
	e.commands--
	o.checkStopped(e)
	o.wakeLoop()
}

func (o *Owner) describeCommand(a scheduler.Action) engine.Command {
	c := engine.Command{
		ID: a.ID, Kind: commandKinds[a.Kind], Fence: a.Fence, Deadline: o.options.Now().Add(o.options.LoadTimeout),
		Target: a.Value,
	}
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	if !a.Adapter.IsBase() {
		c.Target = target(a.Adapter, "")
		c.Source = o.options.Source(a.Adapter)
	}
	if !a.Evict.IsBase() {
		c.Evict = target(a.Evict, "")
	}
	return c
}

// send sends the command to the engine unless the lease has expired or the engine has restarted since the decision.
// An engine that ignores fencing numbers is protected only by the deadline: the next owner waits until it has passed.
func (o *Owner) send(e *ownedEndpoint, a scheduler.Action, c engine.Command) error {
	o.mu.Lock()
	grant := e.grant
	o.mu.Unlock()
	switch {
	case o.expired(grant, o.options.Now()):
		return engine.StaleFence.New("lease of endpoint %s has expired", e.name)
	case grant.Endpoint.Incarnation != a.Incarnation:
		return engine.LoadFailure.New("endpoint %s has restarted since the command was decided", e.name)
	}
	c.Fence = max(c.Fence, grant.Fence)
	ctx, cancel := context.WithTimeout(o.ctx, o.options.LoadTimeout)
	defer cancel()
	return e.client.SendCommand(ctx, c)
}

func (o *Owner) logCommand(a scheduler.Action, err error) {
	if err == nil {
		return
	}
	id := event.LoadFailed
	if engine.StaleFence.Has(err) {
		id = event.OrderRefused
	}
	event.Log(o.ctx, o.options.Logger, id, slog.String("Endpoint", a.Endpoint),
		slog.String("Adapter", target(a.Adapter, "")), slog.Any("Error", err))
}

// Command submits an operator's command, to load a model or to change the role, for an owned endpoint. A resend with
// the same ID returns the state of the first submission.
func (o *Owner) Command(c scheduler.Command) (state string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.wakeLoop()
	return o.scheduler.Command(o.options.Now(), c)
}

// unloadIdle unloads an adapter that only requests of the previous owner used and that is idle now.
func (o *Owner) unloadIdle(ctx context.Context, e *ownedEndpoint, name string, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, o.options.ProbeTimeout)
	defer cancel()
	return e.client.SendCommand(ctx, engine.Command{
		ID: uuid.NewString(), Kind: engine.UnloadAdapter, Fence: fence, Target: name,
		Deadline: o.options.Now().Add(time.Second),
	})
}
