package service_test

import (
	"fmt"
	"net/http/httptest"
	"strings"

	"lycheevale/internal/fake/service"
)

func ExampleService() {
	s := service.New("ledger-1")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("POST", "/ledger/orders", strings.NewReader(`{"reference":"envelopes"}`)))
	fmt.Print(w.Body)
	fmt.Println(s.Runs("envelopes"))
	// Output:
	// {"service":"ledger-1","path":"/ledger/orders","reference":"envelopes","runs":1}
	// 1
}
