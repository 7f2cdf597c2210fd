package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/serve/operator"
)

const (
	// watchSilence is the time after which a connection without events or comments counts as lost;
	// instances send a comment every 10 s.
	watchSilence = 30 * time.Second
	// maxEventBytes bounds one event of a watch.
	maxEventBytes = 64 << 20
)

// errEnough ends a watch after the requested number of changes.
var errEnough = errs.New("enough changes")

type watchCommand struct {
	*session
	From  *uint64 `long:"from" description:"show changes after this revision (default: the current one)"`
	Count int     `long:"count" description:"end after this number of changes"`
}

// Execute implements flags.Commander.
func (c *watchCommand) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	client, err := c.api()
	if err != nil {
		return err
	}
	last := ""
	if c.From != nil {
		last = strconv.FormatUint(*c.From, 10)
	}
	left := c.Count
	err = client.watch(c.ctx, last, func(e operator.WatchEvent) error {
		if err := c.showEvent(e); err != nil {
			return err
		}
		if left--; left == 0 {
			return errEnough
		}
		return nil
	})
	if errs.Is(err, errEnough) || c.ctx.Err() != nil {
		err = nil // ended as asked
	}
	return err
}

func (c *watchCommand) showEvent(e operator.WatchEvent) error {
	return c.show(e, func(w io.Writer) error {
		for _, o := range e.Objects {
			verb := "written"
			if o.Deleted {
				verb = "deleted"
			}
			fmt.Fprintf(w, "%d %s %s %s\n", e.Revision, o.Kind, o.Name, verb)
		}
		return nil
	})
}

// watch calls show for each change until it fails or ctx ends, and resumes after lost connections.
func (c *Client) watch(ctx context.Context, last string, show func(operator.WatchEvent) error) error {
	for {
		var ended error
		err := c.retry(ctx, func(ctx context.Context) error {
			connected, err := c.watchOnce(ctx, last, func(e operator.WatchEvent) error {
				last = strconv.FormatUint(e.Revision, 10)
				return show(e)
			})
			_, lost := asCall(err)
			if lost && !connected {
				return err
			}
			if !lost {
				ended = err
			}
			return nil // a connection that has worked begins a new series of attempts
		})
		if err != nil || ended != nil {
			return errs.Combine(err, ended)
		}
		c.next()
		if err := pause(ctx, c.options.FirstWait); err != nil {
			return err
		}
	}
}

func (c *Client) watchOnce(
	parent context.Context, last string, show func(operator.WatchEvent) error,
) (connected bool, err error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	header := http.Header{}
	if last != "" {
		header.Set("Last-Event-ID", last)
	}
	response, err := c.request(ctx, http.MethodGet, "/v1/watch", nil, header)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		return false, errs.Combine(err, refused(response.StatusCode, data))
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		silence.Reset(watchSilence)
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var e operator.WatchEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return true, err
		}
		if err := show(e); err != nil {
			return true, err
		}
	}
	if err := parent.Err(); err != nil {
		return true, err
	}
	return true, lostWatch(lines.Err())
}

func lostWatch(err error) error {
	e := &CallError{Detail: operator.ErrorDetail{Code: refusal.Unavailable, Message: "the instance ended the connection"}}
	if err != nil {
		e.Detail.Message = "the connection was lost: " + err.Error()
	}
	return e
}
