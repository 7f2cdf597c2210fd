package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"time"

	"lycheevale/internal/base/chain"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/serve/operator"
	"lycheevale/internal/state/registry"
)

// Apply starts again up to maxRebase times because of changes to other objects.
const (
	maxRebase  = 5
	rebaseWait = 100 * time.Millisecond
)

// current holds the objects of the system at one revision or later.
type current struct {
	revision uint64
	objects  map[registry.ID]registry.Object
}

// maxNames is the number of objects up to which only they are read instead of the whole collection,
// which has 140,000 adapters at the size to design for. The names stay below the limit for headers.
const maxNames = 100

// read returns the current state of the wanted objects.
func (c *Client) read(s *session, wanted []registry.Object) (current, error) {
	now := current{objects: map[registry.ID]registry.Object{}}
	first := true
	for _, collection := range operator.Collections {
		names := url.Values{}
		for _, o := range wanted {
			if o.Kind == collection.Kind {
				names.Add("Name", o.Name)
			}
		}
		if len(names) == 0 {
			continue
		}
		path := "/v1/objects/" + collection.Name
		if len(names["Name"]) <= maxNames {
			path += "?" + names.Encode()
		}
		var answer operator.Objects
		if err := c.get(s.ctx, path, &answer); err != nil {
			return now, err
		}
		// The lowest revision is the one at which no list can have missed a later change.
		if first || answer.Revision < now.revision {
			now.revision = answer.Revision
		}
		first = false
		for _, o := range answer.Objects {
			now.objects[registry.ID{Kind: o.Kind, Name: o.Name}] = o
		}
	}
	return now, nil
}

// difference is what a change does to one object.
type difference struct {
	action operator.Action
	before registry.Object
	after  registry.Object
}

func compare(now current, wanted []registry.Object) (diff []difference) {
	for _, o := range wanted {
		before, existed := now.objects[registry.ID{Kind: o.Kind, Name: o.Name}]
		o.Revision = 0
		diff = append(diff, difference{action: operator.EffectOf(before, existed, o), before: before, after: o})
	}
	return diff
}

// changed returns the objects that have to be written.
func changed(diff []difference) (objects []registry.Object) {
	for _, d := range diff {
		if d.action != operator.ActionNone {
			objects = append(objects, d.after)
		}
	}
	return objects
}

// submit makes the objects as wanted, and shows the difference first.
func (s *session) submit(wanted []registry.Object) error {
	client, err := s.api()
	if err != nil {
		return err
	}
	now, err := client.read(s, wanted)
	if err != nil {
		return err
	}
	diff := compare(now, wanted)
	if s.globals.Output == "table" {
		writeDifference(s.streams.Out, diff)
	}
	for rebase := 0; ; rebase++ {
		answer, err := s.send(client, now, diff)
		var call *CallError
		moved := chain.As(err, &call) && call.Detail.Code == refusal.Conflict
		if !moved || s.globals.Expected != 0 || s.globals.RequestID != "" || rebase == maxRebase {
			if err != nil {
				return err
			}
			return s.showAnswer(answer)
		}
		// The instance that was read from may still have to apply the change in between.
		if err := pause(s.ctx, time.Duration(rebase+1)*rebaseWait); err != nil {
			return err
		}
		// The conflict proves that nothing was changed. Changes to other objects, such as shares,
		// which the system moves itself, are no reason to refuse this one.
		if now, err = client.read(s, wanted); err != nil {
			return err
		}
		again := compare(now, wanted)
		if !reflect.DeepEqual(diff, again) {
			return call
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *session) send(client *Client, now current, diff []difference) (answer operator.ChangeAnswer, err error) {
	objects := changed(diff)
	if len(objects) == 0 {
		return operator.ChangeAnswer{Outcome: operator.Outcome{Result: registry.Result{Revision: now.revision}}}, nil
	}
	id, resent := s.requestID()
	change := operator.Change{
		RequestID: id, ExpectedRevision: now.revision, DryRun: s.globals.DryRun, Changes: objects,
	}
	if s.globals.Expected != 0 {
		change.ExpectedRevision = s.globals.Expected
	}
	return client.change(s.ctx, change, resent)
}

func (s *session) showAnswer(answer operator.ChangeAnswer) error {
	s.warnUnreached(answer.Outcome)
	return s.show(answer, func(w io.Writer) error {
		switch {
		case answer.RequestID == "":
			fmt.Fprintf(w, "Nothing to change at revision %d.\n", answer.Revision)
		case answer.DryRun:
			fmt.Fprintf(w, "Dry run at revision %d: the change is valid; nothing was changed.\n", answer.Revision)
		default:
			writeOutcome(w, answer.Outcome)
		}
		return nil
	})
}

func instances(n int) string {
	if n == 1 {
		return "1 instance"
	}
	return fmt.Sprintf("%d instances", n)
}

func writeOutcome(w io.Writer, o operator.Outcome) {
	fmt.Fprintf(w, "Committed as revision %d, in effect on %s.\n", o.Revision, instances(len(o.InForce)))
}

func (s *session) warnUnreached(o operator.Outcome) {
	if len(o.Unreached) > 0 {
		s.notice("Not confirmed yet by %s, to apply it when reached: %s",
			instances(len(o.Unreached)), strings.Join(o.Unreached, ", "))
	}
}

var signs = map[operator.Action]string{
	operator.ActionCreate: "+", operator.ActionUpdate: "~", operator.ActionDelete: "-",
}

func writeDifference(w io.Writer, diff []difference) {
	count := map[operator.Action]int{}
	for _, d := range diff {
		count[d.action]++
		if d.action == operator.ActionNone {
			continue
		}
		fmt.Fprintf(w, "%s %s %s\n", signs[d.action], d.after.Kind, d.after.Name)
		if d.action == operator.ActionUpdate {
			writeFields(w, flatten(d.before), flatten(d.after))
		}
	}
	fmt.Fprintf(w, "%d to create, %d to update, %d to delete, %d unchanged\n", count[operator.ActionCreate],
		count[operator.ActionUpdate], count[operator.ActionDelete], count[operator.ActionNone])
}

func writeFields(w io.Writer, before, after map[string]string) {
	all := maps.Clone(before)
	maps.Copy(all, after)
	for _, path := range slices.Sorted(maps.Keys(all)) {
		was, is := before[path], after[path]
		if was != is && path != "Revision" {
			fmt.Fprintf(w, "    %s: %s -> %s\n", path, orNone(was), orNone(is))
		}
	}
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

// flatten returns the fields of an object by their paths.
func flatten(o registry.Object) map[string]string {
	fields := map[string]string{}
	data, err := json.Marshal(o)
	if err != nil {
		return fields
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return fields
	}
	flattenInto(fields, "", tree)
	return fields
}

func flattenInto(fields map[string]string, path string, node any) {
	switch value := node.(type) {
	case map[string]any:
		for key, child := range value {
			flattenInto(fields, strings.TrimPrefix(path+"."+key, "."), child)
		}
	case []any:
		for i, child := range value {
			flattenInto(fields, fmt.Sprintf("%s[%d]", path, i), child)
		}
	default:
		fields[path] = fmt.Sprint(value)
	}
}
