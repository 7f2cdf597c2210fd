package deployment

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"lycheevale/internal/base/settings"
	fakeengine "lycheevale/internal/fake/engine"
	"lycheevale/internal/fake/network"
	"lycheevale/internal/node/instance"
	"lycheevale/internal/state/registry"
)

// Options configure a Deployment.
type Options struct {
	DataCentres    []string
	Instances      int // in each data centre
	ExtraInstances int // additional instances in the first data centre
	Engines        int // in each data centre
	Services       int // plain endpoints in each data centre
	Service        string
	Model          string
	Objects        []registry.Object
	DataFolder     string // contains one folder for each voter
	Logger         *slog.Logger
	Listen         func(at netip.AddrPort) (net.Listener, error)
	Dialer         func(from netip.Addr) func(ctx context.Context, network, address string) (net.Conn, error)
	Reserve        func(host netip.Addr) (netip.AddrPort, error)               // chooses a port; nil for the fixed ports
	Place          func(kind Kind, dataCentre, number int) (netip.Addr, error) // address of a host
	EngineOptions  func(name string) []fakeengine.Option
	Settings       func(s *settings.Settings)
	Instance       []instance.Option
	NewLogger      func(name string) *slog.Logger     // nil to use Logger for all instances
	Wall           func(name string) func() time.Time // wall clock of an instance; nil for the correct time
}

// Kind names what runs on a host.
type Kind byte

// Kinds of hosts.
const (
	KindInstance Kind = 1
	KindEngine   Kind = 2
	KindService  Kind = 3
	KindCaller   Kind = 4
)

// Option sets one of the Options.
type Option func(*Options)

// With sets options with a function.
func With(f func(*Options)) Option { return f }

// WithNetwork places all hosts on an in-memory network.
func WithNetwork(n *network.Network) Option {
	return func(o *Options) { o.Listen, o.Dialer = n.Listen, n.Dialer }
}

func defaults() Options {
	return Options{
		DataCentres: []string{"brisbane-a", "townsville-a", "toowoomba-a"}, Instances: 1, Engines: 3, Services: 1,
		Service: "ledger", Model: "quill", Logger: slog.New(slog.DiscardHandler), Place: place,
		EngineOptions: func(string) []fakeengine.Option { return nil }, Settings: func(*settings.Settings) {},
	}
}

// place gives every host its own loopback address, because plaintext between instances is allowed on loopback only.
func place(kind Kind, dataCentre, number int) (netip.Addr, error) {
	return netip.AddrFrom4([4]byte{127, byte(dataCentre + 1), byte(kind), byte(number + 1)}), nil
}
