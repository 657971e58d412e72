package settings

import (
	"fmt"
	"io"
	"os"

	"caperlatch/internal/micros"
)

// TuningVariable names the environment variable that holds the path of the
// operators' XML file.
const TuningVariable = "CAPERLATCH_TUNING"

// Tuning holds what operators may tune; the zero file leaves the defaults.
type Tuning struct {
	Z              float64       // of the paper's formula (4)
	ReviewInterval micros.Micros // how long a target holds
	Window         micros.Micros // over which the demand rate is measured
	RecordInterval micros.Micros // between two staffing records
}

// DefaultTuning is what DESIGN starts with.
func DefaultTuning() Tuning {
	return Tuning{
		Z:              1.282,
		ReviewInterval: 30 * micros.Second,
		Window:         60 * micros.Second,
		RecordInterval: 5 * micros.Second,
	}
}

// ReadTuning reads the file named by the environment, if there is one.
func ReadTuning() (Tuning, error) {
	path := os.Getenv(TuningVariable)
	if path == "" {
		return DefaultTuning(), nil
	}
	f, err := os.Open(path)
	if err != nil {
		return Tuning{}, fmt.Errorf("tuning: %w", err)
	}
	defer f.Close()
	return ParseTuning(f)
}

// tuningSection is the element that holds the tuned values.
const tuningSection = "staffing"

// The most that may be tuned.
const (
	maxZ       = 10
	maxSeconds = 3600
)

// ParseTuning reads
//
//	<caperlatch><staffing><z>1.282</z><review_s>30</review_s>
//	<window_s>60</window_s><record_s>5</record_s></staffing></caperlatch>
//
// where every element may be left out and no other may stand.
func ParseTuning(r io.Reader) (Tuning, error) {
	tuning := DefaultTuning()
	p := newElementParser(r)
	p.sections[tuningSection] = section{fields: map[string]field{
		"z":        p.number(&tuning.Z, maxZ),
		"review_s": p.seconds(&tuning.ReviewInterval, maxSeconds),
		"window_s": p.seconds(&tuning.Window, maxSeconds),
		"record_s": p.seconds(&tuning.RecordInterval, maxSeconds),
	}}
	if err := p.parse(); err != nil {
		return Tuning{}, fmt.Errorf("tuning: %w", err)
	}
	return tuning, nil
}
