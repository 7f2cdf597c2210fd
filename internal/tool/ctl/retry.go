package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/serve/operator"
)

// temporary lists refusals that another attempt, or another instance, may not give.
var temporary = []refusal.Code{
	refusal.Unavailable, refusal.Overloaded, refusal.OverRate, refusal.DeadlineExceeded, refusal.OutcomeUnknown,
}

// get reads with retries.
func (c *Client) get(ctx context.Context, path string, into any) error {
	return c.retry(ctx, func(ctx context.Context) error {
		return c.attempt(ctx, http.MethodGet, path, nil, into)
	})
}

// post sends a change with retries; every attempt has the same body and therefore RequestID.
// Resent tells that an earlier command may have sent it already.
func (c *Client) post(ctx context.Context, path, requestID string, resent bool, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	lost := resent
	err = c.retry(ctx, func(ctx context.Context) error {
		err := c.attempt(ctx, http.MethodPost, path, data, into)
		if e, ok := asCall(err); ok && e.Detail.Ran != refusal.NotRun {
			lost = true
		}
		return err
	})
	e, ok := asCall(err)
	if !ok {
		return err
	}
	e.RequestID = requestID
	// The log answers a RequestID with the same result for ever, so its decision settles the first
	// attempt too. Any other refusal says nothing about an attempt whose answer was lost.
	if lost && !e.Detail.Decided && e.Detail.Code != refusal.OutcomeUnknown {
		e.Detail.Message = fmt.Sprintf("an earlier attempt may have succeeded; the last one got %s: %s", e.Detail.Code, e.Detail.Message)
		e.Detail.Code, e.Detail.Ran = refusal.OutcomeUnknown, refusal.Unknown
	}
	return err
}

// retry repeats the attempt on temporary errors, each time at the next address.
func (c *Client) retry(ctx context.Context, attempt func(context.Context) error) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = c.options.FirstWait
	var last error
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		last = attempt(ctx)
		e, ok := asCall(last)
		switch {
		case last == nil:
			return struct{}{}, nil
		case !ok || !slices.Contains(temporary, e.Detail.Code):
			return struct{}{}, backoff.Permanent(last)
		case e.Detail.RetryAt != nil && len(c.options.Addresses) == 1:
			wait := time.Until(*e.Detail.RetryAt).Seconds()
			return struct{}{}, backoff.RetryAfter(max(int(math.Ceil(wait)), 1))
		}
		c.next()
		return struct{}{}, last
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(c.options.RetryFor),
		backoff.WithNotify(func(_ error, after time.Duration) {
			c.options.Notice("%v; next attempt in %s", last, after.Round(time.Millisecond))
		}))
	if err != nil && last != nil {
		return last // also where the time has run out: the last answer tells more
	}
	return err
}

func newRequestID() string {
	return uuid.NewString()
}

// change sends one change.
func (c *Client) change(ctx context.Context, change operator.Change, resent bool) (answer operator.ChangeAnswer, err error) {
	err = c.post(ctx, "/v1/changes", change.RequestID, resent && !change.DryRun, change, &answer)
	if e, ok := asCall(err); ok && change.DryRun {
		e.RequestID = "" // nothing can have been changed
	}
	return answer, err
}
