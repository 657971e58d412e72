// Package fake implements the external systems of the controllers for tests and simulations of whole clusters: the
// state service (StateService), the cloud with its workers (Cloud, Worker), the network that connects them (Network,
// PeerNetwork, ZonePartition), and fault injection for each of them.
//
// The fakes implement the part of the protocol that the controllers use, and report the actions of workers to the
// rule checker (checker.Rules). They do not check any rules themselves, and must never read the state of a controller.
//
// Each type documents which fields its lock guards. Locks are acquired in this order: Worker, Cloud, then one of
// gangRegistry, Network and the checker's. Handlers, a FaultFunc and the function of SetTxnFault are called without a lock
// of this package; the functions of CloudConfig and PeerNetwork may be called with locks held.
package fake

import (
	"net/http"
	"time"

	"caperlatch/internal/wire"
)

// respond writes a response with the given status code and the encoded body.
func respond(w http.ResponseWriter, code int, body any) {
	b, err := wire.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(code)
	w.Write(b)
}

// seconds converts a number of seconds, the unit of durations in the protocol, to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
