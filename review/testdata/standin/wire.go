package main

import (
	"encoding/json"
	"io"
	"net/http"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// maxBody is the limit of bodies in PROTOCOL-caperlatch.md, "A request body may be at most 64 KiB", measured as JSON.
const maxBody = 64 << 10

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{DefaultMapType: reflect.TypeFor[map[string]any](), MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// encode returns a body in CBOR.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// jsonSize returns the size of a CBOR value as JSON, by which the pages define their limits.
func jsonSize(raw []byte) int {
	var v any
	if decoder.Unmarshal(raw, &v) != nil {
		return 0
	}
	b, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(b)
}

// reply writes a response.
func reply(w http.ResponseWriter, status int, v any) {
	b := encode(v)
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	w.Write(b)
}

// readInto decodes the body of a request.
func readInto(r *http.Request, v any) error {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	return decoder.Unmarshal(b, v)
}

// errorBody is the body of a refusal.
type errorBody struct {
	Error string `json:"error"`
}

// job is a submission.
type job struct {
	ID        string   `json:"id"`
	Lane      string   `json:"lane"`
	Desk      string   `json:"desk"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Pieces    int      `json:"pieces"`
	VCPUs     float64  `json:"vcpus"`
	Cards     float64  `json:"cards"`
	MemoryGB  float64  `json:"memory_gb"`
	Bundle    string   `json:"bundle"`
	PullGB    float64  `json:"pull_gb"`
	Builds    []string `json:"builds"`
	Hall      *string  `json:"hall"`
	Together  bool     `json:"together"`
	Scatter   bool     `json:"scatter"`
	Standby   bool     `json:"standby"`
	ExpectS   float64  `json:"expect_s"`
	SaveEvery float64  `json:"save_every_s"`
	StoreS    float64  `json:"store_s"`
	DueS      *float64 `json:"due_s"`

	runS func(index int) float64 // how long a task really runs
}

// jobStatus is the answer to users.
type jobStatus struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// piece is a task in a worker's report.
type piece struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Stored bool   `json:"stored,omitempty"`
}

// report is a worker's report.
type report struct {
	Host    string   `json:"host"`
	Address string   `json:"address"`
	Build   string   `json:"build"`
	Hall    string   `json:"hall"`
	Standby bool     `json:"standby"`
	Shift   uint64   `json:"shift"`
	Tick    uint64   `json:"tick"`
	Baton   uint64   `json:"baton"`
	RecallS *float64 `json:"recall_s"`
	Pieces  []piece  `json:"pieces"`
}

// order is a command to a worker.
type order struct {
	Verb    string   `json:"verb"`
	Piece   string   `json:"piece"`
	Try     uint64   `json:"try"`
	LeewayS *float64 `json:"leeway_s"`
}

// answer is the response to a report, and with Shift the body of /commands.
type answer struct {
	Baton  *uint64 `json:"baton"`
	Shift  *uint64 `json:"shift"`
	Orders []order `json:"orders"`
}
