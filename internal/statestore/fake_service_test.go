package statestore

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// response is the fake service's response to a request. A status of 0 means that there is no response.
type response struct {
	status int
	body   any
}

// fakeService returns the response to the nth request, counted from 1. keys are those that the request writes if it is a
// transaction.
type fakeService func(n int, keys []string) response

// errNoResponse is the error of a request that gets no response.
var errNoResponse = errors.New("no response")

// client returns a client of the service, and the number of operations in each of its requests so far.
func (s fakeService) client(limits settings.State) (c *Client, txnSizes *[]int) {
	txnSizes = &[]int{}
	return New("state", limits, roundTripFunc(func(r *http.Request) (*http.Response, error) {
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
		*txnSizes = append(*txnSizes, len(keys))
		reply := s(len(*txnSizes), keys)
		if reply.status == 0 {
			return nil, errNoResponse
		}
		body, err := wire.Marshal(reply.body)
		if err != nil {
			return nil, err
		}
		return &http.Response{StatusCode: reply.status, Body: io.NopCloser(bytes.NewReader(body))}, nil
	})), txnSizes
}

// roundTripFunc implements http.RoundTripper with a function.
type roundTripFunc func(r *http.Request) (*http.Response, error)

// RoundTrip calls f.
func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// testLimits are limits of which the tests reach only the number of operations in a transaction.
var testLimits = settings.State{RPS: 1000, WriteRPS: 100, ValueKB: 4, TxnOps: 4}
