package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/looplab/fsm"

	"lycheevale/internal/base/refusal"
)

// Command asks an endpoint to load another model or to change its role.
type Command struct {
	ID       string // idempotency key: a command that is sent again with the same ID has no further effect
	Kind     ActionKind
	Endpoint string
	Value    string // model or role
	Fence    uint64 // commands with a number below the highest seen are rejected
}

// CommandResult reports that an issued command has ended.
type CommandResult struct {
	ID          string
	Incarnation uint64
	Failed      bool
}

// States of a command. Commands are rare, so the overhead of an fsm.FSM is acceptable.
const (
	CommandWaiting = "Waiting" // until the endpoint's running requests have ended
	CommandIssued  = "Issued"
	CommandDone    = "Done"
	CommandFailed  = "Failed"
)

type command struct {
	Command
	state *fsm.FSM
}

func newCommand(c Command) *command {
	return &command{Command: c, state: fsm.NewFSM(CommandWaiting, fsm.Events{
		{Name: "issue", Src: []string{CommandWaiting}, Dst: CommandIssued},
		{Name: "finish", Src: []string{CommandIssued}, Dst: CommandDone},
		{Name: "fail", Src: []string{CommandWaiting, CommandIssued}, Dst: CommandFailed},
	}, fsm.Callbacks{})}
}

func (c *command) event(name string) {
	// An event that is invalid in the current state, such as a second result, has no effect.
	_ = c.state.Event(context.Background(), name)
}

// Command accepts a command and returns its state. The endpoint gets no new work from then on, and the command is issued
// once its running requests have ended.
func (s *Scheduler) Command(_ time.Time, c Command) (state string, err error) {
	if known, ok := s.commands[c.ID]; ok {
		if known.Command != c {
			return "", refusal.New(refusal.Conflict, "command %q is known with other content", c.ID)
		}
		return known.state.Current(), nil
	}
	e := s.byName[c.Endpoint]
	if e == nil {
		return "", refusal.New(refusal.NotFound, "endpoint %q is not owned here", c.Endpoint)
	}
	if c.Kind != SetModel && c.Kind != SetRole {
		return "", refusal.New(refusal.BadRequest, "command %q cannot be issued", c.Kind)
	}
	if c.Fence < e.Fence {
		return "", refusal.New(refusal.Conflict, "fencing number %d is below %d", c.Fence, e.Fence)
	}
	if e.command != nil {
		return "", refusal.New(refusal.Conflict, "command %q is in progress", e.command.ID)
	}
	e.Fence = c.Fence
	e.command = newCommand(c)
	s.storeCommand(e.command)
	s.refresh(e)
	return CommandWaiting, nil
}

// storeCommand keeps the latest commands, so that a repeated command is recognised.
func (s *Scheduler) storeCommand(c *command) {
	const kept = 256
	s.commands[c.ID] = c
	s.commandOrder = append(s.commandOrder, c)
	if len(s.commandOrder) > kept {
		delete(s.commands, s.commandOrder[0].ID)
		s.commandOrder = slices.Delete(s.commandOrder, 0, 1)
	}
}

// runCommands issues the commands whose endpoints are idle.
func (s *Scheduler) runCommands() {
	for _, e := range s.endpoints {
		c := e.command
		if c == nil || e.running > 0 || e.loading > 0 || c.state.Current() != CommandWaiting {
			continue
		}
		c.event("issue")
		s.addAction(e, Action{Kind: c.Kind, ID: c.ID, Value: c.Value})
	}
}

// CommandEnded records the result of an issued command. After SetModel the endpoint starts with empty slots.
func (s *Scheduler) CommandEnded(now time.Time, r CommandResult) {
	c := s.commands[r.ID]
	if c == nil || c.state.Current() != CommandIssued {
		return
	}
	e := s.byName[c.Endpoint]
	if e == nil || e.command != c || e.Incarnation != r.Incarnation {
		c.event("fail")
		return
	}
	e.command = nil
	if r.Failed {
		c.event("fail")
		s.refresh(e)
		return
	}
	c.event("finish")
	if c.Kind != SetModel || e.Model == c.Value {
		s.refresh(e)
		return
	}
	next := e.Endpoint
	next.Model = c.Value
	next.Resident = nil
	s.SetEndpoint(now, next)
}
