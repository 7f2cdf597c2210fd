// Package demo starts a small deployment in one process and sends requests through real sockets.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/fake/deployment"
)

// Error is the class of errors of this package.
var Error = errs.Class("demo")

// maxTokens is the length of each demo answer in tokens.
const maxTokens = 6

// Run starts the deployment, sends its requests and prints who served what.
func Run(ctx context.Context, opts ...Option) (err error) {
	defer func() { err = Error.Wrap(err) }()
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	folder, err := os.MkdirTemp("", "lycheevale-demo-")
	if err != nil {
		return err
	}
	defer func() { err = errs.Combine(err, os.RemoveAll(folder)) }()
	d, err := deployment.Start(context.WithoutCancel(ctx), deployment.With(func(p *deployment.Options) {
		p.Logger, p.Objects, p.DataFolder, p.Service, p.Model = o.Logger, Changes(), folder, service, model
	}))
	if err != nil {
		return err
	}
	defer func() { err = errs.Combine(err, d.Stop()) }()
	if err := d.WaitReady(ctx); err != nil {
		return err
	}
	if err := sendAll(ctx, d, o); err != nil {
		return err
	}
	if o.Stay {
		printHints(o.Out, d)
		<-ctx.Done()
	}
	return nil
}

func sendAll(ctx context.Context, d *deployment.Deployment, o Options) error {
	table := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ENTRY\tCUSTOMER\tADAPTER\tTIME\tANSWER")
	for n := range o.Requests {
		i := n % len(d.Instances)
		owned := adapterName(n % adapters)
		begin := time.Now()
		text, err := complete(ctx, d.Instances[i].Address(), n%len(customers), owned)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", d.Instances[i].Settings.Name, customers[n%len(customers)].name, owned,
			time.Since(begin).Round(time.Millisecond), strings.TrimSpace(text))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	answer, err := placeOrder(ctx, d.Instances[0].Address())
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.Out, "\nplain service answered: %s", answer)
	return nil
}

type completionAnswer struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func complete(ctx context.Context, to netip.AddrPort, customer int, name string) (text string, err error) {
	body, err := json.Marshal(map[string]any{"model": name, "prompt": "Dear guests", "max_tokens": maxTokens})
	if err != nil {
		return "", err
	}
	raw, err := post(ctx, to, "/v1/completions", Key(customer), body)
	if err != nil {
		return "", err
	}
	var answer completionAnswer
	if err := json.Unmarshal(raw, &answer); err != nil || len(answer.Choices) != 1 {
		return "", fmt.Errorf("unexpected answer %s: %w", raw, err)
	}
	return answer.Choices[0].Text, nil
}

func placeOrder(ctx context.Context, to netip.AddrPort) ([]byte, error) {
	return post(ctx, to, "/ledger/orders", Key(0), []byte(`{"reference":"envelopes-1"}`))
}

func post(ctx context.Context, to netip.AddrPort, path, key string, body []byte) (raw []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err = io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, raw)
	}
	return raw, err
}

func printHints(w io.Writer, d *deployment.Deployment) {
	_, _ = fmt.Fprintln(w, "\nThe deployment stays up until interrupted. Try:")
	for _, i := range d.Instances {
		_, _ = fmt.Fprintf(w, "  curl -s http://%s/v1/models -H 'Authorization: Bearer %s'\n", i.Address(), Key(0))
	}
	_, _ = fmt.Fprintf(w, "  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"prompt\":\"Dear guests\",\"stream\":true}'\n",
		d.Instances[0].Address(), Key(0), adapterName(0))
}
