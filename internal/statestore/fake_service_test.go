package statestore

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// response is what the fake service responds to a request; with status 0 there is no response.
type response struct {
	status int
	body   any
}

// fakeService responds to its nth request, with the keys that a transaction writes.
type fakeService func(n int, keys []string) response

// errNoResponse is the error of a request that gets no response.
var errNoResponse = errors.New("no response")

// client returns a client of the service, and records how many operations each of its requests
// has.
func (s fakeService) client(limits settings.State) (c *Client, sizes *[]int) {
	sizes = &[]int{}
	return New("state", limits, roundTrip(func(r *http.Request) (*http.Response, error) {
		var txn wire.Txn
		if r.URL.Path == wire.PathTransactions {
			body, err := io.ReadAll(r.Body)
			if err = errors.Join(err, wire.Unmarshal(body, &txn)); err != nil {
				return nil, err
			}
		}
		var keys []string
		for _, op := range txn.Then {
			keys = append(keys, op.Put)
		}
		*sizes = append(*sizes, len(keys))
		said := s(len(*sizes), keys)
		if said.status == 0 {
			return nil, errNoResponse
		}
		body, err := wire.Marshal(said.body)
		if err != nil {
			return nil, err
		}
		return &http.Response{StatusCode: said.status, Body: io.NopCloser(bytes.NewReader(body))}, nil
	})), sizes
}

// roundTrip is a transport of one function.
type roundTrip func(r *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// testLimits are limits that the tests do not reach, but for operations in a transaction.
var testLimits = settings.State{RPS: 1000, WriteRPS: 100, ValueKB: 4, TxnOps: 4}
