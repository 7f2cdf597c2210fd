package quarantine_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"lycheevale/internal/place/quarantine"
)

// Guards against a signature that is taken for another kind, and against identifiers of parts that earlier releases would not recognise.
func TestKindsOfSignatures(t *testing.T) {
	c := quicktest.New(t)
	for id, kind := range map[string]quarantine.Kind{
		quarantine.Request([]byte("GET"), []byte("/a")): quarantine.KindRequest,
		quarantine.Target([]byte("GET"), []byte("/a")):  quarantine.KindTarget,
		quarantine.Part("5c1e07a2"):                     quarantine.KindPart,
		quarantine.Part("target:5c1e07a2"):              quarantine.KindPart,
		quarantine.Part("request:5c1e07a2"):             quarantine.KindPart,
		quarantine.Part("part:5c1e07a2"):                quarantine.KindPart,
		quarantine.Adapter("model", "request:a"):        quarantine.KindAdapter,
		quarantine.Customer("acme"):                     quarantine.KindCustomer,
	} {
		c.Check(quarantine.KindOf(id), quicktest.Equals, kind, quicktest.Commentf(id))
	}
	c.Check(quarantine.Part("5c1e07a2"), quicktest.Equals, "5c1e07a2")
	c.Check(quarantine.Part("part:a"), quicktest.Not(quicktest.Equals), quarantine.Part("a"))
	c.Check(quarantine.Request([]byte("ab"), []byte("c")), quicktest.Not(quicktest.Equals), quarantine.Request([]byte("a"), []byte("bc")))
	c.Check(quarantine.Request([]byte("a")), quicktest.HasLen, len("request:")+32)
}
