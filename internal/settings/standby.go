package settings

import (
	"errors"
	"fmt"
	"io"
	"os"

	"caperlatch/internal/micros"
)

// Standby holds the settings of the warm standby; nil where it is off.
type Standby struct {
	QueryInterval   micros.Micros // between a follower's queries
	SuspectAfter    micros.Micros // without an answer, the leader is suspected
	MaxLogEntries   int           // that a leader keeps for followers which are behind
	HandoverTimeout micros.Micros // what a planned handover may take
}

// defaultStandby is what holds for the elements that are left out.
func defaultStandby() Standby {
	return Standby{
		QueryInterval:   100 * micros.Millisecond,
		SuspectAfter:    800 * micros.Millisecond,
		MaxLogEntries:   50_000,
		HandoverTimeout: 1500 * micros.Millisecond,
	}
}

// standbySection is the element that turns the standby on and holds its settings.
const standbySection = "standby"

// ReadStandby reads the file at path.
func ReadStandby(path string) (*Standby, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("standby: %w", err)
	}
	defer f.Close()
	return ParseStandby(f)
}

// ParseStandby reads
//
//	<caperlatch><standby><pull_ms>100</pull_ms><suspect_ms>800</suspect_ms>
//	<log_entries>50000</log_entries><handover_ms>1500</handover_ms></standby></caperlatch>
//
// where every element within standby may be left out and no other may stand.
func ParseStandby(r io.Reader) (*Standby, error) {
	s := defaultStandby()
	p := newElementParser(r)
	p.sections[standbySection] = standbyElements(p, &s)
	err := p.parse()
	if err == nil && !p.entered[standbySection] {
		err = errors.New("element standby is missing")
	}
	if err != nil {
		return nil, fmt.Errorf("standby: %w", err)
	}
	return &s, nil
}

// standbyElements are the elements of the section.
func standbyElements(p *elementParser, s *Standby) section {
	return section{check: s.check, fields: map[string]field{
		"pull_ms":     p.milliseconds(&s.QueryInterval, 20, 5_000),
		"suspect_ms":  p.milliseconds(&s.SuspectAfter, 100, 60_000),
		"log_entries": p.count(&s.MaxLogEntries, 1_000, 1_000_000),
		"handover_ms": p.milliseconds(&s.HandoverTimeout, 200, 10_000),
	}}
}

// check checks the settings against each other.
func (s *Standby) check() error {
	if s.SuspectAfter <= s.QueryInterval {
		return errors.New("suspect_ms must be over pull_ms")
	}
	return nil
}
