package forward_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/report"
	"lycheevale/internal/place/quarantine"
)

// Guards against sending a held request without its turn, against sending two copies with one turn, and against delaying other requests.
func TestHeldRequestWaitsForTurn(t *testing.T) {
	for body, want := range map[string][]int{
		"deadly": {1, http.StatusBadGateway, http.StatusServiceUnavailable}, // one copy is sent
		"sound":  {2, http.StatusOK, http.StatusOK},                         // the first one begins
	} {
		t.Run(body, func(t *testing.T) {
			k := newCrashes(t, 5)
			held := quarantine.Request([]byte(http.MethodPost), []byte("/order/x"), []byte("c"), []byte(body))
			k.apply(func(u *report.Update) { u.Held = []string{held} })
			status, _ := k.post("/order/x", "other")
			k.Check(status, quicktest.Equals, http.StatusOK)
			before := k.count()
			answers := make(chan int)
			for range 2 {
				go func() {
					status, _ := k.post("/order/x", body)
					answers <- status
				}()
			}
			var sent report.Entry
			for len(sent.Waiting) == 0 {
				time.Sleep(time.Millisecond)
				k.handler.Report(&sent, time.Second)
			}
			k.Check(sent.Waiting, quicktest.DeepEquals, []string{held})
			k.Check(k.count(), quicktest.Equals, before)
			k.handler.Reported(time.Now(), sent, report.Update{Turns: []string{held}})
			statuses := []int{<-answers, <-answers}
			slices.Sort(statuses)
			k.Check(append([]int{k.count() - before}, statuses...), quicktest.DeepEquals, want)
			k.handler.Report(&sent, time.Second)
			k.Check(sent.Waiting, quicktest.HasLen, 0)
		})
	}
}
