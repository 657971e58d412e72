// Package settings reads and checks the platform's TOML file and the operators' optional XML
// files.
//
// It owns the fields of these files, their defaults and checks, and what follows from a setting
// alone, as the limits that always hold. It must not watch the files: a node keeps the settings
// that it started with.
//
// Names of files' fields and elements are older than the glossary and stay, as do names of types
// and fields that errors of decoding show. The order of fields is held by golden files.
package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the checked content of the platform's file. Addresses are hosts with ports.
type Settings struct {
	Member       string `toml:"member"` // this node's name
	Zone         string `toml:"zone"`
	ClientListen string `toml:"client_listen"` // where users and workers reach it
	PeerListen   string `toml:"peer_bind"`     // where other nodes reach it
	Peers        []Peer `toml:"seeds"`         // all other nodes
	External     struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"` // the state service
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
	Nodes        int         `toml:"initial_size"` // how many controller nodes
	Zones        []string    `toml:"zones"`
	ClockErrorMS float64     `toml:"clock_error_ms"` // by how much clocks may be off
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	State        State       `toml:"state"`
	Cloud        Cloud       `toml:"cloud"`
	Limits       Limits      `toml:"limits"`
}

// Team has a guarantee and a limit on each resource; 0 means none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Kinds of objectives.
const (
	ObjectiveWait      = "wait"      // jobs start within WithinS
	ObjectiveGuarantee = "guarantee" // jobs within their team's guarantee start within WithinS, whatever their class
	ObjectiveFinished  = "finished"  // jobs finish within WithinS
	ObjectiveDeadline  = "deadline"  // jobs finish within Times their deadline
)

// Objective is a service-level objective: what is expected of a share of a class's jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"` // of the jobs, up to 1
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"` // seconds since the submission
}

// Read reads and checks the file at path.
func Read(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(content)
}

// Parse reads and checks a file's content. Unknown fields are ignored.
func Parse(content []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(content, &s); err != nil {
		var decoding *toml.DecodeError
		if errors.As(err, &decoding) {
			row, _ := decoding.Position()
			return nil, fmt.Errorf("settings: %v (line %d): %w", decoding.Key(), row, err)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}
