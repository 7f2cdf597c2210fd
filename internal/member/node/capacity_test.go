package node_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"lycheevale/internal/member/assign"
	"lycheevale/internal/member/directory"
)

// memoryBudget is the memory that a node may use for control, from section 1.7 of docs/design.md.
const memoryBudget = 256 << 20

// tables holds the coordinator's directory and table and the holders of the owners.
type tables struct {
	now       time.Time
	directory *directory.Directory
	table     *assign.Table
	holders   []*assign.Holder
}

func (s *tables) renewAll() {
	for i, h := range s.holders {
		r := h.Renewal(s.now)
		if reply, err := s.table.Renew(s.now, fmt.Sprint("i", i), r); err == nil {
			h.Reply(s.now, r.Sequence, reply)
		}
	}
}

// newTables returns tables in which all endpoints are assigned and balanced.
func newTables(instances, endpoints int) *tables {
	s := &tables{now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), directory: directory.New()}
	s.table = assign.New(s.now)
	s.table.SetFences(0, 1<<40)
	for i := range endpoints {
		a := endpoint(i)
		a.Address = netip.MustParseAddrPort("10.0.0.1:8000")
		s.directory.Announce(s.now, a)
		s.table.SetEndpoint(s.now, assign.Endpoint{Name: a.Name, ChecksFencing: true})
	}
	for i := range instances {
		s.directory.Heartbeat(s.now, directory.Instance{Name: fmt.Sprint("i", i), Address: address(i), Incarnation: 1})
		s.holders = append(s.holders, assign.NewHolder(1))
	}
	for range 7 {
		s.now = s.now.Add(3 * time.Second)
		s.renewAll()
		s.table.Decide(s.now)
	}
	return s
}

func heapGrowth(f func() *tables) (bytes int64, kept *tables) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept = f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc), kept
}

// Guards against tables that exceed the memory budget of a node if one data centre holds all endpoints and
// instances of the target size.
func TestMemoryBudget(t *testing.T) {
	bytes, kept := heapGrowth(func() *tables { return newTables(1100, 12000) })
	t.Logf("%d bytes with 12,000 endpoints and 1,100 instances", bytes)
	if bytes > memoryBudget {
		t.Errorf("%d bytes exceed the budget", bytes)
	}
	runtime.KeepAlive(kept)
}

// BenchmarkTables measures the work of a coordinator in one second: renewals of all instances, refreshed
// announcements and five decisions.
func BenchmarkTables(b *testing.B) {
	for _, instances := range []int{3, 30, 92} {
		for _, endpoints := range []int{9, 300, 1000} {
			b.Run(fmt.Sprintf("instances=%d/endpoints=%d", instances, endpoints), func(b *testing.B) {
				bytes, s := heapGrowth(func() *tables { return newTables(instances, endpoints) })
				for b.Loop() {
					s.now = s.now.Add(time.Second)
					s.renewAll()
					for i := range endpoints {
						s.directory.Refresh(s.now, endpoint(i).Name, 1)
					}
					for range 5 {
						s.directory.Expire(s.now)
						s.table.Decide(s.now)
					}
				}
				b.ReportMetric(float64(bytes), "heap-B")
			})
		}
	}
}
