// Package demo starts a small deployment in one process and sends requests through real sockets.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	fakeengine "lycheevale/internal/fake/engine"
	fakeservice "lycheevale/internal/fake/service"
	fakestore "lycheevale/internal/fake/store"
	"lycheevale/internal/node/instance"
	"lycheevale/internal/serve/engine"
)

// Error is the class of errors of this package.
var Error = errs.Class("demo")

// maxTokens is the length of each demo answer in tokens.
const maxTokens = 6

// Deployment is a running set of instances and stand-ins.
type Deployment struct {
	Instances []*instance.Instance
	Engines   []*fakeengine.Engine
	Services  []*fakeservice.Service
	group     *errgroup.Group
}

// Run starts the deployment, sends its requests and prints who served what.
func Run(ctx context.Context, opts ...Option) (err error) {
	defer func() { err = Error.Wrap(err) }()
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d, err := Start(ctx, o)
	if err != nil {
		return err
	}
	if err := d.waitForModels(ctx); err != nil {
		return err
	}
	if err := d.sendAll(ctx, o); err != nil {
		return err
	}
	if o.Stay {
		d.printHints(o.Out)
		<-ctx.Done()
	}
	stop()
	return d.group.Wait()
}

// Start opens all sockets and starts all parts; they end when ctx does.
func Start(ctx context.Context, o Options) (d *Deployment, err error) {
	group, ctx := errgroup.WithContext(ctx)
	d = &Deployment{group: group}
	store := fakestore.New()
	reg := newRegistry()
	for n, dc := range dataCentres {
		i, err := instance.New(instance.WithName(fmt.Sprintf("entry-%d", n+1), dc), instance.WithRegistry(reg),
			instance.WithLogger(o.Logger))
		if err != nil {
			return nil, err
		}
		d.Instances = append(d.Instances, i)
		group.Go(func() error { return i.Run(ctx) })
		for k := range enginesPerDataCentre {
			e := fakeengine.New(fakeengine.WithName(fmt.Sprintf("%s-engine-%d", dc, k+1), dc),
				fakeengine.WithModel(model, model), fakeengine.WithFetch(store.Fetch))
			d.Engines = append(d.Engines, e)
			if err := d.serve(ctx, e, i.Address(), e.Announcement); err != nil {
				return nil, err
			}
		}
		s := fakeservice.New(fmt.Sprintf("%s-ledger", dc))
		d.Services = append(d.Services, s)
		if err := d.serve(ctx, s, i.Address(), plainAnnouncement(s.Name, dc)); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func plainAnnouncement(name, dataCentre string) func(netip.AddrPort) engine.Announcement {
	return func(a netip.AddrPort) engine.Announcement {
		return engine.Announcement{
			Name: name, DataCentre: dataCentre, Address: a, Incarnation: 1, Kind: engine.KindPlain, Service: service,
		}
	}
}

// serve listens for a stand-in and announces it to the instance.
func (d *Deployment) serve(ctx context.Context, h http.Handler, to netip.AddrPort,
	announcement func(netip.AddrPort) engine.Announcement,
) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	d.group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	d.group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	d.group.Go(func() error {
		return fakeengine.Announce(ctx, []netip.AddrPort{to}, func() engine.Announcement { return announcement(address) })
	})
	return nil
}

// waitForModels sends a request to each instance until it is served, because endpoints announce themselves late.
func (d *Deployment) waitForModels(ctx context.Context) error {
	for _, i := range d.Instances {
		for {
			if _, err := complete(ctx, i.Address(), 0, model); err == nil {
				break
			} else if ctx.Err() != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (d *Deployment) sendAll(ctx context.Context, o Options) error {
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
		_, _ = fmt.Fprintf(table, "entry-%d\t%s\t%s\t%s\t%s\n", i+1, customers[n%len(customers)].name, owned,
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

func (d *Deployment) printHints(w io.Writer) {
	_, _ = fmt.Fprintln(w, "\nThe deployment stays up until interrupted. Try:")
	for _, i := range d.Instances {
		_, _ = fmt.Fprintf(w, "  curl -s http://%s/v1/models -H 'Authorization: Bearer %s'\n", i.Address(), Key(0))
	}
	_, _ = fmt.Fprintf(w, "  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"prompt\":\"Dear guests\",\"stream\":true}'\n",
		d.Instances[0].Address(), Key(0), adapterName(0))
}
