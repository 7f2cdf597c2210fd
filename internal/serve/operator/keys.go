package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/state/registry"
)

const (
	keyIDBytes     = 8
	keySecretBytes = 32
	// applyPoll is the interval at which this instance's configuration is checked for an issued key.
	applyPoll = 20 * time.Millisecond
)

// NewKeyID returns a random key identifier.
func NewKeyID() string {
	return randomHex(keyIDBytes)
}

// NewKey returns a key with a random secret, and the hash to store under its id.
func NewKey(id string) (key, hash string) {
	secret := randomHex(keySecretBytes)
	return "lv_" + id + "_" + secret, hashOf(secret)
}

// keyIDFor derives the id from the RequestID, so that a resend finds the key of the first request.
func keyIDFor(requestID string) string {
	return hashOf("key " + requestID)[:2*keyIDBytes]
}

func randomHex(n int) string {
	raw := make([]byte, n)
	_, _ = rand.Read(raw) // never fails
	return hex.EncodeToString(raw)
}

func (s *Server) issueKey(r *http.Request) (any, error) {
	var q KeyRequest
	if err := decode(r, &q); err != nil {
		return nil, err
	}
	if err := checkRequestID(q.RequestID); err != nil {
		return nil, err
	}
	if (q.ID == "") != (q.Hash == "") {
		return nil, refusal.New(refusal.BadRequest, "ID and Hash must be given together")
	}
	answer := KeyAnswer{RequestID: q.RequestID, ID: q.ID, Customer: q.Customer}
	hash := q.Hash
	if hash == "" {
		answer.ID = keyIDFor(q.RequestID)
		answer.Key, hash = NewKey(answer.ID)
	}
	object := registry.Object{
		Kind: registry.KindKey, Name: answer.ID,
		Key: &registry.Key{Customer: q.Customer, Hash: hash},
	}
	var err error
	answer.Outcome, err = s.perform(r, actionIssue, q.RequestID, namesOf([]registry.Object{object}),
		func(ctx context.Context) (Outcome, error) { return s.proposeKey(ctx, r, q.RequestID, object) })
	return answer, err
}

// proposeKey commits the key and refuses if the stored hash differs from the one given: a resend gets
// the result of the first request, but its generated secret is a new one and must not be returned.
func (s *Server) proposeKey(ctx context.Context, r *http.Request, requestID string, o registry.Object) (Outcome, error) {
	faults := CheckForm([]registry.Object{o})
	if existing, ok := s.options.System.Object(registry.KindKey, o.Name); ok {
		if existing.Key.Hash != o.Key.Hash || existing.Key.Customer != o.Key.Customer {
			return Outcome{}, alreadyIssued(o.Name)
		}
	} else {
		faults = append(faults, CheckReferences(s.view(), []registry.Object{o})...)
	}
	if len(faults) > 0 {
		return Outcome{}, invalid(faults)
	}
	outcome, err := s.options.System.Propose(ctx, s.command(r, requestID, 0, []registry.Object{o}))
	if err != nil || outcome.Error != "" {
		return outcome, err
	}
	stored, err := s.waitForKey(ctx, o.Name, outcome.Revision)
	if err != nil {
		return outcome, err
	}
	if stored.Key.Hash != o.Key.Hash {
		return outcome, alreadyIssued(o.Name)
	}
	return outcome, nil
}

func alreadyIssued(id string) error {
	return refusal.New(refusal.Conflict,
		"key %s exists with another secret, which was shown once; withdraw it and issue a key with a new RequestID", id)
}

// waitForKey waits until this instance has applied the revision that wrote the key.
func (s *Server) waitForKey(ctx context.Context, id string, revision uint64) (registry.Object, error) {
	ticker := time.NewTicker(applyPoll)
	defer ticker.Stop()
	for {
		o, ok := s.options.System.Object(registry.KindKey, id)
		switch {
		case ok:
			return o, nil
		case s.options.System.Revision() >= revision:
			return o, refusal.New(refusal.Conflict, "key %s has been deleted since", id)
		}
		select {
		case <-ctx.Done():
			return o, refusal.New(refusal.OutcomeUnknown,
				"key %s is committed, but this instance has not applied it in time; withdraw it and issue another", id)
		case <-ticker.C:
		}
	}
}

func (s *Server) withdrawKey(r *http.Request) (any, error) {
	var q WithdrawRequest
	if err := decode(r, &q); err != nil {
		return nil, err
	}
	if err := checkRequestID(q.RequestID); err != nil {
		return nil, err
	}
	// Unknown keys are accepted, because this instance may not have applied the key's creation yet.
	id := r.PathValue("id")
	if !validName(id) {
		return nil, refusal.New(refusal.BadRequest, "%q is not the id of a key (the part between lv_ and the secret)", id)
	}
	names := []string{string(registry.KindKey) + "/" + id}
	outcome, err := s.perform(r, actionWithdraw, q.RequestID, names, func(ctx context.Context) (Outcome, error) {
		return s.options.System.Withdraw(ctx, id)
	})
	return ChangeAnswer{RequestID: q.RequestID, Outcome: outcome}, err
}
