package settings

import (
	"fmt"
	"io"
	"os"

	"caperlatch/internal/micros"
)

// TuningEnvVar names the environment variable that holds the path of the operators' file of
// tuned values.
const TuningEnvVar = "CAPERLATCH_TUNING"

// staffingElement holds the tuned values.
const staffingElement = "staffing"

// The most that may be tuned.
const (
	maxZ       = 10
	maxSeconds = 3600
)

// Tuning holds what operators may tune of the autoscaler.
type Tuning struct {
	Z              float64       // of the paper's formula (4): how many deviations of demand spare machines cover
	ReviewInterval micros.Micros // for which a target holds
	Window         micros.Micros // over which the demand rate is measured
	RecordInterval micros.Micros // between two stored staffing records
}

// DefaultTuning returns the values of docs/design.md, which hold for elements that are left out.
func DefaultTuning() Tuning {
	return Tuning{
		Z:              1.282,
		ReviewInterval: 30 * micros.Second,
		Window:         60 * micros.Second,
		RecordInterval: 5 * micros.Second,
	}
}

// ReadTuning reads the file whose path is in the environment; without one it returns the
// defaults.
func ReadTuning() (Tuning, error) {
	path := os.Getenv(TuningEnvVar)
	if path == "" {
		return DefaultTuning(), nil
	}
	return readFile("tuning", path, ParseTuning)
}

// ParseTuning reads
//
//	<caperlatch><staffing><z>1.282</z><review_s>30</review_s>
//	<window_s>60</window_s><record_s>5</record_s></staffing></caperlatch>
//
// where every element may be left out and no other may stand.
func ParseTuning(r io.Reader) (Tuning, error) {
	tuning := DefaultTuning()
	if _, err := parseElements(r, map[string]section{staffingElement: staffingSection(&tuning)}); err != nil {
		return Tuning{}, fmt.Errorf("tuning: %w", err)
	}
	return tuning, nil
}

// staffingSection returns the section that sets t.
func staffingSection(t *Tuning) section {
	return section{fields: map[string]field{
		"z":        number(&t.Z, maxZ),
		"review_s": seconds(&t.ReviewInterval, maxSeconds),
		"window_s": seconds(&t.Window, maxSeconds),
		"record_s": seconds(&t.RecordInterval, maxSeconds),
	}}
}
