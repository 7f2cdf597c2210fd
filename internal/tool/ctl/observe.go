package ctl

import (
	"fmt"
	"io"
	"strings"
	"time"

	"lycheevale/internal/serve/operator"
)

func stamp(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.UTC().Format(time.RFC3339)
}

type statusCommand struct {
	*session
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	client, err := c.api()
	if err != nil {
		return err
	}
	var status operator.Status
	if err := client.get(c.ctx, "/v1/status", &status); err != nil {
		return err
	}
	return c.show(status, func(w io.Writer) error { return writeStatus(w, status) })
}

func writeStatus(w io.Writer, s operator.Status) error {
	state := "not ready"
	switch {
	case s.Draining:
		state = "draining"
	case s.Ready:
		state = "ready"
	}
	facts := &table{header: []string{"Instance:", s.Instance}}
	facts.add("State:", state)
	facts.add("Data centre:", s.DataCentre)
	facts.add("Region:", s.Region)
	facts.add("Version:", s.Version)
	facts.add("Started:", stamp(s.Started))
	facts.add("Revision:", s.Revision)
	facts.add("Leader:", s.Leader)
	facts.add("Coordinator:", s.Coordinator)
	facts.add("Voter heard:", stamp(s.VoterHeard))
	facts.add("Endpoints owned:", s.Owned)
	if err := facts.write(w); err != nil || len(s.Members) == 0 {
		return err
	}
	fmt.Fprintln(w)
	members := &table{header: []string{"MEMBER", "DATA CENTRE", "ADDRESS", "ROLES", "REACHABLE", "REVISION"}}
	for _, m := range s.Members {
		members.add(m.Name, m.DataCentre, m.Address, strings.Join(m.Roles, ","), yesNo(m.Reachable), m.Revision)
	}
	return members.write(w)
}

type endpointsCommand struct {
	*session
}

// Execute implements flags.Commander.
func (c *endpointsCommand) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	client, err := c.api()
	if err != nil {
		return err
	}
	var answer operator.Endpoints
	if err := client.get(c.ctx, "/v1/endpoints", &answer); err != nil {
		return err
	}
	return c.show(answer, func(w io.Writer) error {
		t := &table{header: []string{"NAME", "SERVICE", "MODEL", "DATA CENTRE", "ADDRESS", "STATE", "OWNER", "RESIDENT", "RUNNING", "QUEUED", "REPORTED"}}
		for _, e := range answer.Endpoints {
			t.add(e.Name, e.Service, e.Model, e.DataCentre, e.Address, e.State, e.Owner,
				fmt.Sprintf("%d/%d", e.Resident, e.Slots), e.Running, e.Queued, stamp(e.Reported))
		}
		return t.write(w)
	})
}

type auditCommand struct {
	*session
	Limit int `short:"n" long:"limit" default:"50" description:"number of latest records"`
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	client, err := c.api()
	if err != nil {
		return err
	}
	var answer operator.AuditAnswer
	if err := client.get(c.ctx, fmt.Sprintf("/v1/audit?Limit=%d", c.Limit), &answer); err != nil {
		return err
	}
	return c.show(answer, func(w io.Writer) error {
		t := &table{header: []string{"AT", "STAGE", "OPERATOR", "FROM", "ACTION", "OBJECTS", "REVISION", "ERROR"}}
		for _, r := range answer.Records {
			t.add(stamp(r.At), r.Stage, r.Operator, r.Remote, r.Action, shorten(r.Objects), r.Revision, r.Error)
		}
		return t.write(w)
	})
}

// shorten keeps a line readable for changes of thousands of objects.
func shorten(names []string) string {
	const shown = 3
	if len(names) <= shown {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:shown], ", "), len(names)-shown)
}
