package document

import (
	"encoding/json"
	"slices"
	"sync"

	"lycheevale/internal/member/report"
	"lycheevale/internal/place/origin"
	"lycheevale/internal/place/quarantine"
)

// Action is the type of a command.
type Action string

// Actions of commands.
const (
	Replace    Action = "Replace"    // stores a document unless the stored version is equal or higher
	SetAdapter Action = "SetAdapter" // records a newer version of an adapter
	Appoint    Action = "Appoint"    // records the deputies, unless a leader of a later term has done so
	Quarantine Action = "Quarantine" // adds and removes signatures of requests that no endpoint gets
	Depart     Action = "Depart"     // adds and removes departures of endpoints
	Software   Action = "Software"   // adds and removes software versions of services
	Barrier    Action = "Barrier"    // changes nothing; its result proves that the state was current
)

// Command is one entry of the log.
type Command struct {
	Action  Action          `json:"Action"`
	Version uint64          `json:"Version,omitempty"`
	Content json.RawMessage `json:"Content,omitempty"` // as sent by the operator; logs of earlier releases have it instead of Packed
	Packed  []byte          `json:"Packed,omitempty"`  // Content, compressed by Pack
	Adapter AdapterVersion  `json:"Adapter,omitzero"`
	Appoint Appointment     `json:"Appoint,omitzero"`

	Quarantine []quarantine.Signature `json:"Quarantine,omitempty"` // added
	Release    []quarantine.Signature `json:"Release,omitempty"`    // removed

	Depart []report.Departure `json:"Depart,omitempty"` // added
	Forget []string           `json:"Forget,omitempty"` // identifiers of endpoints whose departures are removed

	Introduce []origin.Software `json:"Introduce,omitempty"` // added
	Retire    []origin.Software `json:"Retire,omitempty"`    // removed
}

// Appointment lists the entries that may hold shares of customers' rates, so that a new leader knows which entries may be
// using them.
type Appointment struct {
	Term     uint64   `json:"Term"` // of the leader that appointed them
	Deputies []string `json:"Deputies,omitempty"`
	Former   []string `json:"Former,omitempty"` // previous deputies that may still hold shares
}

// AdapterVersion is the newest version of an adapter; Adapter is empty for a base model.
type AdapterVersion struct {
	Model   string `json:"Model"`
	Adapter string `json:"Adapter"`
	Version int    `json:"Version"`
}

// Result is the result of a command.
type Result struct {
	Stored  bool   `json:"Stored"` // the command changed the state
	Version uint64 `json:"Version"`
}

// Stored is a point-in-time view of the replicated state.
type Stored struct {
	Version  uint64           `json:"Version"`
	Content  json.RawMessage  `json:"Content,omitempty"`
	Packed   []byte           `json:"-"` // Content, compressed once for transfers between instances
	Adapters []AdapterVersion `json:"Adapters,omitempty"`
	Changes  uint64           `json:"Changes"` // number of changes of Adapters
	Appoint  Appointment      `json:"Appoint,omitzero"`

	Quarantine         []quarantine.Signature `json:"Quarantine,omitempty"`
	QuarantineRevision uint64                 `json:"QuarantineRevision,omitempty"` // number of changes of Quarantine

	Departures        []report.Departure `json:"Departures,omitempty"`        // oldest first, one for each endpoint
	DepartureRevision uint64             `json:"DepartureRevision,omitempty"` // number of changes of Departures

	Software         []origin.Software `json:"Software,omitempty"`         // versions that may have begun streams which are still to be continued
	SoftwareRevision uint64            `json:"SoftwareRevision,omitempty"` // number of changes of Software
}

// Machine is the state machine of the configuration log; it is safe for concurrent use.
type Machine struct {
	mu               sync.RWMutex
	stored           Stored
	adapterPositions map[[2]string]int // index in stored.Adapters by model and adapter
}

// ReplaceCommand returns the command that stores a document. If this or a newer version is already stored, it returns a
// barrier, whose result also proves that the version, or a newer one, is durable.
func (s Stored) ReplaceCommand(version uint64, content []byte) (c Command, err error) {
	if s.HoldsDocument(version) {
		return Command{Action: Barrier}, nil
	}
	packed, err := Pack(content)
	return Command{Action: Replace, Version: version, Packed: packed}, err
}

// HoldsDocument reports whether this version of the document, or a newer one, is stored.
func (s Stored) HoldsDocument(version uint64) bool { return version <= s.Version }

// HoldsAdapter reports whether this version of an adapter, or a newer one, is stored.
func (s Stored) HoldsAdapter(v AdapterVersion) bool {
	return slices.ContainsFunc(s.Adapters, func(held AdapterVersion) bool {
		return held.Model == v.Model && held.Adapter == v.Adapter && held.Version >= v.Version
	})
}

// HoldsDeparture reports whether a departure, or a later one of the endpoint, is stored.
func (s Stored) HoldsDeparture(d report.Departure) bool {
	return slices.ContainsFunc(s.Departures, func(held report.Departure) bool {
		return held.ID == d.ID && held.Born >= d.Born && (held.Gone || !d.Gone || held.Born > d.Born)
	})
}

// NewMachine returns a machine without any document.
func NewMachine() *Machine { return &Machine{adapterPositions: map[[2]string]int{}} }

// Apply executes an encoded Command and returns an encoded Result. Data that cannot be decoded changes nothing.
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
		panic(err) // unreachable: a struct of a number and a boolean can always be encoded
	}
	return encoded
}

func (m *Machine) apply(c Command) bool {
	switch c.Action {
	case Replace:
		if c.Version <= m.stored.Version {
			return false
		}
		content, packed, err := c.contentAndPacked()
		if err != nil {
			return false // deterministic: every replica rejects the same command
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
	case Quarantine:
		return m.changeQuarantine(c)
	case Depart:
		return m.changeDepartures(c)
	case Software:
		return m.changeSoftware(c)
	}
	return false
}

// changeSoftware replaces the list, because readers may still use the old one.
func (m *Machine) changeSoftware(c Command) bool {
	list := slices.DeleteFunc(slices.Clone(m.stored.Software), func(s origin.Software) bool { return slices.Contains(c.Retire, s) })
	for _, s := range c.Introduce {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	if slices.Equal(list, m.stored.Software) {
		return false
	}
	m.stored.Software = list
	m.stored.SoftwareRevision++
	return true
}

// changeDepartures replaces the list, because readers may still use the old one.
func (m *Machine) changeDepartures(c Command) bool {
	list := slices.DeleteFunc(slices.Clone(m.stored.Departures), func(d report.Departure) bool { return slices.Contains(c.Forget, d.ID) })
	for _, d := range c.Depart {
		if m.stored.HoldsDeparture(d) {
			continue
		}
		list = append(slices.DeleteFunc(list, func(held report.Departure) bool { return held.ID == d.ID }), d)
	}
	list = list[max(len(list)-maxDepartures, 0):]
	if slices.Equal(list, m.stored.Departures) {
		return false
	}
	m.stored.Departures = list
	m.stored.DepartureRevision++
	return true
}

// maxDepartures limits the size of a snapshot; the oldest departures are dropped.
const maxDepartures = 4096

// changeQuarantine replaces the list, because readers may still use the old one.
func (m *Machine) changeQuarantine(c Command) bool {
	var list []quarantine.Signature
	for _, s := range slices.Concat(m.stored.Quarantine, c.Quarantine) {
		if !slices.Contains(list, s) && !slices.Contains(c.Release, s) {
			list = append(list, s)
		}
	}
	if slices.Equal(list, m.stored.Quarantine) {
		return false
	}
	m.stored.Quarantine = list
	m.stored.QuarantineRevision++
	return true
}

// contentAndPacked returns the content of a command in both forms.
func (c Command) contentAndPacked() (content, packed []byte, err error) {
	if len(c.Packed) > 0 {
		content, err = Unpack(c.Packed)
		return content, c.Packed, err
	}
	packed, err = Pack(c.Content)
	return c.Content, packed, err
}

func (m *Machine) setAdapter(v AdapterVersion) bool {
	key := [2]string{v.Model, v.Adapter}
	if i, known := m.adapterPositions[key]; known {
		if m.stored.Adapters[i].Version >= v.Version {
			return false
		}
		// The slice is copied, because readers may still use the old one.
		list := make([]AdapterVersion, len(m.stored.Adapters))
		copy(list, m.stored.Adapters)
		list[i] = v
		m.stored.Adapters = list
	} else {
		m.adapterPositions[key] = len(m.stored.Adapters)
		m.stored.Adapters = append(m.stored.Adapters[:len(m.stored.Adapters):len(m.stored.Adapters)], v)
	}
	m.stored.Changes++
	return true
}

// Stored returns the current state, which must not be modified.
func (m *Machine) Stored() Stored {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.stored
}

// View captures the current state and returns a function that encodes it.
func (m *Machine) View() (encode func() ([]byte, error)) {
	stored := m.Stored()
	return func() ([]byte, error) { return json.Marshal(stored) }
}

// Restore replaces the state with an encoded one.
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
	m.stored, m.adapterPositions = stored, map[[2]string]int{}
	for i, v := range stored.Adapters {
		m.adapterPositions[[2]string{v.Model, v.Adapter}] = i
	}
	return nil
}
