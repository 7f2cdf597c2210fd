package questionnaire

import (
	"bufio"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/goccy/go-yaml"
)

// errNoMoreInput is reported when the input ends before the last question.
var errNoMoreInput = errs.New("the input ended before the last question")

// prompter asks questions; after the first error it asks no more and returns zero values.
type prompter struct {
	lines *bufio.Scanner
	out   io.Writer
	err   error
}

// Ask asks all questions on a terminal and repeats those with an answer that is not usable.
func Ask(in io.Reader, out io.Writer) (Answers, error) {
	p := &prompter{lines: bufio.NewScanner(in), out: out}
	var a Answers
	p.say("An answer in brackets is taken when you press return.")
	a.Team = p.text("Name of the team", "")
	for len(a.DataCentres) == 0 || p.more("Another data centre") {
		a.DataCentres = append(a.DataCentres, p.dataCentre())
	}
	for len(a.Models) == 0 || p.more("Another base model") {
		a.Models = append(a.Models, p.model())
	}
	for p.more("Add a service without a model, such as an order system") {
		a.Services = append(a.Services, p.service())
	}
	for len(a.Customers) == 0 || p.more("Another customer") {
		a.Customers = append(a.Customers, p.customer())
	}
	a.Traffic = p.traffic()
	a.Operations = p.operations()
	if p.err != nil {
		return a, p.err
	}
	return a, a.Check()
}

// Encode returns the answers as YAML for Load.
func Encode(a Answers) ([]byte, error) {
	return yaml.MarshalWithOptions(a, yaml.IndentSequence(true))
}

func (p *prompter) dataCentre() (d DataCentre) {
	p.say("\nData centre")
	d.Name = p.text("  Name, such as suva-a", "")
	region, _, _ := strings.Cut(d.Name, "-")
	d.Region = p.text("  Region", region)
	d.Instances = ask(p, "  IP addresses of its instances, with spaces between them", "", parseAddresses)
	d.DataFolder = p.optional("  Folder on the disk of the first instance, empty if it has no disk")
	return d
}

func parseAddresses(text string) (list []netip.Addr, err error) {
	for _, field := range strings.Fields(text) {
		address, err := netip.ParseAddr(field)
		if err != nil {
			return nil, err
		}
		list = append(list, address)
	}
	if len(list) == 0 {
		return nil, errs.New("at least one address is needed")
	}
	return list, nil
}

func (p *prompter) model() (m Model) {
	p.say("\nBase model")
	m.Name = p.text("  Name", "")
	m.Service = p.text("  Name of the service that callers use it through", m.Name+"-service")
	m.Adapters = ask(p, "  Adapters planned for the next two years", "1000", strconv.Atoi)
	m.Availability = ask(p, "  Share of requests that must succeed", "0.999", parseFloat)
	m.FirstTokenMS = ask(p, "  Milliseconds to the first token for 95 in 100 requests", "320", strconv.Atoi)
	return m
}

func (p *prompter) service() (s PlainService) {
	s.Name = p.text("  Name of the service", "")
	s.Availability = ask(p, "  Share of requests that must succeed", "0.999", parseFloat)
	for p.err == nil {
		r := ask(p, "  Method and path of a call, such as POST /orders, empty for no more", "-", parseRoute)
		if r.Method == "" {
			break
		}
		r.Repeatable = !p.yes("    Does it do harm when the call runs twice", r.Method == "POST")
		r.Open = p.yes("    May callers without a key use it", false)
		s.Routes = append(s.Routes, r)
	}
	return s
}

func parseRoute(text string) (r Route, err error) {
	if text == "-" {
		return r, nil
	}
	fields := strings.Fields(text)
	if len(fields) != 2 || !strings.HasPrefix(fields[1], "/") {
		return r, errs.New("expected a method and a path")
	}
	return Route{Method: strings.ToUpper(fields[0]), Path: fields[1]}, nil
}

func (p *prompter) customer() (c Customer) {
	p.say("\nCustomer")
	c.Name = p.text("  Name", "")
	c.RequestsPerMinute = ask(p, "  Requests per minute at the busiest time", "60", parseFloat)
	c.PromptTokens = ask(p, "  Tokens in the prompt of a large request", "1000", strconv.Atoi)
	c.OutputTokens = ask(p, "  Tokens at most in its answer", "500", strconv.Atoi)
	c.BurstSeconds = ask(p, "  Seconds of this traffic that may arrive at once", "30", strconv.Atoi)
	c.Priority = ask(p, "  Priority at the engines, higher is served first", "1", strconv.Atoi)
	c.StrictKeys = p.yes("  Rather refuse requests than accept a key that may be revoked elsewhere", false)
	return c
}

func (p *prompter) traffic() (t Traffic) {
	p.say("\nTraffic")
	t.Callers = ask(p, "  Open connections of all callers at the busiest time", "1000", strconv.Atoi)
	t.LongestRequest = ask(p, "  Longest time that a request may take", "60s", time.ParseDuration)
	t.RegionLatency = ask(p, "  One-way latency between regions", "30ms", time.ParseDuration)
	return t
}

func (p *prompter) operations() (o Operations) {
	p.say("\nOperations")
	o.LoadBalancerDelay = ask(p, "  Time until the load balancer has noticed that an instance is not ready", "5s", time.ParseDuration)
	o.CertificateFolder = p.optional("  Folder with the certificates of the instances, empty for none")
	if o.CertificateFolder == "" {
		o.TrustedNetwork = p.yes("  Is the network trusted, so that connections need no encryption", false)
	}
	o.CredentialsFile = p.text("  File with the hashes of the operators' tokens", "/etc/lycheevale/operators.yaml")
	o.AuditFile = p.optional("  File for the audit log, empty for the instance's log only")
	return o
}

func parseFloat(text string) (float64, error) {
	return strconv.ParseFloat(text, 64)
}

func (p *prompter) say(text string) {
	if p.err == nil {
		fmt.Fprintln(p.out, text)
	}
}

// line asks once and returns the answer without spaces at its ends.
func (p *prompter) line(question, preset string) string {
	if p.err != nil {
		return ""
	}
	if preset != "" {
		question += " [" + preset + "]"
	}
	fmt.Fprint(p.out, question+": ")
	if !p.lines.Scan() {
		p.err = errs.Combine(errNoMoreInput, p.lines.Err())
		return ""
	}
	if text := strings.TrimSpace(p.lines.Text()); text != "" {
		return text
	}
	return preset
}

// ask repeats the question until the answer can be parsed.
func ask[T any](p *prompter, question, preset string, parse func(string) (T, error)) (value T) {
	for p.err == nil {
		text := p.line(question, preset)
		if p.err != nil {
			break
		}
		value, err := parse(text)
		if err == nil {
			return value
		}
		fmt.Fprintf(p.out, "  Not usable: %v\n", err)
	}
	return value
}

func (p *prompter) text(question, preset string) string {
	return ask(p, question, preset, func(text string) (string, error) {
		if text == "" {
			return "", errs.New("an answer is needed")
		}
		return text, nil
	})
}

func (p *prompter) optional(question string) string {
	return p.line(question, "")
}

func (p *prompter) yes(question string, preset bool) bool {
	word := "no"
	if preset {
		word = "yes"
	}
	return ask(p, question, word, func(text string) (bool, error) {
		switch strings.ToLower(text) {
		case "y", "yes":
			return true, nil
		case "n", "no":
			return false, nil
		}
		return false, errs.New("expected yes or no")
	})
}

// more asks whether to add another item; without further input there is none.
func (p *prompter) more(question string) bool {
	return p.err == nil && p.yes(question, false)
}
