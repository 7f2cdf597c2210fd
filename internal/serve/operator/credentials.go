package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/yamldoc"
)

// Role defines what an operator may do.
type Role string

// Roles of operators.
const (
	RoleOperator Role = "Operator" // reads and changes
	RoleViewer   Role = "Viewer"   // reads only
)

// Identity is a known operator.
type Identity struct {
	Name string
	Role Role
}

// Credential is one operator in the credentials file; Hash is the hexadecimal SHA-256 of the token.
type Credential struct {
	Name string `yaml:"Name"`
	Role Role   `yaml:"Role"`
	Hash string `yaml:"Hash"`
}

// tokenBytes is the length of a generated token; tokens are random, so that a hash without salt or
// stretching resists guessing.
const tokenBytes = 32

// NewToken returns a random token and its credential.
func NewToken(name string, role Role) (token string, c Credential) {
	raw := make([]byte, tokenBytes)
	_, _ = rand.Read(raw) // never fails
	token = "lo_" + base64.RawURLEncoding.EncodeToString(raw)
	return token, Credential{Name: name, Role: role, Hash: hashOf(token)}
}

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Credentials is the set of operators that the API accepts; it is safe for concurrent use.
type Credentials struct {
	path    string
	mu      sync.RWMutex
	list    []Credential
	changed time.Time // modification time of the file when it was last read
	size    int64
	missing bool
}

// NewCredentials returns fixed credentials.
func NewCredentials(list ...Credential) *Credentials {
	return &Credentials{list: list}
}

// LoadCredentials reads the file at path.
func LoadCredentials(path string) (c *Credentials, err error) {
	defer func() { err = Error.Wrap(err) }()
	c = &Credentials{path: path}
	return c, c.Reload()
}

// Reload reads the file again; on an error the previous credentials stay in effect.
func (c *Credentials) Reload() error {
	info, err := os.Stat(c.path)
	if err != nil {
		return err
	}
	list, err := readCredentials(c.path)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed, c.size = info.ModTime(), info.Size()
	if err != nil {
		return err
	}
	c.list = list
	return nil
}

func readCredentials(path string) ([]Credential, error) {
	docs, err := yamldoc.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if len(docs) != 1 {
		return nil, yamldoc.SourceError{File: path, Message: "expected exactly one YAML document with Operators"}
	}
	var file struct {
		Operators []Credential `yaml:"Operators"`
	}
	if err := docs[0].Decode(&file); err != nil {
		return nil, err
	}
	var problems yamldoc.SourceErrors
	for i, o := range file.Operators {
		add := func(field, message string) {
			problems = append(problems, docs[0].ErrorAt(fmt.Sprintf("$.Operators[%d].%s", i, field), field+" "+message, ""))
		}
		if !validName(o.Name) {
			add("Name", "is not a valid name")
		}
		if o.Role != RoleOperator && o.Role != RoleViewer {
			add("Role", "must be Operator or Viewer")
		}
		if !validHash(o.Hash) {
			add("Hash", "must be a hexadecimal SHA-256 in lower case")
		}
	}
	return file.Operators, problems.Err()
}

// Identify returns the operator whose token the Authorization header carries. It compares with all
// credentials in constant time.
func (c *Credentials) Identify(authorization string) (id Identity, ok bool) {
	scheme, token, _ := strings.Cut(authorization, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return Identity{}, false
	}
	presented := []byte(hashOf(strings.TrimSpace(token)))
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, known := range c.list {
		if subtle.ConstantTimeCompare(presented, []byte(known.Hash)) == 1 {
			id, ok = Identity{Name: known.Name, Role: known.Role}, true
		}
	}
	return id, ok
}

// reloadIfChanged reloads the file if it has changed, and logs once for each state of the file.
func (c *Credentials) reloadIfChanged(ctx context.Context, logger *slog.Logger) {
	if c.path == "" {
		return
	}
	info, err := os.Stat(c.path)
	c.mu.Lock()
	same := err == nil && info.ModTime().Equal(c.changed) && info.Size() == c.size
	if same || err != nil && c.missing {
		c.mu.Unlock()
		return
	}
	c.missing = err != nil
	c.mu.Unlock()
	if err == nil {
		err = c.Reload()
	}
	if err != nil {
		event.Log(ctx, logger, event.CredentialsRejected, slog.String("Error", err.Error()))
		return
	}
	event.Log(ctx, logger, event.CredentialsReloaded, slog.String("File", c.path))
}
