package settings

import (
	"errors"
	"fmt"
	"io"

	"caperlatch/internal/membership"
	"caperlatch/internal/zone"
)

// Features holds the settings of the optional parts; a part whose settings are nil is off.
type Features struct {
	Standby    *Standby
	Zones      *zone.Config
	Membership *membership.Config
}

// ErrStandbyEnabledTwice reports that the warm standby is turned on in two files, of which it is
// unknown which one should hold.
var ErrStandbyEnabledTwice = errors.New("standby is turned on by both files, one is enough")

// ReadFeatures reads the file at path for a deployment.
func ReadFeatures(path string, p *Params) (Features, error) {
	return readFile("features", path, func(r io.Reader) (Features, error) { return ParseFeatures(r, p) })
}

// ParseFeatures reads
//
//	<caperlatch><standby>...</standby><zones>...</zones><membership>...</membership></caperlatch>
//
// where each section turns a part on and may be left out, but not all of them. Elements that are
// left out have their defaults.
func ParseFeatures(r io.Reader, p *Params) (Features, error) {
	standby, zones, members := defaultStandby(), zone.DefaultConfig(p.Workers.HeartbeatInterval()), membership.DefaultConfig()
	present, err := parseElements(r, map[string]section{
		standbyElement:    standbySection(&standby),
		zonesElement:      zonesSection(&zones, p),
		membershipElement: membershipSection(&members),
	})
	if err == nil && len(present) == 0 {
		err = errors.New("the file turns nothing on: element standby, zones or membership is missing")
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
