// Package settings reads and checks the platform's TOML file and the
// operators' optional XML file.
//
// It owns the fields of both files, their defaults and checks, and what follows from a
// setting alone, as the limits that always hold. It does not watch the files: a node keeps
// the settings that it started with.
package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
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
