package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/report"
	"lycheevale/internal/place/origin"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/serve/forward"
	"lycheevale/internal/state/document"
)

// setSoftware states the software version of each endpoint, and those that may have begun streams.
func (r *fixture) setSoftware(at time.Time, software []string, versions ...string) {
	r.update.Software, r.update.Versions = software, map[string][]string{"s": versions}
	r.update.Directory++
	r.update.Content = nil
	_, err := r.view.Apply(at, r.update, func([]byte) (document.Document, error) { return document.Document{}, nil })
	r.Assert(err, quicktest.IsNil)
}

// useEngine makes the endpoints those of a model service, started at 10 ms, for the next list.
func (r *fixture) useEngine() {
	r.replaceDocument(func(d *document.Document) { d.Services[0].Engine = &document.Engine{} }, func(*report.Endpoint) {})
	r.update.Directory++
	for i := range r.update.Endpoints {
		r.update.Endpoints[i].Born, r.update.Endpoints[i].Models = 10, []string{""}
	}
}

// continueCodec reads the fields of a stream that the caller continues.
func continueCodec() forward.Codec {
	c := resumeCodec()
	decode := c.Decode
	c.Decode = func(r *http.Request) (forward.Request, error) {
		q, err := decode(r)
		q.LastEvent, q.Continues = r.Header.Get("Last-Event-Id"), r.Header.Get("Continues")
		return q, err
	}
	return c
}

// writes answers with a stream whose events name the endpoint's software version.
func writes(version string, broken bool) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		first := 1
		if last := q.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		streamOf(broken && first == 1, fmt.Sprintf("id: %d\ndata: %s\n\n", first, version), fmt.Sprintf("id: %d\ndata: %s\n\n", first+1, version))(w, q)
	}
}

// An endpoint breaks off in the middle of a stream. Guards against a continuation by an endpoint of another software version, and against none although
// one of the same version serves, which may be the same endpoint.
func TestBrokenStreamContinuesAtItsVersion(t *testing.T) {
	for seed := range uint64(20) {
		r := newFixture(t, []http.HandlerFunc{writes("v1", true), writes("v2", true), writes("v1", true)}, forward.WithCodec(resumeCodec()), forward.WithSeed(seed))
		r.setSoftware(time.Now(), []string{"v1", "v2", "v1"}, "v1", "v2")
		body, complete := r.ask(t, "/read/x")
		joined := strings.Contains(body, "v1") && strings.Contains(body, "v2")
		r.Check(joined, quicktest.IsFalse, quicktest.Commentf("seed %d: %s", seed, body))
		r.Check(complete, quicktest.IsTrue, quicktest.Commentf("seed %d: %s", seed, body))
	}
}

// A caller continues a stream that another entry began. Guards against a continuation at another software version, at an unknown one, or by a list of
// versions that may be out of date.
func TestContinuedStreamGoesToItsVersion(t *testing.T) {
	newer := &origin.Software{Service: "s", Version: "v2"}
	for name, test := range map[string]struct {
		versions []string
		age      time.Duration // of the view
		reply    report.OriginReply
		err      error
		hits     []int32
		asked    bool
	}{
		"sole version":           {versions: []string{"v2"}, hits: []int32{0, 1}},
		"sole version, old view": {versions: []string{"v2"}, age: 4 * time.Second, reply: report.OriginReply{Leading: true, Versions: []string{"v1", "v2"}}, hits: []int32{0, 0}, asked: true},
		"confirmed by leader":    {versions: []string{"v2"}, age: 4 * time.Second, reply: report.OriginReply{Leading: true, Versions: []string{"v2"}}, hits: []int32{0, 1}, asked: true},
		"known to leader":        {versions: []string{"v1", "v2"}, reply: report.OriginReply{Leading: true, Known: true, Software: newer}, hits: []int32{0, 1}, asked: true},
		"unknown":                {versions: []string{"v1", "v2"}, reply: report.OriginReply{Leading: true, Versions: []string{"v1", "v2"}}, hits: []int32{0, 0}, asked: true},
		"no leader":              {versions: []string{"v1", "v2"}, err: context.DeadlineExceeded, hits: []int32{0, 0}, asked: true},
		"not in service": {
			versions: []string{"v1", "v2", "v3"}, reply: report.OriginReply{Leading: true, Known: true, Software: &origin.Software{Service: "s", Version: "v3"}},
			hits: []int32{0, 0}, asked: true,
		},
		"leader of an earlier release": {hits: nil},
	} {
		t.Run(name, func(t *testing.T) {
			asked := false
			r := newFixture(t, []http.HandlerFunc{writes("v1", false), writes("v2", false)}, forward.WithCodec(continueCodec()),
				forward.WithFindOrigin(func(_ context.Context, q report.OriginRequest) (report.OriginReply, error) {
					asked = true
					r := quicktest.New(t)
					r.Check(q, quicktest.Equals, report.OriginRequest{Service: "s", Attempt: "0"})
					return test.reply, test.err
				}))
			r.setSoftware(time.Now().Add(-test.age), []string{"v1", "v2"}, test.versions...)
			q := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/read/x", http.NoBody)
			q.Header.Set("Key", "k")
			q.Header.Set("Attempt", "1")
			q.Header.Set("Last-Event-Id", "7")
			q.Header.Set("Continues", "0")
			w := httptest.NewRecorder()
			r.handler.ServeHTTP(w, q)
			r.Check(asked, quicktest.Equals, test.asked)
			if test.hits == nil {
				r.Check(w.Code, quicktest.Equals, http.StatusOK)
				return
			}
			r.Check([]int32{r.hits[0].Load(), r.hits[1].Load()}, quicktest.DeepEquals, test.hits)
			status := http.StatusOK
			if test.hits[1] == 0 {
				status = http.StatusServiceUnavailable
			}
			r.Check(w.Code, quicktest.Equals, status, quicktest.Commentf("%s", w.Body))
		})
	}
}

// A caller continues a stream whose service gets no requests of the route any more: it is not listed, or has weight 0. Guards against running the request there,
// which only an older configuration allows.
func TestContinuedStreamFollowsWeights(t *testing.T) {
	for name, test := range map[string]struct {
		targets []document.Target
		hits    []int32
	}{
		"both weights": {[]document.Target{{Service: "s", Weight: 1}, {Service: "old", Weight: 1}}, []int32{0, 1}},
		"weight 0":     {[]document.Target{{Service: "s", Weight: 1}, {Service: "old", Weight: 0}}, []int32{1, 0}},
		"not listed":   {[]document.Target{{Service: "s", Weight: 1}}, []int32{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, []http.HandlerFunc{writes("v1", false), writes("v1", false)}, forward.WithCodec(continueCodec()),
				forward.WithFindOrigin(func(context.Context, report.OriginRequest) (report.OriginReply, error) {
					return report.OriginReply{Leading: true, Known: true, Software: &origin.Software{Service: "old", Version: "v1"}}, nil
				}))
			d := testDocument()
			d.Services = append(d.Services, document.Service{Name: "old"})
			d.Routes[0].Targets = test.targets
			u := r.update
			u.Document, u.Directory = 2, 2
			u.Endpoints = slices.Clone(u.Endpoints)
			u.Endpoints[1].Service = "old"
			u.Software, u.Versions = []string{"v1", "v1"}, map[string][]string{"s": {"v1", "v2"}, "old": {"v1", "v2"}}
			_, err := r.view.Apply(time.Now(), u, func([]byte) (document.Document, error) { return d, nil })
			r.Assert(err, quicktest.IsNil)
			q := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/read/x", http.NoBody)
			q.Header.Set("Key", "k")
			q.Header.Set("Attempt", "1")
			q.Header.Set("Last-Event-Id", "7")
			q.Header.Set("Continues", "0")
			w := httptest.NewRecorder()
			r.handler.ServeHTTP(w, q)
			r.Check(w.Code, quicktest.Equals, http.StatusOK)
			r.Check([]int32{r.hits[0].Load(), r.hits[1].Load()}, quicktest.DeepEquals, test.hits)
		})
	}
}

// An engine breaks off in the middle of a stream, and one of another software version holds the adapter, or the leader names it, listed or not. Guards
// against a continuation there.
func TestBrokenStreamOfAdapterContinuesAtItsVersion(t *testing.T) {
	for _, name := range []string{"holder", "named", "named, not listed"} {
		t.Run(name, func(t *testing.T) {
			var details report.Endpoint
			place := func(context.Context, report.PlacementRequest) (report.PlacementReply, error) {
				return report.PlacementReply{Leading: true, Endpoint: details.ID, Details: details}, nil
			}
			for seed := range uint64(5) {
				r := newFixture(t, []http.HandlerFunc{writes("v1", true), writes("v2", true)}, forward.WithCodec(resumeCodec()), forward.WithSeed(seed),
					forward.WithRequestPlacement(place))
				r.update.Software, r.update.Versions = []string{"v1", "v2"}, map[string][]string{"engines": {"v1", "v2"}}
				details = r.update.Endpoints[1]
				details.Service, details.Models, details.Software = "engines", []string{"m"}, "v2"
				held := 1
				switch name {
				case "holder":
					held = 2
				case "named, not listed":
					r.update.Endpoints, r.update.Software = r.update.Endpoints[:1], r.update.Software[:1]
				}
				for i := range held {
					r.update.Events = append(r.update.Events, residency.Event{
						Endpoint: r.update.Endpoints[i].ID, Holding: residency.Holding{Adapter: residency.Adapter{Model: "m", Name: "a"}, Version: 1},
					})
				}
				r.replaceDocument(useEngines, func(e *report.Endpoint) { e.Service, e.Models = "engines", []string{"m"} })
				body, _ := r.streamWith("/long/x", http.Header{"Adapter": {"a"}})
				joined := strings.Contains(body, "v1") && strings.Contains(body, "v2")
				r.Check(joined, quicktest.IsFalse, quicktest.Commentf("seed %d: %s", seed, body))
				r.Check(body, quicktest.Not(quicktest.Equals), "")
			}
		})
	}
}

// An endpoint breaks off in the middle of a stream, and the other one of the list has restarted with another software version, or may have. Guards against
// an entry that goes on there because of a list that is old or of a service with several versions, and against one that leaves endpoints which have not
// restarted.
func TestBrokenStreamContinuesAtListedIncarnationOnly(t *testing.T) {
	for name, test := range map[string]struct {
		age       time.Duration // of the list
		versions  []string
		plain     bool
		born      int64 // that the other endpoint states, 0 for none
		continued bool
	}{
		"old list, restarted":               {age: 4 * time.Second, versions: []string{"v1"}, born: 20},
		"old list, not restarted":           {age: 4 * time.Second, versions: []string{"v1"}, born: 10, continued: true},
		"old list, not stated":              {age: 4 * time.Second, versions: []string{"v1"}},
		"several versions, restarted":       {versions: []string{"v1", "v2"}, born: 20},
		"several versions, not restarted":   {versions: []string{"v1", "v2"}, born: 10, continued: true},
		"several versions, not stated":      {versions: []string{"v1", "v2"}, continued: true},
		"current list of the only version":  {versions: []string{"v1"}, born: 20, continued: true}, // an endpoint of another one does not serve yet
		"plain service is not asked":        {plain: true, versions: []string{"v1", "v2"}, born: 20, continued: true},
		"old list of an earlier release":    {age: 4 * time.Second, born: 20, continued: true},
		"list that became old meanwhile":    {age: 2900 * time.Millisecond, versions: []string{"v1"}, born: 20},
		"list that became old, same as was": {age: 2900 * time.Millisecond, versions: []string{"v1"}, born: 10, continued: true},
	} {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Bool
			firstAsked := test.age > report.VersionsLease || len(test.versions) > 1
			version := "v1"
			if test.born == 20 && !test.continued {
				version = "v2"
			}
			serve := func(w http.ResponseWriter, q *http.Request) {
				if q.Header.Get("Last-Event-Id") == "" {
					writes("v1", true)(w, q)
					return
				}
				time.Sleep(200 * time.Millisecond) // the list ages
				writes(version, false)(w, q)
			}
			r := newFixture(t, []http.HandlerFunc{serve, serve}, forward.WithCodec(resumeCodec()),
				forward.WithStartTime(func(context.Context, report.Endpoint) (int64, error) {
					if test.born != 0 && !asked.Swap(true) && firstAsked {
						return 10, nil // at the first events
					}
					return test.born, nil
				}))
			if !test.plain {
				r.useEngine()
			}
			r.setSoftware(time.Now().Add(-test.age), []string{"v1", "v1"}, test.versions...)
			body, complete := r.ask(t, "/read/x")
			r.Check(complete, quicktest.Equals, test.continued, quicktest.Commentf("%s", body))
			r.Check(strings.Contains(body, "v1") && strings.Contains(body, "v2"), quicktest.IsFalse, quicktest.Commentf("%s", body))
		})
	}
}

// Endpoints have restarted since an entry has heard of the leader, and a stream begins at one of them. Guards against a record of the version that the old
// list names, by which the stream would go on at an endpoint of that version.
func TestStreamOfRestartedEndpointIsNotRecorded(t *testing.T) {
	for _, stated := range []int64{10, 20} {
		r := newFixture(t, []http.HandlerFunc{writes("v2", false)}, forward.WithCodec(continueCodec()),
			forward.WithStartTime(func(context.Context, report.Endpoint) (int64, error) { return stated, nil }))
		r.useEngine()
		r.setSoftware(time.Now().Add(-4*time.Second), []string{"v1"}, "v1")
		r.ask(t, "/read/x")
		r.setSoftware(time.Now(), []string{"v1"}, "v1", "v2")
		var reported report.Entry
		r.view.FillReport(&reported)
		r.handler.Report(&reported, time.Second)
		r.Check(len(reported.Streams) > 0, quicktest.Equals, stated == 10)
	}
}

// Guards against streams of a service with one software version that no leader knows of when another version appears and their entry has fallen silent, and
// against reports of streams that no caller may take up.
func TestStreamsOfOnlyVersionAreReported(t *testing.T) {
	for path, reported := range map[string]int{"/read/x": 1, "/brief/x": 0} {
		r := newFixture(t, []http.HandlerFunc{writes("v1", false)}, forward.WithCodec(continueCodec()))
		r.setSoftware(time.Now(), []string{"v1"}, "v1")
		r.ask(t, path)
		var e report.Entry
		r.view.FillReport(&e)
		r.handler.Report(&e, time.Second)
		r.Check(e.Streams, quicktest.HasLen, reported, quicktest.Commentf("%s", path))
	}
}
