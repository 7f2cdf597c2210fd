package operator

import (
	"encoding/json"
	"net/netip"
	"os"
	"sync"
	"time"

	"lycheevale/internal/state/registry"
)

// maxRecent is the number of records kept in memory for the API; the file keeps all of them.
const maxRecent = 1000

// Stage states whether a record was written before or after the action.
type Stage string

// Stages of an audited action. Started is written first, so that an action is recorded even if the
// instance fails during it.
const (
	StageStarted  Stage = "Started"
	StageFinished Stage = "Finished"
)

// Record is one entry of the audit log.
type Record struct {
	At        time.Time  `json:"At"`
	Stage     Stage      `json:"Stage"`
	Operator  string     `json:"Operator"`
	Remote    netip.Addr `json:"Remote"`
	Action    string     `json:"Action"`
	RequestID string     `json:"RequestID"`
	Objects   []string   `json:"Objects,omitempty"` // Kind/Name
	Revision  uint64     `json:"Revision,omitempty"`
	Error     string     `json:"Error,omitempty"`
}

// AuditAnswer answers a request for the audit log, oldest record first.
type AuditAnswer struct {
	Records []Record `json:"Records"`
}

// Audit records the actions of operators; it is safe for concurrent use.
type Audit struct {
	store  func(line []byte) error
	mu     sync.Mutex
	recent []Record
}

// NewAudit returns an audit log that passes each record as one line of JSON to store, which must
// make it durable; if store is nil, only the latest records are kept, in memory.
func NewAudit(store func(line []byte) error) *Audit {
	if store == nil {
		store = func([]byte) error { return nil }
	}
	return &Audit{store: store}
}

// OpenAudit returns an audit log that appends to the file at path and syncs each record; closing
// closes the file.
func OpenAudit(path string) (a *Audit, closing func() error, err error) {
	defer func() { err = Error.Wrap(err) }()
	const ownerOnly = 0o600
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, ownerOnly)
	if err != nil {
		return nil, nil, err
	}
	store := func(line []byte) error {
		if _, err := f.Write(line); err != nil {
			return err
		}
		return f.Sync()
	}
	return NewAudit(store), f.Close, nil
}

// Add stores one record.
func (a *Audit) Add(r Record) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.store(append(line, '\n')); err != nil {
		return err
	}
	if len(a.recent) == maxRecent {
		copy(a.recent, a.recent[1:])
		a.recent = a.recent[:maxRecent-1]
	}
	a.recent = append(a.recent, r)
	return nil
}

// Recent returns up to n of the latest records, oldest first.
func (a *Audit) Recent(n int) []Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Record{}, a.recent[max(len(a.recent)-n, 0):]...)
}

func namesOf(objects []registry.Object) []string {
	names := make([]string, 0, len(objects))
	for _, o := range objects {
		names = append(names, string(o.Kind)+"/"+o.Name)
	}
	return names
}
