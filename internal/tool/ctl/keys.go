package ctl

import (
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"

	"github.com/goccy/go-yaml"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/serve/operator"
)

type issueKey struct {
	*session
	Positional struct {
		Customer string `positional-arg-name:"CUSTOMER" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. The secret is generated here: it does not cross the network,
// and a resend carries the same hash.
func (c *issueKey) Execute([]string) error {
	if c.globals.DryRun || c.globals.RequestID != "" {
		return usage("keys issue has neither --dry-run nor --request-id; withdraw a key whose outcome is unknown and issue another")
	}
	client, err := c.api()
	if err != nil {
		return err
	}
	id := operator.NewKeyID()
	key, hash := operator.NewKey(id)
	request := operator.KeyRequest{RequestID: newRequestID(), Customer: c.Positional.Customer, ID: id, Hash: hash}
	var answer operator.KeyAnswer
	if err := client.post(c.ctx, "/v1/keys", request.RequestID, false, request, &answer); err != nil {
		if call, ok := asCall(err); ok && call.Detail.Ran != refusal.NotRun {
			c.notice("The key was not shown, but it may exist: lycheectl keys withdraw %s", id)
			call.RequestID = ""
		}
		return err
	}
	answer.Key = key
	c.warnUnreached(answer.Outcome)
	return c.show(answer, func(w io.Writer) error {
		fmt.Fprintf(w, "Key of %s, shown only now:\n%s\n", answer.Customer, answer.Key)
		writeOutcome(w, answer.Outcome)
		return nil
	})
}

type withdrawKey struct {
	*session
	Positional struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *withdrawKey) Execute([]string) error {
	if c.globals.DryRun {
		return usage("keys withdraw has no --dry-run")
	}
	client, err := c.api()
	if err != nil {
		return err
	}
	keyID := idOf(c.Positional.ID)
	requestID, resent := c.requestID()
	var answer operator.ChangeAnswer
	path := "/v1/keys/" + url.PathEscape(keyID) + "/withdraw"
	request := operator.WithdrawRequest{RequestID: requestID}
	if err := client.post(c.ctx, path, requestID, resent, request, &answer); err != nil {
		return err
	}
	c.warnUnreached(answer.Outcome)
	return c.show(answer, func(w io.Writer) error {
		fmt.Fprintf(w, "Key %s is withdrawn, in effect on %s.\n", keyID, instances(len(answer.InForce)))
		return nil
	})
}

// idOf accepts a whole key too: in an emergency, that is what an operator has at hand.
func idOf(text string) string {
	rest, isKey := strings.CutPrefix(text, "lv_")
	if !isKey {
		return text
	}
	id, _, _ := strings.Cut(rest, "_")
	return id
}

type tokenCommand struct {
	*session
	Role       string `long:"role" choice:"Operator" choice:"Viewer" default:"Operator" description:"Viewer may read only"`
	Write      string `long:"write" required:"yes" description:"new file for the token"`
	Positional named  `positional-args:"yes"`
}

// Execute implements flags.Commander. The token goes to a file, so that it does not stay in the
// history of a terminal.
func (c *tokenCommand) Execute([]string) (err error) {
	const ownerOnly = 0o600
	token, credential := operator.NewToken(c.Positional.Name, operator.Role(c.Role))
	f, err := os.OpenFile(c.Write, os.O_CREATE|os.O_EXCL|os.O_WRONLY, ownerOnly)
	if err != nil {
		return usage("%v", err)
	}
	if _, err := fmt.Fprintln(f, token); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	data, err := yaml.Marshal(map[string][]operator.Credential{"Operators": {credential}})
	if err != nil {
		return err
	}
	_, err = c.streams.Out.Write(data)
	return err
}
