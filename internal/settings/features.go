package settings

import (
	"errors"
	"fmt"
	"io"
	"os"

	"caperlatch/internal/membership"
	"caperlatch/internal/zone"
)

// Features holds the settings of the optional parts; nil where one is off.
type Features struct {
	Standby    *Standby
	Zones      *zone.Config
	Membership *membership.Config
}

// ErrStandbyEnabledTwice says that the standby is turned on in two files.
var ErrStandbyEnabledTwice = errors.New("standby is turned on by both files, one is enough")

// ReadFeatures reads the file at path for a deployment.
func ReadFeatures(path string, p *Params) (Features, error) {
	f, err := os.Open(path)
	if err != nil {
		return Features{}, fmt.Errorf("features: %w", err)
	}
	defer f.Close()
	return ParseFeatures(f, p)
}

// ParseFeatures reads
//
//	<caperlatch><standby>...</standby><zones>...</zones><membership>...</membership></caperlatch>
//
// where each section turns a part on and may be left out, but not all of them.
func ParseFeatures(r io.Reader, p *Params) (Features, error) {
	standby, zones, members := defaultStandby(), zone.DefaultConfig(p.Workers.HeartbeatInterval()), membership.DefaultConfig()
	parser := newElementParser(r)
	parser.sections[standbySection] = standbyElements(parser, &standby)
	parser.sections[zonesSection] = zonesElements(parser, &zones, p)
	parser.sections[membershipSection] = membershipElements(parser, &members)
	err := parser.parse()
	if err == nil && len(parser.entered) == 0 {
		err = errors.New("the file turns nothing on: element standby, zones or membership is missing")
	}
	if err != nil {
		return Features{}, fmt.Errorf("features: %w", err)
	}
	var out Features
	if parser.entered[standbySection] {
		out.Standby = &standby
	}
	if parser.entered[zonesSection] {
		out.Zones = &zones
	}
	if parser.entered[membershipSection] {
		out.Membership = &members
	}
	return out, nil
}
