package document

import (
	"encoding/json"
	"sync"
)

// Action names what a command does.
type Action string

// Actions of commands.
const (
	Replace    Action = "Replace"    // stores a document unless a higher or equal number is stored
	SetAdapter Action = "SetAdapter" // names a newer version of an adapter
	Appoint    Action = "Appoint"    // names the deputies, unless a leader of a later term has
	Barrier    Action = "Barrier"    // changes nothing; its result proves that the state was the newest
)

// Command is one entry of the log.
type Command struct {
	Action  Action          `json:"Action"`
	Version uint64          `json:"Version,omitempty"`
	Content json.RawMessage `json:"Content,omitempty"` // as the operator sent it; logs of earlier versions have it instead of Packed
	Packed  []byte          `json:"Packed,omitempty"`  // the same, packed
	Adapter AdapterVersion  `json:"Adapter,omitzero"`
	Appoint Appointment     `json:"Appoint,omitzero"`
}

// Appointment names the entries that may hold shares of customers' rates, so that a new leader knows who may be using them.
type Appointment struct {
	Term     uint64   `json:"Term"` // of the leader that has named them
	Deputies []string `json:"Deputies,omitempty"`
	Former   []string `json:"Former,omitempty"` // may still hold shares
}

// AdapterVersion is the newest version of an adapter; Adapter is empty for a base model.
type AdapterVersion struct {
	Model   string `json:"Model"`
	Adapter string `json:"Adapter"`
	Version int    `json:"Version"`
}

// Result of a command.
type Result struct {
	Stored  bool   `json:"Stored"` // the command has changed the state
	Version uint64 `json:"Version"`
}

// Stored is the replicated state at one moment.
type Stored struct {
	Version  uint64           `json:"Version"`
	Content  json.RawMessage  `json:"Content,omitempty"`
	Packed   []byte           `json:"-"` // Content for its way between instances, made once
	Adapters []AdapterVersion `json:"Adapters,omitempty"`
	Changes  uint64           `json:"Changes"` // number of changes of Adapters
	Appoint  Appointment      `json:"Appoint,omitzero"`
}

// Machine is the state machine behind the log; it is safe for concurrent use.
type Machine struct {
	mu     sync.RWMutex
	stored Stored
	latest map[[2]string]int // position in Adapters
}

// ReplaceCommand returns the command that stores a document. One that is stored already, or was overtaken, is not sent again: a
// barrier tells as well that it, or a newer one, is durable.
func (s Stored) ReplaceCommand(version uint64, content []byte) (c Command, err error) {
	if version <= s.Version {
		return Command{Action: Barrier}, nil
	}
	packed, err := Pack(content)
	return Command{Action: Replace, Version: version, Packed: packed}, err
}

// NewMachine returns a machine without any document.
func NewMachine() *Machine { return &Machine{latest: map[[2]string]int{}} }

// Apply executes an encoded Command and returns an encoded Result. Data that cannot be read changes nothing.
func (m *Machine) Apply(data []byte) []byte {
	var c Command
	var result Result
	m.mu.Lock()
	if json.Unmarshal(data, &c) == nil {
		result.Stored = m.apply(c)
	}
	result.Version = m.stored.Version
	m.mu.Unlock()
	encoded, err := json.Marshal(result)
	if err != nil {
		panic(err) // a struct of a number and a truth value can always be encoded
	}
	return encoded
}

func (m *Machine) apply(c Command) bool {
	switch c.Action {
	case Replace:
		if c.Version <= m.stored.Version {
			return false
		}
		content, packed, err := c.document()
		if err != nil {
			return false // the same everywhere
		}
		m.stored.Version, m.stored.Content, m.stored.Packed = c.Version, content, packed
		return true
	case SetAdapter:
		return m.setAdapter(c.Adapter)
	case Appoint:
		if c.Appoint.Term < m.stored.Appoint.Term {
			return false
		}
		m.stored.Appoint = c.Appoint
		return true
	}
	return false
}

// document returns the content of a command in both forms.
func (c Command) document() (content, packed []byte, err error) {
	if len(c.Packed) > 0 {
		content, err = Unpack(c.Packed)
		return content, c.Packed, err
	}
	packed, err = Pack(c.Content)
	return c.Content, packed, err
}

func (m *Machine) setAdapter(v AdapterVersion) bool {
	key := [2]string{v.Model, v.Adapter}
	if i, known := m.latest[key]; known {
		if m.stored.Adapters[i].Version >= v.Version {
			return false
		}
		// Readers hold the old slice.
		list := make([]AdapterVersion, len(m.stored.Adapters))
		copy(list, m.stored.Adapters)
		list[i] = v
		m.stored.Adapters = list
	} else {
		m.latest[key] = len(m.stored.Adapters)
		m.stored.Adapters = append(m.stored.Adapters[:len(m.stored.Adapters):len(m.stored.Adapters)], v)
	}
	m.stored.Changes++
	return true
}

// Stored returns the state; its parts must not be changed.
func (m *Machine) Stored() Stored {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.stored
}

// View returns a function that encodes the state at the moment of the call.
func (m *Machine) View() (encode func() ([]byte, error)) {
	stored := m.Stored()
	return func() ([]byte, error) { return json.Marshal(stored) }
}

// Restore replaces the state by an encoded one.
func (m *Machine) Restore(data []byte) (err error) {
	defer func() { err = Error.Wrap(err) }()
	var stored Stored
	if err := json.Unmarshal(data, &stored); err != nil {
		return err
	}
	if len(stored.Content) > 0 {
		if stored.Packed, err = Pack(stored.Content); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stored, m.latest = stored, map[[2]string]int{}
	for i, v := range stored.Adapters {
		m.latest[[2]string{v.Model, v.Adapter}] = i
	}
	return nil
}
