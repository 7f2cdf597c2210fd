package transcript

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("transcript")

// Answer is the answer to a request of a curl command.
type Answer struct {
	Status int
	Header http.Header
	Body   string
}

// Curl sends the request that a curl command describes. It knows -X, -H, -d, -N and -s, and refuses all other options.
func Curl(ctx context.Context, words []string) (a Answer, err error) {
	defer func() { err = Error.Wrap(err) }()
	r, err := parseCurl(ctx, words)
	if err != nil {
		return a, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body)}, err
}

func parseCurl(ctx context.Context, words []string) (*http.Request, error) {
	if len(words) == 0 || words[0] != "curl" {
		return nil, fmt.Errorf("not a curl command: %q", words)
	}
	header := http.Header{}
	method, url, body := "", "", ""
	for n := 1; n < len(words); n++ {
		option := words[n]
		switch option {
		case "-N", "-s":
			continue
		case "-X", "-H", "-d":
			n++
			if n == len(words) {
				return nil, fmt.Errorf("%s needs a value", option)
			}
		}
		switch {
		case option == "-X":
			method = words[n]
		case option == "-H":
			name, value, _ := strings.Cut(words[n], ":")
			header.Add(name, strings.TrimSpace(value))
		case option == "-d":
			body = words[n]
		case strings.HasPrefix(option, "-") || url != "":
			return nil, fmt.Errorf("unknown argument %q", option)
		default:
			url = option
		}
	}
	if method == "" {
		method = http.MethodGet
		if body != "" {
			method = http.MethodPost
		}
	}
	// curl sends a form unless a header says otherwise.
	if body != "" && header.Get("Content-Type") == "" {
		header.Set("Content-Type", "application/x-www-form-urlencoded")
	}
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header = header
	return r, nil
}
