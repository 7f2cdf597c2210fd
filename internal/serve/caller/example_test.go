package caller_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"

	"lycheevale/internal/serve/caller"
)

// A server without options has no models and no services.
func ExampleNew() {
	w := httptest.NewRecorder()
	caller.New().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/models", nil))
	fmt.Print(w.Code, " ", w.Body)
	// Output: 200 {"object":"list","data":[]}
}
