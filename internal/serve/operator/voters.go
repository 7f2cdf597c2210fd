package operator

import (
	"context"
	"slices"
	"strings"

	"lycheevale/internal/state/registry"
)

// roleVoter is the role of voters in Member.Roles.
const roleVoter = "Voter"

// checkVoters refuses a change that would remove half of the voters or more at once. The voter objects
// replace the list in the settings: a first change that names a single voter would otherwise remove
// all others from the logs.
func (s *Server) checkVoters(ctx context.Context, objects []registry.Object) ([]Fault, error) {
	first := slices.IndexFunc(objects, func(o registry.Object) bool { return o.Kind == registry.KindVoter })
	if first < 0 {
		return nil, nil
	}
	current, err := s.currentVoters(ctx)
	if err != nil {
		return nil, err
	}
	m := merged{view: s.view(), changes: map[registry.ID]registry.Object{}}
	for _, o := range objects {
		m.changes[registry.ID{Kind: o.Kind, Name: o.Name}] = o
	}
	kept := 0
	for _, name := range current {
		if m.has(registry.KindVoter, name) {
			kept++
		}
	}
	if len(current) == 0 || 2*kept > len(current) {
		return nil, nil
	}
	fs := &faults{index: first, object: objects[first]}
	fs.add("Name", "leaves %d of the %d current voters (%s); keep a majority of them in one change",
		kept, len(current), strings.Join(current, ", "))
	return fs.list, nil
}

// currentVoters returns the voter objects, or before there are any, the instances that act as voters.
func (s *Server) currentVoters(ctx context.Context) (names []string, err error) {
	for _, o := range s.options.System.Objects(registry.KindVoter) {
		names = append(names, o.Name)
	}
	if len(names) > 0 {
		return names, nil
	}
	status, err := s.options.System.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, member := range status.Members {
		if slices.Contains(member.Roles, roleVoter) {
			names = append(names, member.Name)
		}
	}
	return names, nil
}
