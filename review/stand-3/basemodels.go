package main

import (
	"fmt"
	"sync"
	"time"
)

// Sizes and speeds of the users' deployment with the slowest store: a model has 65,100 MB and loads in 3.9 s alone, an engine holds 66,000 MB, and the store
// allows 2.1 loads a second, one of them at full speed.
const (
	modelMB       = 65100.0
	engineMB      = 66000.0
	modelLoadTime = 3900 * time.Millisecond
	loadsPerS     = 2.1
	modelSlots    = 64
)

// Engines are added two at a time, each round after the one before has ended. Two of eight are less than the share of 0.3 that may be added at once.
const (
	sound      = 8
	added      = 2
	rounds     = 4
	addPause   = 1500 * time.Millisecond
	roundPause = 9 * time.Second
)

// playBaseModels adds empty engines to a service with eight base models, each of which fills an engine.
func playBaseModels(f *fleet) (broken string, err error) {
	var mu sync.Mutex
	var names []string
	sizes := map[string]float64{}
	for n := range sound {
		names = append(names, fmt.Sprintf("m%d", n))
		sizes[names[n]] = modelMB
	}
	store := newStore(f)
	newEngine := func(zone, n int, id string, held ...string) *engine {
		return &engine{
			fleet: f, store: store, id: id, zone: zone, address: f.workerAddress(zone, n).String(), sizes: sizes, memory: engineMB, slots: modelSlots,
			loadTime: modelLoadTime, held: held,
			exceeded: func(e *engine, model string) {
				mu.Lock()
				defer mu.Unlock()
				broken = fmt.Sprintf("%s holds %v and was ordered to load %s: %.0f MB, %.0f MB fit", e.id, e.held, model, 2*modelMB, engineMB)
				f.log("LIMIT: %s", broken)
			},
		}
	}
	isBroken := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return broken != ""
	}
	if err := f.startPrograms(len(zones)); err != nil {
		return "", err
	}
	var first *engine
	for n, name := range names {
		e := newEngine(n%len(zones), n, fmt.Sprintf("i-%02d", 50+n), name)
		if err := e.run(); err != nil {
			return "", err
		}
		if n == 0 {
			first = e
		}
	}
	f.sleep(3 * time.Second)
	if err := f.configure(engineConfig(modelSlots, names...)); err != nil {
		return "", err
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	f.sleep(5 * time.Second)
	for round := range rounds {
		for n := range added {
			if isBroken() {
				break
			}
			if f.trouble {
				id := fmt.Sprintf("i-%02d", 20+round*added+n)
				f.log("%s is added, empty", id)
				zone := (first.leader() + 1 + n) % len(zones) // another region than the leader's
				if err := newEngine(zone, sound+round*added+n, id).run(); err != nil {
					return "", err
				}
			}
			f.sleep(addPause)
		}
		for range roundPause / time.Second {
			if !isBroken() {
				f.sleep(time.Second)
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}

// engineConfig returns a configuration with one service of engines.
func engineConfig(slots int, names ...string) map[string]any {
	var list []any
	for _, name := range names {
		list = append(list, map[string]any{"name": name, "weightsMb": modelMB, "loadS": modelLoadTime.Seconds(), "adapters": 3000, "adapterMb": 40.0})
	}
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-draft", "host": "site.example", "pathPrefix": "/draft/", "routeKind": "streaming", "timeoutMs": 15000, "sloMs": 1000, "priority": 0,
			"service": "engines", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapSloMs": 400,
		}},
		"services": []any{map[string]any{"name": "engines", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": slots, "kvCapacity": 122202, "weightsMb": engineMB, "adapterSlots": 5, "loadsPerS": loadsPerS, "models": list,
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "acme", "apiKeys": []any{"key-1"}, "priority": 1, "unit": "tokens", "uncachedTokens": 200, "ratePerS": 0, "burst": 0}},
	}
}
