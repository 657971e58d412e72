package settings

import (
	"errors"
	"fmt"
	"io"

	"caperlatch/internal/micros"
)

// standbyElement enables the warm standby and contains its settings.
const standbyElement = "standby"

// Standby holds the settings of the warm standby.
type Standby struct {
	QueryInterval   micros.Micros // interval of a follower's queries to the leader
	SuspectAfter    micros.Micros // time without a response after which a follower suspects the leader
	MaxLogEntries   int           // number of log entries that a leader retains for followers that lag behind
	HandoverTimeout micros.Micros // timeout of a planned transfer of leadership
}

// defaultStandby returns the values used for elements that are left out.
func defaultStandby() Standby {
	return Standby{
		QueryInterval:   100 * micros.Millisecond,
		SuspectAfter:    800 * micros.Millisecond,
		MaxLogEntries:   50_000,
		HandoverTimeout: 1500 * micros.Millisecond,
	}
}

// ReadStandby reads the XML file of the warm standby at path.
func ReadStandby(path string) (*Standby, error) { return readFile("standby", path, ParseStandby) }

// ParseStandby reads the settings of the warm standby from XML of the form
//
//	<caperlatch><standby><pull_ms>100</pull_ms><suspect_ms>800</suspect_ms>
//	<log_entries>50000</log_entries><handover_ms>1500</handover_ms></standby></caperlatch>
//
// Any element within standby may be left out, and no other element is allowed.
func ParseStandby(r io.Reader) (*Standby, error) {
	standby := defaultStandby()
	present, err := parseElements(r, map[string]section{standbyElement: standbySection(&standby)})
	if err == nil && !present[standbyElement] {
		err = errors.New("element standby is missing")
	}
	if err != nil {
		return nil, fmt.Errorf("standby: %w", err)
	}
	return &standby, nil
}

// standbySection returns the section whose fields are stored in s.
func standbySection(s *Standby) section {
	return section{check: s.check, fields: map[string]field{
		"pull_ms":     millisecondsField(&s.QueryInterval, 20, 5_000),
		"suspect_ms":  millisecondsField(&s.SuspectAfter, 100, 60_000),
		"log_entries": integerField(&s.MaxLogEntries, 1_000, 1_000_000),
		"handover_ms": millisecondsField(&s.HandoverTimeout, 200, 10_000),
	}}
}

// check checks the settings against each other.
func (s *Standby) check() error {
	if s.SuspectAfter <= s.QueryInterval {
		return errors.New("suspect_ms must be greater than pull_ms")
	}
	return nil
}
