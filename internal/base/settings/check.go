package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"lycheevale/internal/base/yamldoc"
)

// Bounds of settings.
const (
	// MaxKeepers bounds the messages of one lease renewal, which go to every keeper.
	MaxKeepers = 9
	// MaxVoters bounds the wide-area messages of one change, which go to every voter.
	MaxVoters = 7

	minBytes = 1 << 10
	maxBytes = 1 << 30
)

// Fault is a setting with an invalid value; Path is its YAML path.
type Fault struct {
	Path    string
	Message string
	Hint    string
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Check returns an error that lists every setting with an invalid value.
func (s Settings) Check() error {
	var problems yamldoc.SourceErrors
	for _, f := range s.faults() {
		problems = append(problems, yamldoc.SourceError{Message: f.Path[2:] + " " + f.Message, Hint: f.Hint})
	}
	return Error.Wrap(problems.Err())
}

type faults []Fault

func (fs *faults) add(path, hint, format string, args ...any) {
	*fs = append(*fs, Fault{Path: "$." + path, Message: fmt.Sprintf(format, args...), Hint: hint})
}

func (s Settings) faults() []Fault {
	var fs faults
	s.checkNames(&fs)
	s.checkListen(&fs)
	s.checkMembers(&fs)
	s.checkTLS(&fs)
	s.checkChoices(&fs)
	s.checkLimits(&fs)
	s.checkTimeouts(&fs)
	return fs
}

func (fs *faults) name(path, value string) {
	if !namePattern.MatchString(value) {
		fs.add(path, "lower-case letters, digits and hyphens, at most 63", "is %q, which is not a valid name", value)
	}
}

func (s Settings) checkNames(fs *faults) {
	fs.name("Name", s.Name)
	fs.name("DataCentre", s.DataCentre)
	fs.name("Region", s.Region)
}

func (s Settings) checkListen(fs *faults) {
	seen := map[netip.AddrPort]string{}
	for _, l := range s.Listen.listeners() {
		path := "Listen." + l.name
		if !l.address.IsValid() {
			fs.add(path, "such as 10.0.0.1:8080", "is missing")
			continue
		}
		if other, taken := seen[l.address]; taken && l.address.Port() != 0 {
			fs.add(path, "each needs its own port", "is the same address as Listen.%s", other)
		}
		seen[l.address] = l.name
	}
	peers, streams := s.Listen.Peers.Addr(), s.Listen.Streams.Addr()
	if peers.IsUnspecified() {
		fs.add("Listen.Peers", "peers connect to this address as it is written", "must be the address of one interface")
	}
	if streams.IsUnspecified() {
		fs.add("Listen.Streams", "peers connect to this address as it is written", "must be the address of one interface")
	}
	if s.Listen.Peers.IsValid() && s.Listen.Streams.IsValid() && peers.IsLoopback() != streams.IsLoopback() {
		fs.add("Listen.Streams", "the same instances connect to both", "and Listen.Peers must both be on loopback addresses or neither")
	}
}

type listener struct {
	name    string
	address netip.AddrPort
}

func (l Listen) listeners() []listener {
	return []listener{{"Callers", l.Callers}, {"Operators", l.Operators}, {"Peers", l.Peers}, {"Streams", l.Streams}}
}

func (s Settings) checkMembers(fs *faults) {
	known := map[string]Member{s.Name: {Name: s.Name, Address: s.Listen.Peers, DataCentre: s.DataCentre}}
	fs.members("Keepers", s.Keepers, known)
	fs.members("Voters", s.Voters, known)
	fs.members("Peers", s.Peers, known)
	for i, k := range s.Keepers {
		if k.DataCentre != s.DataCentre {
			fs.add(fmt.Sprintf("Keepers[%d].DataCentre", i), "keepers hold the lease of their own data centre",
				"is %q, but this instance is in %q", k.DataCentre, s.DataCentre)
		}
	}
	if len(s.Keepers) > MaxKeepers {
		fs.add("Keepers", "five are enough for a large data centre", "has %d members, more than %d", len(s.Keepers), MaxKeepers)
	}
	if n := len(s.Voters); n > MaxVoters || n > 0 && n%2 == 0 {
		fs.add("Voters", "an even number tolerates no more failures than one less",
			"has %d members, expected an odd number up to %d", n, MaxVoters)
	}
	isVoter := slices.ContainsFunc(s.Voters, func(m Member) bool { return m.Name == s.Name })
	if isVoter && s.DataFolder == "" {
		fs.add("DataFolder", "a voter must find its log again after a restart",
			"is empty, but this instance is one of the Voters")
	}
}

// members checks one list of instances; known holds the members that the settings define elsewhere, by name.
func (fs *faults) members(list string, members []Member, known map[string]Member) {
	inList := map[string]bool{}
	for i, m := range members {
		path := fmt.Sprintf("%s[%d]", list, i)
		fs.name(path+".Name", m.Name)
		fs.name(path+".DataCentre", m.DataCentre)
		if !m.Address.IsValid() {
			fs.add(path+".Address", "the Listen.Peers of that instance", "is missing")
		}
		if inList[m.Name] {
			fs.add(path+".Name", "", "%q is listed twice", m.Name)
		}
		inList[m.Name] = true
		before, found := known[m.Name]
		if found && before != m {
			fs.add(path, fmt.Sprintf("elsewhere %s in %s", before.Address, before.DataCentre),
				"gives %q another address or data centre than the rest of the file", m.Name)
		}
		known[m.Name] = m
	}
}

func (s Settings) checkTLS(fs *faults) {
	fs.serverTLS("TLS.Callers", s.TLS.Callers)
	fs.serverTLS("TLS.Operators", s.TLS.Operators)
	p := s.TLS.Peers
	set := p.CertificateFile != "" && p.KeyFile != "" && p.AuthorityFile != ""
	if !set && p != (PeerTLS{}) {
		fs.add("TLS.Peers", "", "needs CertificateFile, KeyFile and AuthorityFile, or none of them")
	}
	encrypted := map[string]bool{
		"Callers": s.TLS.Callers != (ServerTLS{}), "Operators": s.TLS.Operators != (ServerTLS{}), "Peers": p != (PeerTLS{}),
		"Streams": p != (PeerTLS{}),
	}
	for _, l := range s.Listen.listeners() {
		exposed := l.address.IsValid() && !l.address.Addr().IsLoopback()
		field := strings.Replace(l.name, "Streams", "Peers", 1) // both use the peer certificate
		if exposed && !encrypted[l.name] && !s.TLS.AllowPlaintext {
			fs.add("TLS."+field, "set the files, or AllowPlaintext if the network is trusted",
				"is empty, but Listen.%s is %s, which is not a loopback address", l.name, l.address)
		}
	}
}

func (fs *faults) serverTLS(path string, t ServerTLS) {
	if (t.CertificateFile == "") != (t.KeyFile == "") {
		fs.add(path, "", "needs both CertificateFile and KeyFile, or neither")
	}
}

func (s Settings) checkChoices(fs *faults) {
	fs.choice("Log.Level", s.Log.Level, "Debug", "Info", "Warn", "Error")
	fs.choice("Log.Format", s.Log.Format, "JSON", "Text")
}

func (fs *faults) choice(path, value string, choices ...string) {
	if !slices.Contains(choices, value) {
		fs.add(path, yamldoc.Hint(value, choices), "is %q, which is not known", value)
	}
}

func (s Settings) checkLimits(fs *faults) {
	for _, l := range []struct {
		path  string
		value int64
	}{
		{"Limits.BodyBytes", s.Limits.BodyBytes},
		{"Limits.HeaderBytes", int64(s.Limits.HeaderBytes)},
		{"Limits.OperatorBodyBytes", s.Limits.OperatorBodyBytes},
		{"Limits.ResponseBytes", s.Limits.ResponseBytes},
	} {
		if l.value < minBytes || l.value > maxBytes {
			fs.add(l.path, "", "is %d bytes, expected %d to %d", l.value, minBytes, maxBytes)
		}
	}
	if s.Limits.Connections < 1 {
		fs.add("Limits.Connections", "", "is %d, expected 1 or more", s.Limits.Connections)
	}
}

func (s Settings) checkTimeouts(fs *faults) {
	t := s.Timeouts
	for _, d := range []struct {
		path  string
		value time.Duration
	}{
		{"Timeouts.HeaderRead", t.HeaderRead}, {"Timeouts.BodyRead", t.BodyRead}, {"Timeouts.Write", t.Write},
		{"Timeouts.Idle", t.Idle}, {"Timeouts.Request", t.Request}, {"Timeouts.EndpointRead", t.EndpointRead},
		{"Timeouts.PeerCall", t.PeerCall}, {"Timeouts.Change", t.Change},
		{"Timeouts.StrictKeyLimit", t.StrictKeyLimit}, {"Shutdown.Bound", s.Shutdown.Bound},
	} {
		if d.value <= 0 {
			fs.add(d.path, "", "is %s, expected more than 0", d.value)
		}
	}
	if s.Shutdown.LoadBalancer < 0 {
		fs.add("Shutdown.LoadBalancer", "", "is %s, expected 0 or more", s.Shutdown.LoadBalancer)
	}
	if s.Shutdown.Bound > 0 && s.Shutdown.LoadBalancer >= s.Shutdown.Bound {
		fs.add("Shutdown.Bound", "running requests need time after the load balancer has moved on",
			"is %s, expected more than Shutdown.LoadBalancer", s.Shutdown.Bound)
	}
}
