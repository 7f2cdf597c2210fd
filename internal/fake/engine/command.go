package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/serve/engine"
)

// announceInterval is the time between announcements.
const announceInterval = 500 * time.Millisecond

func (e *Engine) command(w http.ResponseWriter, r *http.Request) {
	var c engine.Command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	first, resent := e.commands[c.ID]
	if !resent {
		first = &outcome{done: make(chan struct{})}
		e.commands[c.ID] = first
	}
	e.mu.Unlock()
	if resent {
		<-first.done
	} else {
		first.code, first.err = e.run(r.Context(), c)
		close(first.done)
	}
	if first.err != nil {
		http.Error(w, first.err.Error(), first.code)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) run(ctx context.Context, c engine.Command) (int, error) {
	e.mu.Lock()
	if e.options.ChecksFencing && c.Fence < e.state.HighestFence {
		e.mu.Unlock()
		return http.StatusConflict, errs.New("stale fencing number")
	}
	e.state.HighestFence = max(e.state.HighestFence, c.Fence)
	e.mu.Unlock()
	if !c.Deadline.After(time.Now()) {
		return http.StatusGone, errs.New("deadline has passed")
	}
	switch c.Kind {
	case engine.LoadAdapter:
		return e.load(ctx, c)
	case engine.UnloadAdapter:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.evict(c.Target)
		return 0, nil
	case engine.LoadModel:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.state.Model = c.Target
		e.resident = map[string]time.Time{}
		return 0, nil
	case engine.ChangeRole:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.state.Role = c.Target
		return 0, nil
	}
	return http.StatusBadRequest, errs.New("unknown command")
}

func (e *Engine) load(ctx context.Context, c engine.Command) (int, error) {
	if f := e.options.Faults.FailLoad; f != nil {
		if err := f(c.Target); err != nil {
			return http.StatusBadGateway, err
		}
	}
	e.mu.Lock()
	incarnation := e.state.Incarnation
	if _, resident := e.resident[c.Target]; resident {
		e.mu.Unlock()
		return 0, nil
	}
	if c.Evict != "" {
		e.evict(c.Evict)
	}
	if len(e.resident)+len(e.pending) >= e.state.Slots {
		e.mu.Unlock()
		return http.StatusBadGateway, errs.New("no free slot")
	}
	e.pending[c.Target] = true
	e.mu.Unlock()
	err := e.options.Fetch(ctx, c.Source)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Incarnation != incarnation {
		return http.StatusBadGateway, errs.New("engine restarted")
	}
	delete(e.pending, c.Target)
	if err != nil {
		return http.StatusBadGateway, err
	}
	e.resident[c.Target] = time.Now()
	return 0, nil
}

func (e *Engine) evict(name string) {
	if e.inUse[name] > 0 {
		e.evicted++
	}
	delete(e.resident, name)
}

// Announcement returns the announcement of the engine at the address.
func (e *Engine) Announcement(address netip.AddrPort) engine.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Announcement{
		Name: e.options.Name, DataCentre: e.options.DataCentre, Address: address, Incarnation: e.state.Incarnation,
		Kind: engine.KindEngine, Service: e.options.Service, Model: e.state.Model, Slots: e.state.Slots,
		BatchSize: e.state.BatchSize, ChecksFencing: e.options.ChecksFencing, HighestFence: e.state.HighestFence,
		Leaving: e.leaving,
	}
}

// Announce posts the announcements that make returns to the instances in turn until ctx ends, while the endpoint is up.
func Announce(ctx context.Context, client *http.Client, to []netip.AddrPort, make func() (a engine.Announcement, up bool)) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		if announcement, up := make(); up {
			raw, err := json.Marshal(announcement)
			if err != nil {
				return err
			}
			post(ctx, client, to[i%len(to)], raw)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func post(ctx context.Context, client *http.Client, to netip.AddrPort, raw []byte) {
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	url := "http://" + to.String() + "/v1/endpoints/announce"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if resp, err := client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
