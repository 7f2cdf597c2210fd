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
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/fake/deployment"
	fakeengine "lycheevale/internal/fake/engine"
	"lycheevale/internal/fake/network"
	"lycheevale/internal/node/instance"
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
	virtualtime.Test(t, func(t *testing.T) {
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
	status, _, text = s.send(i, http.MethodPost, path, body, headers...)
	return status, text
}

// send also returns the header Retry-After.
func (s *system) send(i *deployment.Instance, method, path, body string, headers ...string) (status int, retryAfter, text string) {
	return s.sendContext(s.ctx, i, method, path, body, headers...)
}

func (s *system) sendContext(ctx context.Context, i *deployment.Instance, method, path, body string, headers ...string) (status int, retryAfter, text string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.Settings.Listen.Callers.String()+path, bytes.NewReader([]byte(body)))
	s.Assert(err, qt.IsNil)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+demo.Key(0))
	for n := 0; n+1 < len(headers); n += 2 {
		req.Header.Set(headers[n], headers[n+1])
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, "", err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return resp.StatusCode, resp.Header.Get("Retry-After"), string(raw)
}

func completion(adapter string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"Dear guests","max_tokens":%d,"stream":true}`, adapter, tokens)
}

// Guards against a planned stop that interrupts a running request at its entry or at the owner of its endpoint. With
// WithGracefulStop(false) the request at the entry must be interrupted, which verifies that the test detects it.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	const tokens = 200
	for _, finish := range []bool{true, false} {
		runSystem(t, func(s *system) {
			texts := make([]string, 2)
			var group errgroup.Group
			for n := range texts {
				group.Go(func() error {
					_, texts[n] = s.post(s.Instances[n], "/v1/completions", completion("draft-00", tokens))
					return nil
				})
			}
			time.Sleep(time.Second)
			s.Check(s.StopInstance(s.Instances[1]), qt.IsNil)
			s.Check(group.Wait(), qt.IsNil)
			complete := func(text string) bool {
				return strings.HasSuffix(text, "[DONE]\n\n") && strings.Count(text, `"text":`) == tokens
			}
			s.Check(complete(texts[1]), qt.Equals, finish, qt.Commentf("%.200s", texts[1]))
			s.Check(complete(texts[0]) || !finish, qt.IsTrue, qt.Commentf("%.200s", texts[0]))
		}, deployment.With(func(o *deployment.Options) {
			o.Instance = []instance.Option{instance.WithGracefulStop(finish)}
			o.EngineOptions = func(string) []fakeengine.Option {
				return []fakeengine.Option{fakeengine.WithStepTime(20 * time.Millisecond)}
			}
		}))
	}
}

// Guards against components that do not work together in a whole deployment with realistic latencies.
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
