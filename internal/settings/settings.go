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
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
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
	HeartbeatIntervalS   float64 `toml:"report_s"`
	LeaseDurationS       float64 `toml:"lease_s"`
	CancellationTimeoutS float64 `toml:"cancel_s"`
	// Of gangs; 0: not given, as by deployments that have none.
	GangAssemblyTimeoutS float64 `toml:"gang_wait_s"`
	GangLossTimeoutS     float64 `toml:"gang_peer_s"`
}

// GangAssemblyTimeout is how long a gang's task waits for the others before it exits. If nobody
// says, a task's lease is taken: longer than that no task waits unheard.
func (w Workers) GangAssemblyTimeout() micros.Micros {
	return micros.FromSeconds(cmp.Or(w.GangAssemblyTimeoutS, w.LeaseDurationS))
}

// GangLossTimeout is within what time all tasks of a gang must be told to stop, and how soon
// they notice that one is gone. If nobody says, two reports are taken.
func (w Workers) GangLossTimeout() micros.Micros {
	return micros.FromSeconds(cmp.Or(w.GangLossTimeoutS, 2*w.HeartbeatIntervalS))
}

// LeaseDuration is the worker lease.
func (w Workers) LeaseDuration() micros.Micros { return micros.FromSeconds(w.LeaseDurationS) }

// HeartbeatInterval is the usual time between two reports.
func (w Workers) HeartbeatInterval() micros.Micros { return micros.FromSeconds(w.HeartbeatIntervalS) }

// CancellationTimeout is how soon a cancelled job's tasks must be gone.
func (w Workers) CancellationTimeout() micros.Micros {
	return micros.FromSeconds(w.CancellationTimeoutS)
}

// renewMargin is to spare beside what the clocks may run apart.
const renewMargin = 2 * micros.Second

// LeaseRenewalWindow is how long after the last contact with the state service a node
// may still renew worker leases: a lease renewed at the end of it runs out
// before a cancellation that the node could not see is due.
func (w Workers) LeaseRenewalWindow() micros.Micros {
	return max(0, w.CancellationTimeout()-w.LeaseDuration()-micros.MaxClockDrift(w.CancellationTimeout())-renewMargin)
}

// State holds the state service's limits: the present ones and, in Next, those that
// come into force some time later without notice.
type State struct {
	RPS      float64        `toml:"rps"`
	WriteRPS float64        `toml:"write_rps"`
	ValueKB  float64        `toml:"value_kb"`
	TxnOps   int            `toml:"txn_ops"`
	Upcoming UpcomingLimits `toml:"next"`
}

// UpcomingLimits holds limits of a later time; what is nil does not change.
type UpcomingLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// AfterChange is the limits after the change; without one they are the present ones.
func (s State) AfterChange() State {
	return State{
		RPS:      orPresent(s.Upcoming.RPS, s.RPS),
		WriteRPS: orPresent(s.Upcoming.WriteRPS, s.WriteRPS),
		ValueKB:  orPresent(s.Upcoming.ValueKB, s.ValueKB),
		TxnOps:   orPresent(s.Upcoming.TxnOps, s.TxnOps),
	}
}

// orPresent is a limit's later value, or the present one if it does not change.
func orPresent[T any](later *T, present T) T {
	if later == nil {
		return present
	}
	return *later
}

// Strictest is the limits that hold at any time, before the change and after it: the
// smaller of each two. The change comes without notice, so a node that kept to the
// present ones would learn of it by refusals, in the middle of whatever it does.
func (s State) Strictest() State {
	later := s.AfterChange()
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
