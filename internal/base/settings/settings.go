// Package settings defines the settings of one instance and reads them from YAML.
package settings

import (
	_ "embed"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/yamldoc"
)

// Error is the class of errors of this package.
var Error = errs.Class("settings")

// defaultsYAML documents every setting; a test verifies that it equals Defaults.
//
//go:embed defaults.yaml
var defaultsYAML []byte

// Settings are the settings of one instance; defaults.yaml documents each of them.
type Settings struct {
	Name       string    `yaml:"Name"`
	DataCentre string    `yaml:"DataCentre"`
	Region     string    `yaml:"Region"`
	Listen     Listen    `yaml:"Listen"`
	DataFolder string    `yaml:"DataFolder"`
	Keepers    []Member  `yaml:"Keepers"`
	Peers      []Member  `yaml:"Peers"`
	Voters     []Member  `yaml:"Voters"`
	TLS        TLS       `yaml:"TLS"`
	Operators  Operators `yaml:"Operators"`
	PolicyFile string    `yaml:"PolicyFile"`
	Limits     Limits    `yaml:"Limits"`
	Timeouts   Timeouts  `yaml:"Timeouts"`
	Shutdown   Shutdown  `yaml:"Shutdown"`
	Log        Log       `yaml:"Log"`
}

// Listen holds the addresses that the instance listens on; other instances connect to Peers and Streams as written.
type Listen struct {
	Callers   netip.AddrPort `yaml:"Callers"`
	Operators netip.AddrPort `yaml:"Operators"`
	Peers     netip.AddrPort `yaml:"Peers"`
	Streams   netip.AddrPort `yaml:"Streams"`
}

// Member is an instance listed in the settings.
type Member struct {
	Name       string         `yaml:"Name"`
	Address    netip.AddrPort `yaml:"Address"`
	DataCentre string         `yaml:"DataCentre"`
}

// TLS names the certificate files; connections without them are not encrypted.
type TLS struct {
	Callers        ServerTLS `yaml:"Callers"`
	Operators      ServerTLS `yaml:"Operators"`
	Peers          PeerTLS   `yaml:"Peers"`
	AllowPlaintext bool      `yaml:"AllowPlaintext"`
}

// ServerTLS names the PEM files of a server.
type ServerTLS struct {
	CertificateFile string `yaml:"CertificateFile"`
	KeyFile         string `yaml:"KeyFile"`
}

// PeerTLS names the PEM files for mutual TLS between instances.
type PeerTLS struct {
	CertificateFile string `yaml:"CertificateFile"`
	KeyFile         string `yaml:"KeyFile"`
	AuthorityFile   string `yaml:"AuthorityFile"`
}

// Operators names the files for operators' credentials and the audit log.
type Operators struct {
	CredentialsFile string `yaml:"CredentialsFile"`
	AuditFile       string `yaml:"AuditFile"`
}

// Limits bound the sizes of requests and responses and the number of connections.
type Limits struct {
	BodyBytes         int64 `yaml:"BodyBytes"`
	HeaderBytes       int   `yaml:"HeaderBytes"`
	OperatorBodyBytes int64 `yaml:"OperatorBodyBytes"`
	ResponseBytes     int64 `yaml:"ResponseBytes"`
	Connections       int   `yaml:"Connections"`
}

// Timeouts are the durations after which the instance stops waiting.
type Timeouts struct {
	HeaderRead     time.Duration `yaml:"HeaderRead"`
	BodyRead       time.Duration `yaml:"BodyRead"`
	Write          time.Duration `yaml:"Write"`
	Idle           time.Duration `yaml:"Idle"`
	Request        time.Duration `yaml:"Request"`
	EndpointRead   time.Duration `yaml:"EndpointRead"`
	PeerCall       time.Duration `yaml:"PeerCall"`
	Change         time.Duration `yaml:"Change"`
	StrictKeyLimit time.Duration `yaml:"StrictKeyLimit"`
}

// Shutdown bounds a planned stop.
type Shutdown struct {
	LoadBalancer time.Duration `yaml:"LoadBalancer"`
	Bound        time.Duration `yaml:"Bound"`
}

// Log selects the level and format of log lines.
type Log struct {
	Level  string `yaml:"Level"`
	Format string `yaml:"Format"`
}

// Defaults returns the settings of a single instance that listens on loopback and stores nothing on disk.
func Defaults() Settings {
	return Settings{
		Name:       "instance-1",
		DataCentre: "local-a",
		Region:     "local",
		Listen: Listen{
			Callers:   netip.MustParseAddrPort("127.0.0.1:8080"),
			Operators: netip.MustParseAddrPort("127.0.0.1:8081"),
			Peers:     netip.MustParseAddrPort("127.0.0.1:8082"),
			Streams:   netip.MustParseAddrPort("127.0.0.1:8083"),
		},
		Limits: Limits{
			BodyBytes: 4 << 20, HeaderBytes: 64 << 10, OperatorBodyBytes: 8 << 20, ResponseBytes: 16 << 20,
			Connections: 10000,
		},
		Timeouts: Timeouts{
			HeaderRead: 5 * time.Second, BodyRead: 30 * time.Second, Write: 30 * time.Second, Idle: 90 * time.Second,
			Request: 2 * time.Minute, EndpointRead: 2 * time.Second, PeerCall: 2 * time.Second,
			Change: 10 * time.Second, StrictKeyLimit: 2 * time.Second,
		},
		Shutdown: Shutdown{LoadBalancer: 5 * time.Second, Bound: 2 * time.Minute},
		Log:      Log{Level: "Info", Format: "JSON"},
	}
}

// DefaultsYAML returns the commented YAML document that is equivalent to Defaults.
func DefaultsYAML() []byte {
	return append([]byte(nil), defaultsYAML...)
}

// Load reads the file at path over Defaults and checks the result; errors carry line and column.
func Load(path string) (s Settings, err error) {
	defer func() { err = Error.Wrap(err) }()
	docs, err := yamldoc.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return decode(path, docs)
}

// Parse is Load for data in memory; file names the source in errors.
func Parse(file string, data []byte) (s Settings, err error) {
	defer func() { err = Error.Wrap(err) }()
	docs, err := yamldoc.Parse(file, data)
	if err != nil {
		return Settings{}, err
	}
	return decode(file, docs)
}

func decode(file string, docs []yamldoc.Document) (Settings, error) {
	if len(docs) != 1 {
		return Settings{}, yamldoc.SourceError{File: file, Message: "expected exactly one YAML document with settings"}
	}
	s := Defaults()
	if err := docs[0].Decode(&s); err != nil {
		return Settings{}, err
	}
	var problems yamldoc.SourceErrors
	for _, f := range s.faults() {
		problems = append(problems, docs[0].ErrorAt(f.Path, f.Path[2:]+" "+f.Message, f.Hint))
	}
	return s, problems.Err()
}
