package clients

import (
	"io"
	"net/http"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// observeBodies records when the requests to a handler have been read completely.
func observeBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && c != nil {
			if r.ContentLength == 0 {
				c.move(nil)
			} else {
				r.Body = &body{r.Body, c}
			}
		}
		next.ServeHTTP(w, r)
	})
}

// body is the body of a request. A connection whose request has been read does not give way to others.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.move(nil)
	}
	return n, err
}
