package claims

import "time"

// Key identifies a claim. It includes the customer, so that customers cannot see or block each other's identifiers.
type Key struct {
	Customer   string `json:"Customer"`
	Identifier string `json:"Identifier"` // value of Idempotency-Key
}

// Op is the type of an operation on a claim.
type Op string

// Operations.
const (
	OpClaim   Op = "Claim"   // before the request is sent
	OpFinish  Op = "Finish"  // stores the response
	OpRelease Op = "Release" // the request was certainly not sent
)

// Command is one operation on a claim.
type Command struct {
	Op          Op        `json:"Op"`
	Key         Key       `json:"Key"`
	Attempt     string    `json:"Attempt"`               // unique for each request that an entry received
	Fingerprint string    `json:"Fingerprint,omitempty"` // digest of method, path and body
	Response    *Response `json:"Response,omitempty"`
	At          time.Time `json:"At"`
}

// Response is the stored answer for later requests with the same identifier.
type Response struct {
	Status      int    `json:"Status"`
	ContentType string `json:"ContentType,omitempty"`
	Body        []byte `json:"Body,omitempty"`
	Omitted     bool   `json:"Omitted,omitempty"` // the body was too long to store
}

// Outcome is the result code of an operation.
type Outcome string

// Outcomes.
const (
	Granted    Outcome = "Granted"    // this attempt may send the request, once
	InProgress Outcome = "InProgress" // another attempt holds the claim; its outcome is unknown
	Finished   Outcome = "Finished"   // the stored response answers the request
	Mismatch   Outcome = "Mismatch"   // the identifier was used for another request
	Released   Outcome = "Released"   // the attempt released its claim and cannot acquire it again
	Unclaimed  Outcome = "Unclaimed"  // the attempt holds no claim
	Full       Outcome = "Full"       // the table is full; nothing was claimed
	Invalid    Outcome = "Invalid"    // the command is not valid; nothing was claimed
)

// Result is the result of a command. A resend of the same command gets an equal result until the claim expires.
type Result struct {
	Outcome  Outcome   `json:"Outcome"`
	Response *Response `json:"Response,omitempty"` // only with Finished
}
