// Package settings reads and validates the platform's TOML file and the operators' optional XML files.
//
// It owns the fields of these files, their defaults and validation, and values that are derived from settings alone,
// such as the limits that are safe at any time. It must not watch the files: a node keeps the settings that it
// started with.
//
// The names of fields and elements in the files predate the glossary and must not change. The names of Go types and
// fields that appear in decoding errors must not change either. Golden files also check the order of fields.
package settings

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the validated content of the platform's TOML file. Addresses have the form host:port.
type Settings struct {
	Member       string `toml:"member"` // name of this node
	Zone         string `toml:"zone"`
	ClientListen string `toml:"client_listen"` // address at which users and workers reach this node
	PeerListen   string `toml:"peer_bind"`     // address at which other nodes reach this node
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
	Nodes        int         `toml:"initial_size"` // number of controller nodes
	Zones        []string    `toml:"zones"`
	ClockErrorMS float64     `toml:"clock_error_ms"` // maximum error of clocks, in milliseconds
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	State        State       `toml:"state"`
	Cloud        Cloud       `toml:"cloud"`
	Limits       Limits      `toml:"limits"`
}

// Team holds the guaranteed amount and the limit of each resource for a team; 0 means that there is none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Kinds of service-level objectives.
const (
	ObjectiveWait      = "wait"      // jobs start within WithinS
	ObjectiveGuarantee = "guarantee" // jobs within the guarantee of their team start within WithinS, in any class
	ObjectiveFinished  = "finished"  // jobs finish within WithinS
	ObjectiveDeadline  = "deadline"  // jobs finish within their deadline multiplied by Times
)

// Objective is a service-level objective that a share of jobs must meet: the jobs in a class or, for ObjectiveGuarantee,
// the jobs of all classes.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"` // share of the jobs, up to 1
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"` // in seconds since submission
}

// Read reads and validates the TOML file at path.
func Read(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(content)
}

// Parse decodes and validates the content of a TOML file. Unknown fields are ignored, and named in a log message.
func Parse(content []byte) (*Settings, error) {
	var s Settings
	unknown, err := decodeTOML(content, &s)
	if err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			row, _ := decodeErr.Position()
			return nil, fmt.Errorf("settings: %v (line %d): %w", decodeErr.Key(), row, err)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(unknown) > 0 {
		slog.Warn("settings file has unknown keys, ignoring them", "keys", strings.Join(unknown, " "))
	}
	return &s, nil
}
