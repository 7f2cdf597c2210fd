package voter

import (
	"context"
	"sync"
	"time"

	"lycheevale/internal/state/consensus"
)

// replyWait limits how long a call waits for the sync that its replies depend on. A later reply is sent in a separate
// call, so that a slow disk of one log delays neither the other log nor later calls.
const replyWait = 100 * time.Millisecond

// replyCollector collects the replies to the messages of one call.
type replyCollector struct {
	group string
	first consensus.Message // of the call
	ready chan struct{}

	mu       sync.Mutex
	closed   bool
	messages []consensus.Message
}

func newReplyCollector(group string, first consensus.Message) *replyCollector {
	return &replyCollector{group: group, first: first, ready: make(chan struct{})}
}

// put stores the replies; it returns false if the call has already returned.
func (r *replyCollector) put(messages []consensus.Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.closed, r.messages = true, messages
	close(r.ready)
	return true
}

// wait returns the replies, or none if ctx or the timer ends first.
func (r *replyCollector) wait(ctx context.Context, timer *time.Timer) []consensus.Message {
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

// pendingCall is a received call that waits for replies to one identity.
type pendingCall struct {
	id     string
	answer *replyCollector
}

// deliverReplies adds replies to the calls that wait for them and returns the remaining messages.
func (l *loop) deliverReplies(messages []consensus.Message) (rest []consensus.Message) {
	callers := l.pendingCalls
	l.pendingCalls = nil
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

// compressReplies clears the most frequent kind, and identities that match the first message of the call. While a lost
// disk is being replaced, a call may also address the old identity of the instance, so a reply with other identities
// keeps them.
func compressReplies(replies []consensus.Message, received consensus.Message) []consensus.Message {
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

// expandReplies reverses compressReplies with the first message of the call.
func expandReplies(replies []consensus.Message, sent consensus.Message) {
	for i := range replies {
		if r := &replies[i]; r.From == "" && r.To == "" {
			r.From, r.To = sent.To, sent.From
		}
		if r := &replies[i]; r.Kind == "" {
			r.Kind = consensus.AppendReply
		}
	}
}
