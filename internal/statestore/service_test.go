package statestore

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// answer is what the service says to a request; with status 0 there is no answer.
type answer struct {
	status int
	body   any
}

// service answers its nth request, with the keys that a transaction writes.
type service func(n int, keys []string) answer

// errCut is what a request meets that gets no answer.
var errCut = errors.New("cut")

// client talks to a service, and notes how many changes each of its transactions has.
func (s service) client(limits settings.State) (c *Client, sizes *[]int) {
	sizes = &[]int{}
	return New("state", limits, roundTrip(func(r *http.Request) (*http.Response, error) {
		var t wire.Txn
		if r.URL.Path == "/txn" {
			b, err := io.ReadAll(r.Body)
			if err = errors.Join(err, wire.Unmarshal(b, &t)); err != nil {
				return nil, err
			}
		}
		var keys []string
		for _, op := range t.Then {
			keys = append(keys, op.Put)
		}
		*sizes = append(*sizes, len(keys))
		a := s(len(*sizes), keys)
		b, err := wire.Marshal(a.body)
		if a.status == 0 {
			err = errCut
		}
		return &http.Response{StatusCode: a.status, Body: io.NopCloser(bytes.NewReader(b))}, err
	})), sizes
}

// roundTrip is a transport.
type roundTrip func(r *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// testLimits are wide.
var testLimits = settings.State{RPS: 1000, WriteRPS: 100, ValueKB: 4, TxnOps: 4}
