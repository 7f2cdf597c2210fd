package instance_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/fake/deployment"
	"lycheevale/internal/fake/network"
	"lycheevale/internal/tool/demo"
)

var callerHost = netip.MustParseAddr("127.9.9.9")

// system is a deployment of three data centres with two instances each on an in-memory network in virtual time.
type system struct {
	*qt.C
	*deployment.Deployment
	net    *network.Network
	client *http.Client
	ctx    context.Context
}

func runSystem(t *testing.T, test func(s *system), opts ...deployment.Option) {
	t.Helper()
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		n := network.New()
		n.Latency = func(from, to netip.Addr) time.Duration {
			if a, b := from.As4(), to.As4(); a[1] != b[1] && a[1] != 9 && b[1] != 9 {
				return 30 * time.Millisecond
			}
			return time.Millisecond
		}
		ctx, cancel := context.WithTimeout(t.Context(), 24*time.Hour)
		defer cancel()
		s := &system{C: qt.New(t), net: n, ctx: ctx, client: &http.Client{Transport: &http.Transport{DialContext: n.Dialer(callerHost)}}}
		var err error
		s.Deployment, err = deployment.Start(ctx, append([]deployment.Option{deployment.WithNetwork(n), deployment.With(func(o *deployment.Options) {
			o.Objects, o.DataFolder, o.Instances, o.Engines = demo.Changes(), folder, 2, 2
		})}, opts...)...)
		s.Assert(err, qt.IsNil)
		s.Assert(s.WaitReady(ctx), qt.IsNil)
		test(s)
		s.client.CloseIdleConnections()
		s.Check(s.Stop(), qt.IsNil)
		n.Close()
	})
}

func (s *system) post(i *deployment.Instance, path, body string, headers ...string) (status int, text string) {
	req, err := http.NewRequestWithContext(s.ctx, "POST", "http://"+i.Settings.Listen.Callers.String()+path, bytes.NewReader([]byte(body)))
	s.Assert(err, qt.IsNil)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+demo.Key(0))
	for n := 0; n+1 < len(headers); n += 2 {
		req.Header.Set(headers[n], headers[n+1])
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(raw)
}

func completion(adapter string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"Dear guests","max_tokens":%d,"stream":true}`, adapter, tokens)
}

// Guards against a break between the parts of a whole deployment with its real latencies.
func TestDeploymentServes(t *testing.T) {
	runSystem(t, func(s *system) {
		for n, i := range s.Instances {
			status, text := s.post(i, "/v1/completions", completion(fmt.Sprintf("draft-%02d", 3*(n%2)), 5))
			s.Check(status, qt.Equals, 200, qt.Commentf("%s", text))
			s.Check(strings.HasSuffix(text, "[DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", text))
			status, text = s.post(i, "/ledger/orders", `{"reference":"o"}`, "Idempotency-Key", "one")
			s.Check(status, qt.Equals, 200, qt.Commentf("%s", text))
		}
		runs := 0
		for _, e := range s.Endpoints {
			if e.Service != nil {
				runs += e.Service.Runs("o")
			}
		}
		s.Check(runs, qt.Equals, 1)
	})
}
