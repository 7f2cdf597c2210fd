package control

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"lycheevale/internal/base/deployment"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
	"lycheevale/internal/member/view"
	"lycheevale/internal/place/origin"
	"lycheevale/internal/state/document"
)

// softwareModel runs leaders, entries and endpoints of one service step by step, with the code that decides about software versions, and checks after
// each step that no stream holds events of two versions. Elections, transport, the choice of endpoints and callers are replaced: entries in step report
// each 200 ms, endpoints announce themselves each 500 ms, a change of the log takes 100 ms or seconds.
//
// An endpoint that has restarted under its identity holds nothing, and serves once a leader has listed it, which then orders it to load. It serves any
// entry that sends it a request, also one that lists its former incarnation.
type softwareModel struct {
	now       time.Time
	slices    int
	versions  int // newer versions in service, of drawn schedules
	log       [][]byte
	leaders   []*modelLeader // the last one has the majority
	entries   []*modelEntry
	endpoints []*modelEndpoint
	streams   []*modelStream
	lookups   []*modelLookup
	proposals []modelProposal
	logDelay  time.Duration // of a change of the log
	trace     []string
	broken    error

	without map[modelGuard]bool
}

// modelGuard names a rule of an entry or a leader that a test may remove.
type modelGuard string

const (
	lease        modelGuard = "an entry relies on no list that is older than the lease"
	sentTime     modelGuard = "the age of a list counts from the report that it answers"
	sameVersion  modelGuard = "an answer is continued at the version that began it"
	formerLeader modelGuard = "a leader that has been replaced does not act when it wakes"
	oldListing   modelGuard = "an old list does not show the version of an endpoint"
	mixedListing modelGuard = "a list does not show the version of an endpoint if its service has several"
)

type modelLeader struct {
	*leaderState
	actsUntil time.Time // zero while it has the majority
}

type modelEntry struct {
	name      string
	view      *view.View
	book      *origin.Book
	leader    int // index of the leader that answered last
	reach     modelReach
	suspended bool
	tell      bool
	waiting   *modelAnswer
	conns     map[string]modelConn // idle, by endpoint
}

// modelConn is a connection to a run of an endpoint.
type modelConn struct {
	born  int64
	shown int64 // the incarnation to which it is known to lead, 0 for none
}

// modelReach states which leaders an entry reaches.
type modelReach int

const (
	reachAll modelReach = iota
	reachNone
	reachFormer // all but the newest
	reaches
)

type modelAnswer struct {
	report report.Entry
	update report.Update
	sentAt time.Time
}

type modelEndpoint struct {
	roster.Announcement
	serves bool // a leader has listed this incarnation, and had it load
	silent bool // its announcements reach no leader
}

type modelStream struct {
	attempt  string
	versions []string // that its events are of
	at       *modelEntry
	software *string // version at which the entry continues it
}

type modelLookup struct {
	stream *modelStream
	entry  *modelEntry
	leader int
	begun  originLookup
}

type modelProposal struct {
	leader  int
	due     time.Time
	command document.Command
}

const (
	modelService     = "s"
	modelEntries     = 3
	modelSlice       = 100 * time.Millisecond
	modelOverlap     = time.Second // for which a leader without the majority may act beside its successor
	modelCallTimeout = 700 * time.Millisecond
)

// newSoftwareModel returns a deployment with endpoints of one version, which has been in service for a while.
func newSoftwareModel(version string, without ...modelGuard) *softwareModel {
	m := &softwareModel{now: time.Unix(1_800_000_000, 0), logDelay: modelSlice, without: map[modelGuard]bool{}}
	for _, g := range without {
		m.without[g] = true
	}
	m.lead()
	command, err := document.Stored{}.ReplaceCommand(1, []byte(`{}`))
	if err != nil {
		panic(err)
	}
	m.commit(command)
	for n := range modelEntries {
		m.entries = append(m.entries, &modelEntry{name: fmt.Sprint("entry-", n), view: view.New(), book: origin.New(origin.MaxStreams), conns: map[string]modelConn{}})
	}
	m.join(version)
	m.join(version)
	m.wait(4 * time.Second)
	m.trace = nil
	return m
}

func (m *softwareModel) note(format string, args ...any) {
	if m.broken != nil {
		return
	}
	m.trace = append(m.trace, m.now.Sub(time.Unix(1_800_000_000, 0)).String()+" "+fmt.Sprintf(format, args...))
}

func (m *softwareModel) newest() int { return len(m.leaders) - 1 }

func (m *softwareModel) acts(leader int) bool {
	l := m.leaders[leader]
	return l.actsUntil.IsZero() || m.now.Before(l.actsUntil) || m.without[formerLeader]
}

// lead elects a leader, which has applied the whole log.
func (m *softwareModel) lead() {
	c := &Control{options: newOptions([]Option{
		WithSettings(deployment.Settings{Heartbeat: 1200}), WithNow(func() time.Time { return m.now }), WithLogger(slog.New(slog.DiscardHandler)),
	}), machine: document.NewMachine()}
	for _, data := range m.log {
		c.machine.Apply(data)
	}
	m.leaders = append(m.leaders, &modelLeader{leaderState: newLeaderState(c, uint64(len(m.leaders)+1))})
	m.leaders[m.newest()].applyReplicated(noContext)
}

// replaceLeader elects another leader. The former one acts for some time if it is only cut off from the majority. What it has proposed last may be
// committed.
func (m *softwareModel) replaceLeader(cutOff, commits bool) {
	m.note("leader replaced, cut off %v, commits %v", cutOff, commits)
	former := m.leaders[m.newest()]
	former.actsUntil = m.now
	if cutOff {
		former.actsUntil = m.now.Add(modelOverlap)
	}
	if commits {
		for _, p := range m.proposals {
			m.commit(p.command)
		}
	}
	m.proposals = nil
	m.lead()
}

func (m *softwareModel) commit(c document.Command) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	m.log = append(m.log, data)
	m.leaders[m.newest()].control.machine.Apply(data)
}

// wait runs everything that is in step for a time.
func (m *softwareModel) wait(d time.Duration) {
	for ; d > 0; d -= modelSlice {
		m.now = m.now.Add(modelSlice)
		m.slices++
		for n := range m.leaders {
			if m.acts(n) {
				m.tick(n)
			}
		}
		for _, e := range m.endpoints {
			if !e.silent && (m.slices%5 == 0 || !m.leaders[m.newest()].lists(e)) {
				m.announce(e, m.newest())
			}
		}
		for _, e := range m.entries {
			if e.waiting != nil && m.now.Sub(e.waiting.sentAt) >= modelCallTimeout && !e.suspended {
				e.waiting = nil
			}
			if m.slices%2 == 0 || e.tell {
				m.report(e)
				m.deliver(e)
			}
		}
		m.answerLookups()
	}
}

func (m *softwareModel) tick(n int) {
	ls := m.leaders[n].leaderState
	for i := 0; n == m.newest() && i < len(m.proposals); i++ {
		if p := m.proposals[i]; !m.now.Before(p.due) {
			m.commit(p.command)
			m.proposals = slices.Delete(m.proposals, i, i+1)
			i--
		}
	}
	ls.applyReplicated(noContext)
	if n == m.newest() && len(m.proposals) == 0 {
		if added, removed := ls.softwareChanges(m.now); len(added)+len(removed) > 0 {
			m.proposals = append(m.proposals, modelProposal{n, m.now.Add(m.logDelay), document.Command{
				Action: document.Software, Introduce: added, Retire: removed,
			}})
		}
	}
	ls.roster.Expire(m.now)
	ls.removeSilentEntries(m.now)
}

func (l *modelLeader) lists(e *modelEndpoint) bool {
	a, listed := l.roster.Get(e.ID)
	return listed && a.Born == e.Born
}

// join adds an endpoint.
func (m *softwareModel) join(version string) *modelEndpoint {
	n := len(m.endpoints)
	e := &modelEndpoint{Announcement: roster.Announcement{
		ID: fmt.Sprint("endpoint-", n), Service: modelService, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80),
		Slots: 4, Born: 10, Software: version,
	}}
	m.endpoints = append(m.endpoints, e)
	m.note("%s joins with %q", e.ID, version)
	return e
}

// restart restarts an endpoint under its identity with another version.
func (m *softwareModel) restart(e *modelEndpoint, version string) {
	m.note("%s restarts with %q", e.ID, version)
	e.Born, e.Sequence, e.Software, e.Leaving, e.serves = e.Born+10, 0, version, false, false
}

func (m *softwareModel) announce(e *modelEndpoint, leader int) {
	if !m.acts(leader) {
		return
	}
	l := m.leaders[leader]
	e.Sequence++
	if l.admitsSoftware(e.Announcement) {
		_, _ = l.announce(e.Announcement) // one that is refused changes nothing
	}
	e.serves = e.serves || (l.lists(e) && !e.Leaving)
}

// target returns the leader to which an entry reports.
func (m *softwareModel) target(e *modelEntry) (leader int, reached bool) {
	if e.suspended || e.reach == reachNone {
		return 0, false
	}
	if e.leader < m.newest() && m.acts(e.leader) && (e.reach == reachFormer || m.now.Before(m.leaders[e.leader].actsUntil)) {
		return e.leader, true
	}
	return m.newest(), e.reach == reachAll
}

// suspend suspends an entry, perhaps while an answer to it is under way.
func (m *softwareModel) suspend(e *modelEntry, underWay bool) {
	m.note("%s suspended, answer under way %v", e.name, underWay)
	if underWay {
		m.report(e)
	}
	e.suspended = true
}

// wake wakes an entry, which may handle the answer that waits before the time without an answer.
func (m *softwareModel) wake(e *modelEntry, delivered bool) {
	m.note("%s wakes, answer delivered %v", e.name, delivered)
	e.suspended = false
	if delivered {
		m.deliver(e)
	} else {
		e.waiting = nil
	}
}

// report sends a report, whose answer waits at the entry.
func (m *softwareModel) report(e *modelEntry) {
	leader, reached := m.target(e)
	if !reached || e.waiting != nil {
		return
	}
	r := report.Entry{Name: e.name}
	e.view.FillReport(&r)
	r.Streams = e.book.Unconfirmed(r.Term, e.view.MixedServices(), 1000, 50)
	if e.tell {
		r.Known = e.view.KnownEndpoints()
	}
	e.leader = leader
	e.waiting = &modelAnswer{report: r, update: m.leaders[leader].sync(r), sentAt: m.now}
}

// deliver passes the answer that waits to the entry.
func (m *softwareModel) deliver(e *modelEntry) {
	if e.waiting == nil || e.suspended {
		return
	}
	a := e.waiting
	e.waiting = nil
	sentAt := a.sentAt
	if m.without[sentTime] {
		sentAt = m.now
	}
	e.tell = a.update.Tell
	e.book.Confirm(a.update.Term, a.report.Streams)
	if _, err := e.view.Apply(sentAt, a.update, func([]byte) (document.Document, error) { return document.Document{}, nil }); err != nil {
		panic(err)
	}
}

// begin starts a stream at an endpoint that an entry lists.
func (m *softwareModel) begin(e *modelEntry, choice int) {
	s := &modelStream{attempt: fmt.Sprint("stream-", len(m.streams)), at: e}
	if m.send(s, e, nil, choice) {
		m.streams = append(m.streams, s)
	}
}

// continueWithin continues a stream at the entry that serves it.
func (m *softwareModel) continueWithin(s *modelStream, choice int) {
	if s.at == nil || s.at.suspended || (s.software == nil && !m.without[sameVersion]) {
		return
	}
	software := s.software
	if m.without[sameVersion] {
		software = nil
	}
	m.send(s, s.at, software, choice)
}

// takeUp continues a stream at any entry.
func (m *softwareModel) takeUp(s *modelStream, e *modelEntry, choice int) {
	if e.suspended {
		return
	}
	s.at = nil
	k := origin.Knowledge{Service: modelService, Endpoints: !e.view.Empty()}
	k.Versions, k.Current = e.view.Software(modelService, m.now)
	k.Current = k.Current || m.without[lease]
	if r, known := e.book.Find(s.attempt); known {
		k.Recorded = &r
	}
	found, source := k.Decide()
	m.note("%s taken up at %s: %s %v", s.attempt, e.name, source, k.Versions)
	switch {
	case source == origin.Leader:
		if leader, reached := m.target(e); reached {
			m.lookups = append(m.lookups, &modelLookup{s, e, leader, m.leaders[leader].beginLookup(report.OriginRequest{Service: modelService})})
			m.answerLookups()
		}
	case found == nil:
		m.send(s, e, nil, choice)
	default:
		m.send(s, e, &found.Version, choice)
	}
}

// answerLookups answers the lookups that leaders need not hold any longer.
func (m *softwareModel) answerLookups() {
	pending := m.lookups
	m.lookups = nil
	for _, q := range pending {
		switch {
		case !m.acts(q.leader) || q.entry.reach == reachNone || m.now.Sub(q.begun.arrived) > 2*time.Second:
			continue // refused
		case q.entry.suspended:
			m.lookups = append(m.lookups, q)
			continue
		}
		l := m.leaders[q.leader]
		reply := l.origin(report.OriginRequest{Service: modelService, Attempt: q.stream.attempt}, q.begun)
		if !reply.Known && !l.haveReported(q.begun.arrived) {
			m.lookups = append(m.lookups, q)
			continue
		}
		if s := origin.DecideByReply(modelService, reply.Software, reply.Versions); s != nil {
			m.note("%s answered at %s: known %v, %v", q.stream.attempt, q.entry.name, reply.Known, reply.Versions)
			m.send(q.stream, q.entry, &s.Version, 0)
		}
	}
}

// send sends a stream to an endpoint that an entry lists with a version, or with any if it is nil.
func (m *softwareModel) send(s *modelStream, e *modelEntry, software *string, choice int) bool {
	var list []report.Endpoint
	for _, listed := range e.view.Endpoints(modelService) {
		if software == nil || listed.Software == *software {
			list = append(list, listed)
		}
	}
	if e.suspended || len(list) == 0 {
		return false
	}
	listed := list[choice%len(list)]
	i := slices.IndexFunc(m.endpoints, func(e *modelEndpoint) bool { return e.ID == listed.ID })
	endpoint := m.endpoints[i]
	if !endpoint.serves {
		return false
	}
	connection := e.conns[listed.ID]
	if connection.born != endpoint.Born { // it has ended with the endpoint
		connection = modelConn{born: endpoint.Born}
	}
	_, listing := e.view.Listing(m.now, listed)
	sure := listing == view.Sole || connection.shown == listed.Born || listed.Born == endpoint.Born || // the endpoint states its start time
		(listing == view.Mixed && m.without[mixedListing]) || (listing == view.Outdated && (m.without[oldListing] || m.without[lease]))
	if software != nil && !sure {
		return false
	}
	s.at, s.software = e, software
	if sure {
		connection.shown = listed.Born
		s.software = cmp.Or(software, &listed.Software)
		e.book.Record(m.now, origin.Stream{Attempt: s.attempt, Software: origin.Software{Service: modelService, Version: listed.Software}})
	}
	e.conns[listed.ID] = connection
	m.note("%s goes on at %s of %s: listed with %q, is %q, sure %v", s.attempt, listed.ID, e.name, listed.Software, endpoint.Software, sure)
	if !slices.Contains(s.versions, endpoint.Software) {
		s.versions = append(s.versions, endpoint.Software)
	}
	if len(s.versions) > 1 && m.broken == nil {
		m.broken = fmt.Errorf("%s holds events of the software versions %q", s.attempt, s.versions)
	}
	return true
}
