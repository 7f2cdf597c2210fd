package ctl

import (
	"net/netip"
	"os"
	"time"

	"lycheevale/internal/serve/operator"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/burn"
)

type reportCommand struct {
	*session
	HTML string `long:"html" description:"file for the report as a page"`
}

// Execute implements flags.Commander. Every instance counts the requests of its own callers, so that
// the report is the sum over all given addresses.
func (c *reportCommand) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	sum, err := c.collect()
	if err != nil {
		return err
	}
	services, err := c.fetch(collectionOf(registry.KindService), "")
	if err != nil {
		return err
	}
	report := burn.Compute(time.Now(), sum, objectives(services))
	if c.HTML == "" {
		return c.show(report, report.WriteText)
	}
	f, err := os.Create(c.HTML)
	if err != nil {
		return usage("%v", err)
	}
	if err := report.WriteHTML(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// collect adds up what the instances have counted; it fails only if none of them answers.
func (c *reportCommand) collect() (sum burn.Snapshot, err error) {
	client, err := c.api()
	if err != nil {
		return sum, err
	}
	var list []burn.Snapshot
	var last error
	for _, address := range client.options.Addresses {
		o := client.options
		o.Addresses = []netip.AddrPort{address}
		var s burn.Snapshot
		if err := NewClient(o).get(c.ctx, "/v1/burn", &s); err != nil {
			last = err
			c.notice("The report does not include %s: %v", address, err)
			continue
		}
		list = append(list, s)
	}
	if len(list) == 0 {
		return sum, last
	}
	return burn.Merge(list...), nil
}

func objectives(services operator.Objects) func(string) registry.Objective {
	byName := map[string]registry.Objective{}
	for _, o := range services.Objects {
		byName[o.Name] = o.Service.Objective
	}
	return func(service string) registry.Objective { return byName[service] }
}
