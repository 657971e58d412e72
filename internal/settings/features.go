package settings

import (
	"errors"
	"fmt"
	"io"

	"caperlatch/internal/membership"
	"caperlatch/internal/zone"
)

// Features holds the settings of the optional features. A feature whose settings are nil is disabled.
type Features struct {
	Standby    *Standby
	Zones      *zone.Config
	Membership *membership.Config
}

// ErrStandbyEnabledTwice reports that the warm standby is configured in two files, so that it is ambiguous whose
// settings apply.
var ErrStandbyEnabledTwice = errors.New("the standby is enabled in both files; enable it in only one")

// ReadFeatures reads the XML file of optional features at path, and checks it against the deployment p.
func ReadFeatures(path string, p *Params) (Features, error) {
	return readFile("features", path, func(r io.Reader) (Features, error) { return ParseFeatures(r, p) })
}

// ParseFeatures reads the settings of optional features from XML of the form
//
//	<caperlatch><standby>...</standby><zones>...</zones><membership>...</membership></caperlatch>
//
// Each section enables a feature. At least one section must be present, and elements that are left out of a section
// have their default values.
func ParseFeatures(r io.Reader, p *Params) (Features, error) {
	standby, zones, members := defaultStandby(), zone.DefaultConfig(p.Workers.HeartbeatInterval()), membership.DefaultConfig()
	present, err := parseElements(r, map[string]section{
		standbyElement:    standbySection(&standby),
		zonesElement:      zonesSection(&zones, p),
		membershipElement: membershipSection(&members),
	})
	if err == nil && len(present) == 0 {
		err = errors.New("the file enables no feature: element standby, zones or membership is missing")
	}
	if err != nil {
		return Features{}, fmt.Errorf("features: %w", err)
	}
	var features Features
	if present[standbyElement] {
		features.Standby = &standby
	}
	if present[zonesElement] {
		features.Zones = &zones
	}
	if present[membershipElement] {
		features.Membership = &members
	}
	return features, nil
}
