package voter

import (
	"context"
	"sync"
	"time"

	"lycheevale/internal/state/consensus"
)

// replyWait bounds how long a call waits for the sync that its replies need. A later reply is sent by a call of its own,
// so that a slow disk of one log delays neither the other log nor the next calls.
const replyWait = 100 * time.Millisecond

// reply collects the replies to the messages of one call.
type reply struct {
	group string
	first consensus.Message // of the call
	ready chan struct{}

	mu       sync.Mutex
	closed   bool
	messages []consensus.Message
}

func newReply(group string, first consensus.Message) *reply {
	return &reply{group: group, first: first, ready: make(chan struct{})}
}

// put stores the replies; it is false if the call has already returned.
func (r *reply) put(messages []consensus.Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.closed, r.messages = true, messages
	close(r.ready)
	return true
}

// wait returns the replies, or none if the time is over.
func (r *reply) wait(ctx context.Context, timer *time.Timer) []consensus.Message {
	select {
	case <-r.ready:
	case <-ctx.Done():
	case <-timer.C:
		timer.Reset(0) // for the other logs of the call
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.messages
}

func isReply(k consensus.Kind) bool {
	return k == consensus.AppendReply || k == consensus.VoteReply || k == consensus.PreVoteReply
}

// caller is a call that waits for replies to one identity.
type caller struct {
	id     string
	answer *reply
}

// answer puts replies into the calls that wait for them and returns the other messages.
func (l *loop) answer(messages []consensus.Message) (rest []consensus.Message) {
	callers := l.callers
	l.callers = nil
	for _, c := range callers {
		var replies, others []consensus.Message
		for _, m := range messages {
			if m.To == c.id && isReply(m.Kind) {
				replies = append(replies, m)
				continue
			}
			others = append(others, m)
		}
		if c.answer.put(replies) {
			messages = others
		}
	}
	return messages
}

// shorten leaves out the most frequent kind, and identities that are those of the first message of the call. While a lost
// disk is replaced a call may
// also address the old identity of the instance, so a reply of another identity keeps its own.
func shorten(replies []consensus.Message, received consensus.Message) []consensus.Message {
	for i := range replies {
		if r := &replies[i]; r.From == received.To && r.To == received.From {
			r.From, r.To = "", ""
		}
		if r := &replies[i]; r.Kind == consensus.AppendReply {
			r.Kind = ""
		}
	}
	return replies
}

// lengthen restores kind and identities from the first message of the call.
func lengthen(replies []consensus.Message, sent consensus.Message) {
	for i := range replies {
		if r := &replies[i]; r.From == "" && r.To == "" {
			r.From, r.To = sent.To, sent.From
		}
		if r := &replies[i]; r.Kind == "" {
			r.Kind = consensus.AppendReply
		}
	}
}
