// Package settings reads and checks the platform's TOML file and the
// operators' optional XML file.
//
// It owns the fields of both files, their defaults and checks, and what follows from a
// setting alone, as the limits that always hold. It does not watch the files: a node keeps
// the settings that it started with.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"caperlatch/internal/micros"
)

// Settings is the checked content of the platform's file.
type Settings struct {
	Member       string `toml:"member"`
	Zone         string `toml:"zone"`
	ClientListen string `toml:"client_listen"`
	PeerListen   string `toml:"peer_bind"`
	Peers        []Peer `toml:"seeds"`
	External     struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Params Params `toml:"params"`
}

// Peer is another controller node.
type Peer struct {
	Member string `toml:"member"`
	Zone   string `toml:"zone"`
	Addr   string `toml:"addr"`
}

// Params describes the deployment.
type Params struct {
	Nodes        int         `toml:"initial_size"`
	Zones        []string    `toml:"zones"`
	ClockErrorMS float64     `toml:"clock_error_ms"`
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	State        State       `toml:"state"`
	Cloud        Cloud       `toml:"cloud"`
	Limits       Limits      `toml:"limits"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is an aim on starting or finishing.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"`
}

// Workers holds the times that workers keep.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
	// Of gangs; 0: not given, as by deployments that have none.
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
}

// GangWait is how long a gang's task waits for the others before it exits. If nobody
// says, a task's lease is taken: longer than that no task waits unheard.
func (w Workers) GangWait() micros.Micros { return micros.FromSeconds(cmp.Or(w.GangWaitS, w.LeaseS)) }

// GangPeer is within what time all tasks of a gang must be told to stop, and how soon
// they notice that one is gone. If nobody says, two reports are taken.
func (w Workers) GangPeer() micros.Micros {
	return micros.FromSeconds(cmp.Or(w.GangPeerS, 2*w.ReportS))
}

// Lease is the worker lease.
func (w Workers) Lease() micros.Micros { return micros.FromSeconds(w.LeaseS) }

// Report is the usual time between two reports.
func (w Workers) Report() micros.Micros { return micros.FromSeconds(w.ReportS) }

// Cancel is how soon a cancelled job's tasks must be gone.
func (w Workers) Cancel() micros.Micros { return micros.FromSeconds(w.CancelS) }

// renewMargin is to spare beside what the clocks may run apart.
const renewMargin = 2 * micros.Second

// RenewFor is how long after the last contact with the state service a node
// may still renew worker leases: a lease renewed at the end of it runs out
// before a cancellation that the node could not see is due.
func (w Workers) RenewFor() micros.Micros {
	return max(0, w.Cancel()-w.Lease()-micros.Drift(w.Cancel())-renewMargin)
}

// State holds the state service's limits: the present ones and, in Next, those that
// come into force some time later without notice.
type State struct {
	RPS      float64    `toml:"rps"`
	WriteRPS float64    `toml:"write_rps"`
	ValueKB  float64    `toml:"value_kb"`
	TxnOps   int        `toml:"txn_ops"`
	Next     StateLater `toml:"next"`
}

// StateLater holds limits of a later time; what is nil does not change.
type StateLater struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Later is the limits after the change; without one they are the present ones.
func (s State) Later() State {
	return State{
		RPS:      orPresent(s.Next.RPS, s.RPS),
		WriteRPS: orPresent(s.Next.WriteRPS, s.WriteRPS),
		ValueKB:  orPresent(s.Next.ValueKB, s.ValueKB),
		TxnOps:   orPresent(s.Next.TxnOps, s.TxnOps),
	}
}

// orPresent is a limit's later value, or the present one if it does not change.
func orPresent[T any](later *T, present T) T {
	if later == nil {
		return present
	}
	return *later
}

// Always is the limits that hold at any time, before the change and after it: the
// smaller of each two. The change comes without notice, so a node that kept to the
// present ones would learn of it by refusals, in the middle of whatever it does.
func (s State) Always() State {
	later := s.Later()
	return State{
		RPS:      min(s.RPS, later.RPS),
		WriteRPS: min(s.WriteRPS, later.WriteRPS),
		ValueKB:  min(s.ValueKB, later.ValueKB),
		TxnOps:   min(s.TxnOps, later.TxnOps),
	}
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits is what the process may take of its machine.
type Limits struct {
	CPU        float64 `toml:"cpu"`
	MemoryMB   float64 `toml:"mem_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Read reads and checks the file at path.
func Read(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse reads and checks a file's content. Unknown fields are ignored.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(b, &s); err != nil {
		var field *toml.DecodeError
		if errors.As(err, &field) {
			row, _ := field.Position()
			return nil, fmt.Errorf("settings: %v (line %d): %w", field.Key(), row, err)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}
