package cluster

import (
	"bytes"
	"io"
	"net/http"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// isHeartbeat reports whether a request is a worker's heartbeat.
func isHeartbeat(r *http.Request) bool { return r.URL.Path == wire.PathHeartbeats }

// isCommand reports whether a request carries urgent commands to a worker.
func isCommand(r *http.Request) bool { return r.URL.Path == wire.PathCommands }

// isTxn reports whether a request is a transaction to the state service.
func isTxn(r *http.Request) bool { return r.URL.Path == wire.PathTransactions }

// bodyContains reports whether a request's body contains a key.
func bodyContains(r *http.Request, key string) bool {
	if r.GetBody == nil {
		return false
	}
	body, err := r.GetBody()
	if err != nil {
		return false
	}
	b, err := io.ReadAll(body)
	return err == nil && bytes.Contains(b, []byte(key))
}

// everyNthRequest returns a function that applies a fault to every nth matching request from any sender. The function
// of everyNthNodeRequest considers only requests from nodes.
func everyNthRequest(n int, fault fake.Fault, match func(*http.Request) bool) func(string, *http.Request) fake.Fault {
	count := 0
	return func(_ string, r *http.Request) fake.Fault {
		if match(r) {
			if count++; count%n == 0 {
				return fault
			}
		}
		return fake.NoFault
	}
}

// stateUnavailableTo returns a fault function that makes the state service unavailable to a node, or to all nodes if
// node is negative.
func stateUnavailableTo(node int) func(string, *http.Request) fake.Fault {
	return func(from string, r *http.Request) fake.Fault {
		if isStateRequest(r) && (node < 0 || isFromNode(from, node)) {
			return fake.ServiceUnavailable
		}
		return fake.NoFault
	}
}

// dropResponsesTo returns a fault function that drops all responses and commands to some machines. Requests from these
// machines are still delivered.
func dropResponsesTo(ids map[string]bool) func(string, *http.Request) fake.Fault {
	return func(from string, r *http.Request) fake.Fault {
		switch {
		case ids[machineOf(from)]:
			return fake.DroppedResponse
		case ids[machineOf(r.URL.Host)]:
			return fake.DroppedRequest
		}
		return fake.NoFault
	}
}
