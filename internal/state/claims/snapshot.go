package claims

import (
	"encoding/json"
	"maps"
	"time"

	"lycheevale/internal/state/retention"
)

// stored is the JSON form of a snapshot.
type stored struct {
	Clock   retention.Clock
	Records []storedRecord
	// Claims is the previous format, from before claims were stored by digest; it is only read.
	Claims []storedClaim `json:",omitempty"`
}

type storedRecord struct {
	Key         []byte
	Fingerprint []byte
	Attempt     []byte
	Deadline    uint32
	Held        bool      `json:",omitempty"`
	Released    [][]byte  `json:",omitempty"` // attempts that released the claim
	Response    *Response `json:",omitempty"`
}

type storedClaim struct {
	Key      Key
	Deadline time.Time
	Claim    *struct {
		Fingerprint, Attempt string
		Released             []string
		Held                 bool
		Response             *Response
	}
}

// Snapshot encodes the state.
func (c *Claims) Snapshot() (data []byte, err error) { return c.View()() }

// View copies the claims, sharing their immutable responses, and returns a function that encodes the copy. The function
// may run while commands are applied.
func (c *Claims) View() (encode func() ([]byte, error)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	clock, list, releasedAttempts := c.clock, c.table.all(), maps.Clone(c.released)
	return func() ([]byte, error) {
		s := stored{Clock: clock, Records: make([]storedRecord, 0, len(list))}
		for i := range list {
			s.Records = append(s.Records, recordOf(&list[i], releasedAttempts[list[i].key]))
		}
		data, err := json.Marshal(s)
		return data, Error.Wrap(err)
	}
}

func recordOf(c *claim, releasedAttempts []attemptDigest) storedRecord {
	r := storedRecord{
		Key: c.key[:], Fingerprint: c.fingerprint[:], Attempt: c.attempt[:], Deadline: c.deadline, Held: c.phase == held,
	}
	for i := range releasedAttempts {
		r.Released = append(r.Released, releasedAttempts[i][:])
	}
	if c.phase == finished {
		r.Response = unpack(c.response)
	}
	return r
}

// Restore replaces the state with a snapshot.
func (c *Claims) Restore(data []byte) error {
	var s stored
	if err := json.Unmarshal(data, &s); err != nil {
		return Error.Wrap(err)
	}
	for _, old := range s.Claims {
		if old.Claim == nil {
			return Error.New("snapshot holds an empty claim of customer %q", old.Key.Customer)
		}
		s.Records = append(s.Records, old.record())
	}
	restored, releasedAttempts := newTable(), map[digest][]attemptDigest{}
	for i, r := range s.Records {
		decoded, attempts, err := r.claim()
		if err != nil {
			return Error.New("record %d: %v", i, err)
		}
		restored.add(decoded)
		if len(attempts) > 0 {
			releasedAttempts[decoded.key] = attempts
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock, c.table, c.released = s.Clock, restored, releasedAttempts
	return nil
}

func (r storedRecord) claim() (c claim, releasedAttempts []attemptDigest, err error) {
	if len(r.Key) != len(c.key) || len(r.Fingerprint) != len(c.fingerprint) || len(r.Attempt) != len(c.attempt) {
		return c, nil, Error.New("digest of a wrong length")
	}
	c = claim{
		key: digest(r.Key), fingerprint: digest(r.Fingerprint), attempt: attemptDigest(r.Attempt), deadline: r.Deadline,
	}
	switch {
	case r.Response != nil:
		c.phase, c.response = finished, pack(*r.Response)
	case r.Held:
		c.phase = held
	}
	for _, attempt := range r.Released {
		if len(attempt) != len(c.attempt) {
			return c, nil, Error.New("digest of a wrong length")
		}
		releasedAttempts = append(releasedAttempts, attemptDigest(attempt))
	}
	return c, releasedAttempts, nil
}

func (s storedClaim) record() storedRecord {
	key, fingerprint := digestOf(s.Key.Customer, s.Key.Identifier), digestOf(s.Claim.Fingerprint)
	attempt := digestOfAttempt(s.Claim.Attempt)
	r := storedRecord{
		Key: key[:], Fingerprint: fingerprint[:], Attempt: attempt[:], Deadline: deadlineAt(s.Deadline),
		Held: s.Claim.Held, Response: s.Claim.Response,
	}
	for _, releasedAttempt := range s.Claim.Released {
		d := digestOfAttempt(releasedAttempt)
		r.Released = append(r.Released, d[:])
	}
	return r
}
