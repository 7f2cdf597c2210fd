package admit

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"lycheevale/internal/limit/bucket"
	"lycheevale/internal/limit/share"
	"lycheevale/internal/state/registry"
)

// Coordinator lends the tokens of one data centre's shares to its instances. It is safe for concurrent use.
// All buckets start empty and refill only after every ordinary batch of the previous coordinator has expired.
type Coordinator struct {
	options            CoordinatorOptions
	epoch              uint64
	refillsFrom        time.Time
	predecessorExpired time.Time // when all batches of the previous coordinator have expired, including those of roomLife
	leaderAnswered     time.Time // when the leader last answered; initially the start time
	mu                 sync.Mutex
	accounts           map[string]*account
	sessions           map[string]*session
	nextID             uint64
	lastMark           uint64
	reports            uint64
}

// session is the state of the messages of one instance.
type session struct {
	incarnation uint64
	seen        time.Time
	borrowed    uint64 // sequence of the last applied BorrowRequest
	borrowReply BorrowReply
	returned    uint64
	returnReply ReturnReply
}

// NewCoordinator returns the coordinator of a term; epoch is its fencing number and must differ from that of
// every earlier coordinator of the data centre.
func NewCoordinator(now time.Time, epoch uint64, opts ...CoordinatorOption) *Coordinator {
	o := defaultCoordinatorOptions()
	for _, opt := range opts {
		opt(&o)
	}
	return &Coordinator{
		options: o, epoch: epoch, leaderAnswered: now, refillsFrom: now.Add(o.Life + o.Margin),
		predecessorExpired: now.Add(max(o.Life, o.RoomLife) + o.Margin),
		accounts:           map[string]*account{}, sessions: map[string]*session{},
	}
}

// Epoch returns the coordinator's term.
func (c *Coordinator) Epoch() uint64 { return c.epoch }

// SetCustomer sets the customer's limit over all data centres.
func (c *Coordinator) SetCustomer(now time.Time, name string, limit registry.Customer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account(now, name).limit = limit
}

// SetShare applies a share of this data centre. An epoch below the applied one, or below the one that the
// keepers have recorded, is ignored.
func (c *Coordinator) SetShare(now time.Time, s registry.Share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if recorded, ok := c.options.Recorded[s.Customer]; ok && recorded.Epoch > s.Epoch {
		s = recorded
	}
	a := c.account(now, s.Customer)
	if s.Epoch < a.share.Epoch {
		return
	}
	c.expire(now, a)
	if c.options.fullStart && a.share.Epoch == 0 {
		a.bucket = bucket.New(c.refillStart(now), s.Rate, s.Burst)
	}
	a.setShare(c.refillStart(now), s)
	if now.Before(c.predecessorExpired) && !c.options.ignoreRoomBatches {
		a.assume(c.refillStart(now), c.options.RoomShare)
	}
}

// Sync applies the customers and shares of a configuration, given as the objects of these kinds that exist in it.
// Shares of other data centres are ignored. A missing share was deleted, and nothing more is lent from it.
func (c *Coordinator) Sync(now time.Time, customers, shares []registry.Object) {
	present := map[string]bool{}
	for _, o := range shares {
		if o.Share != nil && !o.Deleted && o.Share.DataCentre == c.options.DataCentre {
			present[o.Share.Customer] = true
			c.SetShare(now, *o.Share)
		}
	}
	for _, o := range customers {
		if o.Customer != nil && !o.Deleted {
			c.SetCustomer(now, o.Name, *o.Customer)
		}
	}
	for _, customer := range c.staleShares(present) {
		c.RemoveShare(now, customer)
	}
}

// staleShares returns the customers with a share in effect that are not present.
func (c *Coordinator) staleShares(present map[string]bool) (list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, a := range c.accounts {
		if a.share.Epoch != 0 && !present[name] {
			list = append(list, name)
		}
	}
	return list
}

// RemoveShare stops lending tokens of a customer whose share was deleted.
func (c *Coordinator) RemoveShare(now time.Time, customer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.account(now, customer)
	a.share = registry.Share{}
	a.bucket.SetLimits(c.refillStart(now), 0, 0)
}

// refillStart returns the time from which a new rate refills: now, or the end of the previous coordinator's batches.
func (c *Coordinator) refillStart(now time.Time) time.Time {
	if now.Before(c.refillsFrom) && !c.options.earlyRefill {
		return c.refillsFrom
	}
	return now
}

// account returns the state of a customer, which it creates if needed. It is kept for the whole term, even without a
// share, so that the marks of its bucket stay unique.
func (c *Coordinator) account(now time.Time, customer string) *account {
	a, ok := c.accounts[customer]
	if !ok {
		a = &account{bucket: c.newBucket(now), lastMark: &c.lastMark, batches: map[batchKey]*lentBatch{}}
		c.accounts[customer] = a
	}
	return a
}

func (c *Coordinator) newBucket(now time.Time) *bucket.Bucket {
	opts := []bucket.Option{bucket.WithLevel(0), bucket.WithGrants(c.options.Grants)}
	if c.options.naiveCredit {
		opts = append(opts, bucket.WithNaiveCredit())
	}
	return bucket.New(c.refillStart(now), 0, 0, opts...)
}

// Borrow answers a BorrowRequest of the instance named from, and first the ReturnRequest that it may contain.
func (c *Coordinator) Borrow(now time.Time, from string, req BorrowRequest) BorrowReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	var returned *ReturnReply
	if req.Return != nil {
		r := c.applyReturn(now, from, *req.Return)
		returned = &r
	}
	reply := c.borrowAll(now, from, req)
	reply.Return = returned
	return reply
}

func (c *Coordinator) borrowAll(now time.Time, from string, req BorrowRequest) BorrowReply {
	s, ok := c.session(now, from, req.Header)
	if !ok {
		return BorrowReply{Answer: c.refuseSession(from)}
	}
	if req.Sequence <= s.borrowed && !c.options.applyResent {
		return s.borrowReply
	}
	reply := BorrowReply{Answer: Answer{Epoch: c.epoch}}
	for _, item := range req.Items {
		if answer := c.borrow(now, from, item); !answer.empty() {
			reply.Items = append(reply.Items, answer)
		}
	}
	s.borrowed, s.borrowReply = req.Sequence, reply
	return reply
}

func (a BorrowAnswer) empty() bool {
	return a.Batch == nil && len(a.Refused) == 0 && a.Next == 0
}

// session returns the sender's session and reports whether the message may be applied.
func (c *Coordinator) session(now time.Time, from string, h Header) (*session, bool) {
	if h.Epoch != c.epoch {
		return nil, false
	}
	s, ok := c.sessions[from]
	if !ok || h.Incarnation > s.incarnation {
		if h.Sequence != 1 {
			return nil, false
		}
		s = &session{incarnation: h.Incarnation}
		c.sessions[from] = s
	}
	if h.Incarnation < s.incarnation {
		return nil, false
	}
	s.seen = now
	return s, true
}

// refuseSession asks an instance to start a new session. The answer contains the highest incarnation seen: a restarted
// instance whose clock was set back has a lower one and would be refused until its clock caught up.
func (c *Coordinator) refuseSession(from string) Answer {
	answer := Answer{Epoch: c.epoch, Reset: true}
	if s, ok := c.sessions[from]; ok {
		answer.Known = s.incarnation
	}
	return answer
}

// silent returns a function that reports whether an instance has stopped sending; claims of such an instance do not
// delay others.
func (c *Coordinator) silent(now time.Time) func(string) bool {
	return func(holder string) bool {
		s, ok := c.sessions[holder]
		return !ok || now.Sub(s.seen) > c.options.Silence
	}
}

func (c *Coordinator) borrow(now time.Time, from string, item BorrowItem) BorrowAnswer {
	answer := BorrowAnswer{Customer: item.Customer}
	a := c.account(now, item.Customer)
	c.expire(now, a)
	a.cancel(from, item.Cancelled)
	silent, sinceLeader := c.silent(now), now.Sub(c.leaderAnswered)
	for _, claim := range item.Claims {
		if r, refused := a.claim(now, from, claim, sinceLeader, silent); refused {
			answer.Refused = append(answer.Refused, r)
		}
	}
	granted, tokens := a.grant(now, from, silent)
	answer.Granted = granted
	answer.Batch = c.lend(now, from, a, tokens, item)
	answer.Next = millisUp(a.next(now, from, sinceLeader, silent))
	return answer
}

// lend creates the batch for granted claims and prefetch; it returns nil when both are zero.
func (c *Coordinator) lend(now time.Time, from string, a *account, claimed float64, item BorrowItem) *Batch {
	most := max(0, a.bucket.Level(now)-claimed) * c.options.PrefetchShare
	prefetch, life := 0.0, c.options.Life
	if len(a.queue) == 0 {
		prefetch = math.Floor(min(item.Prefetch, most))
	}
	left := c.options.RoomShare*a.bucket.Burst() - a.roomLent() - claimed
	ahead := math.Floor(min(item.Room, most, max(0, left)))
	room := left >= 0 && a.hasRoom(now, claimed+ahead)
	if room {
		prefetch, life = ahead, c.options.RoomLife
	}
	total := claimed + prefetch
	if total <= 0 || !a.bucket.Hold(now, total) {
		return nil
	}
	c.nextID++
	a.add(&lentBatch{
		key: batchKey{from, c.nextID}, tokens: total, prefetch: prefetch, room: room,
		deadline: now.Add(life + c.options.Margin),
	})
	return &Batch{ID: c.nextID, Tokens: total, Life: millis(life), Room: room}
}

// expire applies everything in the account that has expired.
func (c *Coordinator) expire(now time.Time, a *account) {
	if !now.Before(c.predecessorExpired) {
		a.endAssumed(c.predecessorExpired)
	}
	a.expire(now, c.options.freeExpired)
}

// Return answers a ReturnRequest of the instance named from.
func (c *Coordinator) Return(now time.Time, from string, req ReturnRequest) ReturnReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applyReturn(now, from, req)
}

func (c *Coordinator) applyReturn(now time.Time, from string, req ReturnRequest) ReturnReply {
	s, ok := c.session(now, from, req.Header)
	if !ok {
		return ReturnReply{Answer: c.refuseSession(from)}
	}
	if req.Sequence <= s.returned && !c.options.applyResent {
		return s.returnReply
	}
	reply := ReturnReply{Answer: Answer{Epoch: c.epoch}}
	for _, item := range req.Items {
		c.expire(now, c.account(now, item.Customer)) // before the mark of this reply is allocated
	}
	c.lastMark++
	reply.Mark = c.lastMark
	for _, item := range req.Items {
		if !c.applyReturnItem(now, from, item, reply.Mark) {
			reply.Final = append(reply.Final, item.Customer)
		}
	}
	s.returned, s.returnReply = req.Sequence, reply
	return reply
}

// applyReturnItem applies credits, then counts what is newly spent, then takes back the rest of closed batches. It
// reports false when part of the spending was counted earlier: a credit under this mark could be too large.
func (c *Coordinator) applyReturnItem(now time.Time, from string, item ReturnItem, mark uint64) (complete bool) {
	a := c.account(now, item.Customer)
	for _, credit := range item.Credits {
		g := bucket.Grant{Mark: credit.Mark, Tokens: credit.Tokens}
		a.demand.add(now, -a.bucket.Credit(now, g, credit.Tokens))
		if !credit.More {
			a.bucket.Close(g)
		}
	}
	spent, rest := 0.0, 0.0
	complete = true
	for _, report := range item.Batches {
		s, r, ok := a.settle(from, report)
		spent += s
		rest += r
		complete = complete && ok
	}
	if spent > 0 {
		a.bucket.Advance(mark)
		a.bucket.Spend(now, spent)
		a.demand.add(now, spent)
	}
	a.bucket.Unhold(now, rest)
	return complete
}

// settle applies the report of one batch. It reports false for an unknown batch, which has expired and is already
// counted as spent.
func (a *account) settle(from string, report BatchReport) (spent, rest float64, ok bool) {
	key := batchKey{from, report.ID}
	l, ok := a.batches[key]
	if !ok {
		return 0, 0, false
	}
	total := max(l.spent, min(report.Spent, l.tokens))
	spent, l.spent = total-l.spent, total
	if !report.Keep {
		rest = l.tokens - l.spent
		l.closed = true
		delete(a.batches, key)
	}
	return spent, rest, true
}

// Tick expires batches and claims of all customers and deletes sessions unused for sessionRetention.
func (c *Coordinator) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.accounts {
		if len(a.batches)+len(a.queue) > 0 || a.assumed > 0 {
			c.expire(now, a)
		}
	}
	maps.DeleteFunc(c.sessions, func(_ string, s *session) bool {
		return now.Sub(s.seen) > sessionRetention
	})
}

// Demand returns the report to the leader, ordered by customer. It lists customers whose demand has changed; every
// fullReportInterval-th report lists all customers with demand, because reports can be lost.
func (c *Coordinator) Demand(now time.Time) share.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := share.Report{DataCentre: c.options.DataCentre, Term: c.epoch, Full: c.reports%fullReportInterval == 0}
	c.reports++
	for _, name := range slices.Sorted(maps.Keys(c.accounts)) {
		a := c.accounts[name]
		d, changed := a.report(now, name)
		busy := d.Rate >= minDemand || d.Waiting > 0
		if (report.Full && busy) || (!report.Full && changed) {
			report.Items = append(report.Items, d)
			a.reported = d
		} else if report.Full {
			a.reported = share.Demand{Epoch: a.share.Epoch}
		}
	}
	return report
}

// SetOutlook applies the leader's answer to a report: the rates and bursts that the shares can grow to, and tokens
// given up by other data centres.
func (c *Coordinator) SetOutlook(now time.Time, answer share.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderAnswered = now
	if answer.Full {
		c.reports = 0
	}
	for _, o := range answer.Items {
		a := c.account(now, o.Customer)
		a.addProspect(now, prospect{rate: o.Rate, burst: o.Burst})
		if o.Grant != nil {
			a.acceptGrant(now, *o.Grant)
		}
	}
}

// Unconfirmed returns the unconfirmed shares whose decrease is fully in effect here: no more than the smaller burst is
// available or lent. They may be confirmed once a majority of the keepers has recorded them.
func (c *Coordinator) Unconfirmed(now time.Time) (list []share.Confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.predecessorExpired) && !c.options.ignoreRoomBatches || now.Before(c.refillsFrom) {
		return nil // batches of the previous coordinator may still be in use
	}
	for _, name := range slices.Sorted(maps.Keys(c.accounts)) {
		a := c.accounts[name]
		if a.share.Epoch == 0 || a.share.Confirmed {
			continue
		}
		c.expire(now, a)
		// The next coordinator will assume no more than its RoomShare of the smaller burst.
		small := a.roomLent() <= c.options.RoomShare*a.bucket.Burst() || c.options.ignoreRoomBatches
		if a.bucket.Within() && small {
			list = append(list, share.Confirmation{Share: a.share, Freed: a.freed})
		}
	}
	return list
}
