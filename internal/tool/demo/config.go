package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"lycheevale/internal/state/registry"
)

// Sizes of the built-in deployment, shaped as the Banksia reference user's.
const (
	adapters = 30
	model    = "quill"
	service  = "ledger"
)

// customers of the demo and the secrets of their keys; the keys work on loopback deployments of the demo only.
var customers = []struct {
	name, keyID, secret string
	rate, burst         float64 // tokens per second, tokens
}{
	{"calligraphy", "demo1", "calligraphysecret", 50_000, 100_000},
	{"weddings", "demo2", "weddingssecret", 50_000, 100_000},
	{"funerals", "demo3", "funeralssecret", 50_000, 100_000},
}

// Key returns the bearer key of the customer with the given index.
func Key(index int) string {
	return fmt.Sprintf("lv_%s_%s", customers[index].keyID, customers[index].secret)
}

func adapterName(n int) string { return fmt.Sprintf("draft-%02d", n) }

// Changes returns the built-in configuration as objects.
func Changes() []registry.Object {
	objects := []registry.Object{
		{Kind: registry.KindModel, Name: model, Model: &registry.Model{}},
		{Kind: registry.KindService, Name: model, Service: &registry.Service{
			Kind: registry.ServiceModel, Model: model, Objective: registry.Objective{Availability: 0.999, FirstTokenMS: 320},
		}},
		{Kind: registry.KindService, Name: service, Service: &registry.Service{
			Kind: registry.ServicePlain, Objective: registry.Objective{Availability: 0.999, FirstTokenMS: 320},
			Routes: []registry.Route{
				{Method: "GET", Path: "/ledger/orders/{id}", Idempotent: true},
				{Method: "POST", Path: "/ledger/orders"},
				{Method: "GET", Path: "/ledger/opening-hours", Open: true, Idempotent: true},
			},
		}},
	}
	for _, c := range customers {
		sum := sha256.Sum256([]byte(c.secret))
		objects = append(objects,
			registry.Object{Kind: registry.KindCustomer, Name: c.name, Customer: &registry.Customer{Rate: c.rate, Burst: c.burst}},
			registry.Object{Kind: registry.KindKey, Name: c.keyID, Key: &registry.Key{
				Customer: c.name, Hash: hex.EncodeToString(sum[:]),
			}})
	}
	for n := range adapters {
		name := adapterName(n)
		objects = append(objects,
			registry.Object{Kind: registry.KindAdapter, Name: name, Adapter: &registry.Adapter{
				Customer: customers[n%len(customers)].name, Model: model, DefaultVersion: "v1",
			}},
			registry.Object{Kind: registry.KindVersion, Name: name + "@v1", Version: &registry.Version{
				Adapter: name, Source: name + "/v1", State: registry.VersionActive,
			}})
	}
	return objects
}
