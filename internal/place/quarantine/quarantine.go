// Package quarantine finds what requests have in common that crash every endpoint which begins to answer them. Entries record which requests
// had not begun when an endpoint crashed, and which signatures begin elsewhere; the leader decides from the reports of all entries. The
// package does no I/O.
package quarantine

import "time"

// Signature identifies what requests to a service have in common, for instance a part of their prompts. It may crash the endpoints of one
// service, and none of another.
type Signature struct {
	_ struct{} `cbor:",toarray"`

	Service string `json:"Service"`
	ID      string `json:"ID"` // of the kind that KindOf returns
}

// Incarnation identifies one run of an endpoint, which crashes at most once.
type Incarnation struct {
	_ struct{} `cbor:",toarray"`

	Endpoint string `json:"Endpoint"`
	Born     int64  `json:"Born"` // start time in Unix milliseconds
}

// Crash is an entry's report of a crashed endpoint.
type Crash struct {
	_ struct{} `cbor:",toarray"`

	Incarnation Incarnation `json:"Incarnation"`
	Service     string      `json:"Service"`
	AgoMillis   int64       `json:"AgoMillis"` // time since the crash
	Exposed     []Exposure  `json:"Exposed"`
}

// Exposure is a signature of a request that an endpoint had accepted and not begun to answer when it crashed.
type Exposure struct {
	_ struct{} `cbor:",toarray"`

	ID           string `json:"ID"`
	WaitedMillis int64  `json:"WaitedMillis"` // time from the sending of the latest such request to the crash
	Acknowledged bool   `json:"Acknowledged"` // the endpoint had sent the head of an answer to such a request
}

// Begin states when a request with a signature last began at an entry: a complete event or answer has arrived.
type Begin struct {
	_ struct{} `cbor:",toarray"`

	Signature Signature `json:"Part"`
	AgoMillis int64     `json:"AgoMillis"`
}

// Refusals counts requests with a quarantined signature that an entry has refused.
type Refusals struct {
	_ struct{} `cbor:",toarray"`

	Total int `json:"Total"`
	Alone int `json:"Alone"` // requests without another quarantined signature
}

// ago returns a time that is stated as an age in milliseconds.
func ago(now time.Time, millis int64) time.Time {
	return now.Add(-time.Duration(max(millis, 0)) * time.Millisecond)
}

func millisSince(now, at time.Time) int64 { return max(now.Sub(at), 0).Milliseconds() }
