package settings

import (
	"fmt"
	"io"
	"os"

	"caperlatch/internal/micros"
)

// TuningEnvVar is the environment variable that contains the path of the operators' tuning file.
const TuningEnvVar = "CAPERLATCH_TUNING"

// staffingElement contains the tuned values.
const staffingElement = "staffing"

// Upper bounds of tuned values.
const (
	maxZ       = 10
	maxSeconds = 3600
)

// Tuning holds the parameters of the autoscaler that operators may tune.
type Tuning struct {
	Z              float64       // standard deviations of demand that spare machines cover; z in formula (4) of the paper cited in package staffing
	ReviewInterval micros.Micros // time for which a target applies
	Window         micros.Micros // time over which the demand rate is measured
	RecordInterval micros.Micros // time between two stored staffing records
}

// DefaultTuning returns the values given in docs/design.md, which are used for elements that are left out.
func DefaultTuning() Tuning {
	return Tuning{
		Z:              1.282,
		ReviewInterval: 30 * micros.Second,
		Window:         60 * micros.Second,
		RecordInterval: 5 * micros.Second,
	}
}

// ReadTuning reads the file whose path is in the environment variable TuningEnvVar. It returns the default values if
// the variable is not set.
func ReadTuning() (Tuning, error) {
	path := os.Getenv(TuningEnvVar)
	if path == "" {
		return DefaultTuning(), nil
	}
	return readFile("tuning", path, ParseTuning)
}

// ParseTuning reads the tuned values from XML of the form
//
//	<caperlatch><staffing><z>1.282</z><review_s>30</review_s>
//	<window_s>60</window_s><record_s>5</record_s></staffing></caperlatch>
//
// Any element below the root may be left out, and no other element is allowed.
func ParseTuning(r io.Reader) (Tuning, error) {
	tuning := DefaultTuning()
	if _, err := parseElements(r, map[string]section{staffingElement: staffingSection(&tuning)}); err != nil {
		return Tuning{}, fmt.Errorf("tuning: %w", err)
	}
	return tuning, nil
}

// staffingSection returns the section whose fields are stored in t.
func staffingSection(t *Tuning) section {
	return section{fields: map[string]field{
		"z":        plainNumberField(&t.Z, maxZ),
		"review_s": secondsField(&t.ReviewInterval, maxSeconds),
		"window_s": secondsField(&t.Window, maxSeconds),
		"record_s": secondsField(&t.RecordInterval, maxSeconds),
	}}
}
