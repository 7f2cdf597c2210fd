package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"

	"lycheevale/internal/serve/operator"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/objectfile"
)

// table is text in columns.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		text := fmt.Sprint(c)
		if number, ok := c.(float64); ok {
			text = short(number)
		}
		if text == "" {
			text = "-"
		}
		row = append(row, text)
	}
	t.rows = append(t.rows, row)
}

// short rounds to four decimals: shares have the rounding errors of their sums.
func short(number float64) string {
	const steps = 1e4
	return strconv.FormatFloat(math.Round(number*steps)/steps, 'f', -1, 64)
}

func (t *table) write(w io.Writer) error {
	const gap = 2
	tab := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		fmt.Fprintln(tab, strings.Join(row, "\t"))
	}
	return tab.Flush()
}

// show writes the value in the chosen format; as a table it calls text.
func (s *session) show(value any, text func(w io.Writer) error) error {
	switch s.globals.Output {
	case "json":
		encoder := json.NewEncoder(s.streams.Out)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case "yaml":
		data, err := toYAML(value)
		if err != nil {
			return err
		}
		_, err = s.streams.Out.Write(data)
		return err
	}
	return text(s.streams.Out)
}

// toYAML encodes through JSON, so that both formats have the same fields.
func toYAML(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return yaml.JSONToYAML(data)
}

// showObjects writes objects; YAML is a file for apply.
func (s *session) showObjects(answer operator.Objects, c operator.Collection) error {
	if s.globals.Output != "yaml" {
		return s.show(answer, objectTable(c, answer.Objects).write)
	}
	data, err := objectfile.Encode(answer.Objects)
	if err != nil {
		return err
	}
	_, err = s.streams.Out.Write(data)
	return err
}

func objectTable(c operator.Collection, objects []registry.Object) *table {
	t := &table{header: headers[c.Kind]}
	for _, o := range objects {
		addObject(t, o)
	}
	return t
}

var headers = map[registry.Kind][]string{
	registry.KindCustomer: {"NAME", "RATE", "BURST", "PRIORITY", "STRICT KEYS", "REVISION"},
	registry.KindKey:      {"ID", "CUSTOMER", "STATE", "REVISION"},
	registry.KindModel:    {"NAME", "REVISION"},
	registry.KindAdapter:  {"NAME", "CUSTOMER", "MODEL", "DEFAULT VERSION", "OPEN", "REVISION"},
	registry.KindVersion:  {"NAME", "ADAPTER", "SOURCE", "STATE", "REVISION"},
	registry.KindService:  {"NAME", "KIND", "MODEL", "ROUTES", "AVAILABILITY", "FIRST TOKEN", "REVISION"},
	registry.KindVoter:    {"NAME", "ADDRESS", "DATA CENTRE", "REVISION"},
	registry.KindShare:    {"NAME", "RATE", "BURST", "EPOCH", "CONFIRMED", "REVISION"},

	registry.KindQuarantine: {"NAME", "SERVICE", "SIGNATURE", "REVISION"},
}

func addObject(t *table, o registry.Object) {
	switch {
	case o.Customer != nil:
		t.add(o.Name, o.Customer.Rate, o.Customer.Burst, o.Customer.Priority, yesNo(o.Customer.StrictKeys), o.Revision)
	case o.Key != nil:
		state := "Active"
		if o.Key.Withdrawn {
			state = "Withdrawn"
		}
		t.add(o.Name, o.Key.Customer, state, o.Revision)
	case o.Adapter != nil:
		t.add(o.Name, o.Adapter.Customer, o.Adapter.Model, o.Adapter.DefaultVersion, yesNo(o.Adapter.Open), o.Revision)
	case o.Version != nil:
		t.add(o.Name, o.Version.Adapter, o.Version.Source, o.Version.State, o.Revision)
	case o.Service != nil:
		first := (time.Duration(o.Service.Objective.FirstTokenMS) * time.Millisecond).String()
		t.add(o.Name, o.Service.Kind, o.Service.Model, routes(o.Service.Routes), o.Service.Objective.Availability, first, o.Revision)
	case o.Voter != nil:
		t.add(o.Name, o.Voter.Address, o.Voter.DataCentre, o.Revision)
	case o.Share != nil:
		t.add(o.Name, o.Share.Rate, o.Share.Burst, o.Share.Epoch, yesNo(o.Share.Confirmed), o.Revision)
	case o.Quarantine != nil:
		t.add(o.Name, o.Quarantine.Service, o.Quarantine.Signature, o.Revision)
	default:
		t.add(o.Name, o.Revision)
	}
}

func routes(list []registry.Route) string {
	texts := make([]string, 0, len(list))
	for _, r := range list {
		texts = append(texts, r.Method+" "+r.Path)
	}
	return strings.Join(texts, ", ")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
