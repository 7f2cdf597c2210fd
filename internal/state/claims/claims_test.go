package claims_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/state/claims"
)

var (
	noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	key  = claims.Key{Customer: "banksia", Identifier: "order-1"}
)

func apply(c *claims.Claims, op claims.Op, attempt string, at time.Time) claims.Outcome {
	command := claims.Command{Op: op, Key: key, Attempt: attempt, Fingerprint: "f", At: at}
	if op == claims.OpFinish {
		command.Response = &claims.Response{Status: 200, Body: []byte("long body")}
	}
	return c.Apply(command).Outcome
}

// Guards against a second grant in each state of a claim, also after a restore.
func TestClaimLifecycle(t *testing.T) {
	c := claims.New(claims.WithMaxResponse(4), claims.WithMaxClaims(1), claims.WithRetention(time.Hour))
	steps := []struct {
		op      claims.Op
		attempt string
		want    claims.Outcome
	}{
		{claims.OpClaim, "1", claims.Granted},
		{claims.OpClaim, "1", claims.Granted}, // resend after a lost reply
		{claims.OpClaim, "2", claims.InProgress},
		{claims.OpRelease, "2", claims.Unclaimed},
		{claims.OpRelease, "1", claims.Released},
		{claims.OpRelease, "1", claims.Released},
		{claims.OpFinish, "1", claims.Released},
		{claims.OpClaim, "1", claims.Released}, // delayed duplicate of the first command
		{claims.OpClaim, "2", claims.Granted},
		{claims.OpFinish, "1", claims.Unclaimed},
		{claims.OpFinish, "2", claims.Finished},
		{claims.OpRelease, "2", claims.Finished},
		{claims.OpClaim, "3", claims.Finished},
	}
	for i, s := range steps {
		qt.Assert(t, apply(c, s.op, s.attempt, noon), qt.Equals, s.want, qt.Commentf("step %d", i))
		data, err := c.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		restored := claims.New(claims.WithMaxResponse(4), claims.WithMaxClaims(1), claims.WithRetention(time.Hour))
		qt.Assert(t, restored.Restore(data), qt.IsNil)
		c = restored
	}
	qt.Assert(t, c.Lookup(key).Response.Omitted, qt.IsTrue)
	other := claims.Command{Op: claims.OpClaim, Key: key, Attempt: "4", Fingerprint: "another"}
	qt.Assert(t, c.Apply(other).Outcome, qt.Equals, claims.Mismatch)
	other.Key.Customer = "koro"
	qt.Assert(t, c.Apply(other).Outcome, qt.Equals, claims.Full)
	qt.Assert(t, apply(c, claims.OpClaim, "5", noon.Add(1000*time.Hour)), qt.Equals, claims.Finished)
	for i := range 8 {
		apply(c, claims.OpRelease, "5", noon.Add(time.Duration(i)*retentionStep))
	}
	qt.Assert(t, c.Len(), qt.Equals, 0)
}

// Guards against a claim that is lost, expires early or is found under another key while old claims expire, also after a
// restore. The first command has no time.
func TestExpiryInOrder(t *testing.T) {
	const count, remembered = 5_000, 3_000
	c := claims.New(claims.WithRetention(remembered * time.Second))
	command := func(i int) claims.Command {
		k := claims.Key{Customer: fmt.Sprint("c", i%7), Identifier: fmt.Sprint(i / 7)}
		return claims.Command{Op: claims.OpClaim, Key: k, Attempt: fmt.Sprint(i), Fingerprint: "f"}
	}
	qt.Assert(t, c.Apply(command(-1)).Outcome, qt.Equals, claims.Granted)
	for i := range count {
		next := command(i)
		next.At = noon.Add(time.Duration(i) * time.Second)
		qt.Assert(t, c.Apply(next).Outcome, qt.Equals, claims.Granted)
		qt.Assert(t, c.Len(), qt.Equals, min(i+1, remembered))
	}
	data, err := c.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	c = claims.New(claims.WithRetention(remembered * time.Second))
	qt.Assert(t, c.Restore(data), qt.IsNil)
	for i := range count {
		want := claims.InProgress
		if i < count-remembered {
			want = claims.Unclaimed
		}
		qt.Assert(t, c.Lookup(command(i).Key).Outcome, qt.Equals, want, qt.Commentf("claim %d", i))
	}
}

// Guards against claims that are lost when a voter starts from a snapshot in the previous format.
func TestRestoreOfPreviousFormat(t *testing.T) {
	const earlier = `{"Clock":{"Now":"2026-01-01T12:00:00Z"},"Claims":[{"Key":{"Customer":"banksia",
		"Identifier":"order-1"},"Deadline":"2026-01-02T12:00:00Z","Claim":{"Fingerprint":"f","Attempt":"2",
		"Released":["1"],"Held":true}},{"Key":{"Customer":"koro","Identifier":"order-1"},
		"Deadline":"2026-01-02T12:00:00Z","Claim":{"Fingerprint":"f","Attempt":"3","Response":{"Status":201}}}]}`
	c := claims.New()
	qt.Assert(t, c.Restore([]byte(earlier)), qt.IsNil)
	qt.Assert(t, apply(c, claims.OpClaim, "1", noon), qt.Equals, claims.Released)
	qt.Assert(t, apply(c, claims.OpClaim, "2", noon), qt.Equals, claims.Granted)
	qt.Assert(t, apply(c, claims.OpClaim, "4", noon), qt.Equals, claims.InProgress)
	qt.Assert(t, c.Lookup(claims.Key{Customer: "koro", Identifier: "order-1"}).Response.Status, qt.Equals, 201)
}

const retentionStep = 10 * time.Minute

func ExampleClaims_Apply() {
	c := claims.New()
	claim := claims.Command{Op: claims.OpClaim, Key: key, Attempt: "first", Fingerprint: "f"}
	fmt.Println(c.Apply(claim).Outcome)
	claim.Attempt = "second"
	fmt.Println(c.Apply(claim).Outcome)
	// Output:
	// Granted
	// InProgress
}
