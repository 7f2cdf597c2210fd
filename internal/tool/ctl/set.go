package ctl

import (
	"io"
	"strings"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/serve/operator"
	"lycheevale/internal/state/registry"
)

type named struct {
	Name string `positional-arg-name:"NAME" required:"yes"`
}

// existing returns the object to change, or ok false if it does not exist yet.
func (s *session) existing(kind registry.Kind, name string) (o registry.Object, ok bool, err error) {
	answer, err := s.fetch(collectionOf(kind), name)
	if call, isCall := asCall(err); isCall && call.Detail.Code == refusal.NotFound {
		return o, false, nil
	}
	if err != nil || len(answer.Objects) == 0 {
		return o, false, err
	}
	return answer.Objects[0], true, nil
}

// keep stores the value in the field if the option was given.
func keep[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

type setModel struct {
	*session
	Positional named `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *setModel) Execute([]string) error {
	return c.submit([]registry.Object{{Kind: registry.KindModel, Name: c.Positional.Name, Model: &registry.Model{}}})
}

type setCustomer struct {
	*session
	Rate       *float64 `long:"rate" description:"tokens per second over the whole fleet"`
	Burst      *float64 `long:"burst" description:"tokens"`
	Priority   *int     `long:"priority" description:"priority at the engines"`
	StrictKeys *string  `long:"strict-keys" choice:"yes" choice:"no" description:"refuse keyed requests where withdrawals may be unknown"`
	Positional named    `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *setCustomer) Execute([]string) error {
	o, ok, err := c.existing(registry.KindCustomer, c.Positional.Name)
	if err != nil {
		return err
	}
	if !ok {
		if c.Rate == nil || c.Burst == nil {
			return usage("customer %s does not exist yet; a new one needs --rate and --burst", c.Positional.Name)
		}
		o = registry.Object{Kind: registry.KindCustomer, Name: c.Positional.Name, Customer: &registry.Customer{}}
	}
	keep(&o.Customer.Rate, c.Rate)
	keep(&o.Customer.Burst, c.Burst)
	keep(&o.Customer.Priority, c.Priority)
	if c.StrictKeys != nil {
		o.Customer.StrictKeys = *c.StrictKeys == "yes"
	}
	return c.submit([]registry.Object{o})
}

type setAdapter struct {
	*session
	Customer   *string `long:"customer" description:"customer that owns the adapter"`
	Model      *string `long:"model" description:"base model"`
	Default    *string `long:"default-version" description:"version that callers get who name none"`
	Open       *string `long:"open" choice:"yes" choice:"no" description:"usable by every caller"`
	Positional named   `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *setAdapter) Execute([]string) error {
	o, ok, err := c.existing(registry.KindAdapter, c.Positional.Name)
	if err != nil {
		return err
	}
	if !ok {
		if c.Customer == nil || c.Model == nil {
			return usage("adapter %s does not exist yet; a new one needs --customer and --model", c.Positional.Name)
		}
		o = registry.Object{Kind: registry.KindAdapter, Name: c.Positional.Name, Adapter: &registry.Adapter{}}
	}
	keep(&o.Adapter.Customer, c.Customer)
	keep(&o.Adapter.Model, c.Model)
	keep(&o.Adapter.DefaultVersion, c.Default)
	if c.Open != nil {
		o.Adapter.Open = *c.Open == "yes"
	}
	return c.submit([]registry.Object{o})
}

type setVersion struct {
	*session
	Source     *string `long:"source" description:"identifier in the weight store"`
	State      *string `long:"state" choice:"Active" choice:"Withdrawn" description:"whether new requests may use the version"`
	Positional named   `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *setVersion) Execute([]string) error {
	adapter, _, ok := strings.Cut(c.Positional.Name, "@")
	if !ok {
		return usage("%q is not the name of a version, such as adapter@3", c.Positional.Name)
	}
	o, ok, err := c.existing(registry.KindVersion, c.Positional.Name)
	if err != nil {
		return err
	}
	if !ok {
		if c.Source == nil {
			return usage("version %s does not exist yet; a new one needs --source", c.Positional.Name)
		}
		o = registry.Object{Kind: registry.KindVersion, Name: c.Positional.Name}
		o.Version = &registry.Version{Adapter: adapter, State: registry.VersionActive}
	}
	keep(&o.Version.Source, c.Source)
	if c.State != nil {
		o.Version.State = registry.VersionState(*c.State)
	}
	return c.submit([]registry.Object{o})
}

type setVoter struct {
	*session
	Address    address `long:"voter-address" required:"yes" description:"peers' address of the instance"`
	DataCentre string  `long:"data-centre" required:"yes" description:"data centre of the instance"`
	Positional named   `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *setVoter) Execute([]string) error {
	return c.submit([]registry.Object{{
		Kind: registry.KindVoter, Name: c.Positional.Name,
		Voter: &registry.Voter{Address: c.Address.AddrPort, DataCentre: c.DataCentre},
	}})
}

type listLimits struct {
	*session
}

// Execute implements flags.Commander.
func (c *listLimits) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	client, err := c.api()
	if err != nil {
		return err
	}
	var answer operator.Limits
	if err := client.get(c.ctx, "/v1/limits", &answer); err != nil {
		return err
	}
	return c.show(answer, func(w io.Writer) error {
		t := &table{header: []string{"CUSTOMER", "DATA CENTRE", "RATE", "BURST", "CONFIRMED"}}
		for _, l := range answer.Limits {
			t.add(l.Customer, "(all)", l.Rate, l.Burst, "")
			for _, share := range l.Shares {
				t.add(l.Customer, share.DataCentre, share.Rate, share.Burst, yesNo(share.Confirmed))
			}
		}
		return t.write(w)
	})
}

type setLimit struct {
	*session
	Rate       *float64 `long:"rate" description:"tokens per second over the whole fleet"`
	Burst      *float64 `long:"burst" description:"tokens"`
	Positional struct {
		Customer string `positional-arg-name:"CUSTOMER" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *setLimit) Execute([]string) error {
	if c.Rate == nil && c.Burst == nil {
		return usage("give --rate, --burst or both")
	}
	o, ok, err := c.existing(registry.KindCustomer, c.Positional.Customer)
	if err != nil {
		return err
	}
	if !ok {
		return usage("customer %s does not exist", c.Positional.Customer)
	}
	keep(&o.Customer.Rate, c.Rate)
	keep(&o.Customer.Burst, c.Burst)
	return c.submit([]registry.Object{o})
}
