// Package fake holds fakes of what surrounds the controllers, for tests and rehearsals of whole
// clusters: the state service (StateService), the cloud with its workers (Cloud, Worker), the network
// between all of them (Network, PeerNetwork, ZonePartition), and the faults of each.
//
// The fakes implement the protocol as far as the controllers use it, and pass what workers do on to
// the checker of the rules. They judge nothing themselves, and must never read the state of a
// controller.
//
// Each type says which lock guards what. Where several are held, they are taken in this order:
// Worker, Cloud, then one of gangRegistry, Network and the checker's. Handlers and fault functions are
// called without a lock of this package; the functions of CloudConfig are called with locks held.
package fake

import (
	"net/http"
	"time"

	"caperlatch/internal/wire"
)

// respond writes a response with an encoded body.
func respond(w http.ResponseWriter, code int, body any) {
	b, err := wire.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(code)
	w.Write(b)
}

// seconds converts a time in seconds, as the protocol has it.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
