package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// Kind is what a signature identifies. A request that has a signature of one kind usually shares its signatures of the later kinds with more
// requests.
type Kind int

// Kinds of signatures, the narrowest first.
const (
	KindRequest Kind = iota // one exact request
	KindTarget              // requests that differ in their query only
	KindPart                // a part of prompts
	KindAdapter
	KindCustomer
)

// kinds is the number of kinds.
const kinds = 5

// prefixes begin the identifiers of each kind. Identifiers of parts have one only if they would be taken for another kind, because stored
// lists and reports of earlier releases contain them as they are.
var prefixes = [kinds]string{"request:", "target:", "part:", "adapter:", "customer:"}

// String returns what callers are told of the kind.
func (k Kind) String() string {
	return [kinds]string{"request", "request with any query", "prompt part", "adapter", "customer"}[k]
}

// KindOf returns the kind of the signature with an identifier.
func KindOf(id string) Kind {
	for k, prefix := range prefixes {
		if strings.HasPrefix(id, prefix) {
			return Kind(k)
		}
	}
	return KindPart
}

// NewSignature returns the signature of requests to a service with an identifier. An exact request has the same one at all services that its
// route may choose, with and without its query.
func NewSignature(service, id string) Signature {
	if KindOf(id) <= KindTarget {
		service = ""
	}
	return Signature{Service: service, ID: id}
}

// AppliesTo reports whether requests to a service are refused while the signature is quarantined. Customers are refused only at the service
// whose endpoints they crash, because most of what they send to others is sound.
func (s Signature) AppliesTo(service string) bool {
	return KindOf(s.ID) != KindCustomer || s.Service == service
}

// Request returns the identifier of an exact request, given everything by which it differs from others. It is a digest of 128 bits.
func Request(fields ...[]byte) string { return prefixes[KindRequest] + digest(fields) }

// Target returns the identifier of requests that differ in their query only, given everything else.
func Target(fields ...[]byte) string { return prefixes[KindTarget] + digest(fields) }

func digest(fields [][]byte) string {
	h := sha256.New()
	var length [8]byte
	for _, f := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(f)))
		h.Write(length[:])
		h.Write(f)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestSize])
}

// digestSize is the size in bytes of the digest of a request.
const digestSize = 16

// Part returns the identifier of a part of prompts.
func Part(name string) string {
	for _, prefix := range prefixes {
		if strings.HasPrefix(name, prefix) {
			return prefixes[KindPart] + name
		}
	}
	return name
}

// Adapter returns the identifier of an adapter of a model.
func Adapter(model, name string) string { return prefixes[KindAdapter] + model + "/" + name }

// Customer returns the identifier of a customer.
func Customer(name string) string { return prefixes[KindCustomer] + name }
