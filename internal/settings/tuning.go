package settings

import (
	"encoding/xml"
	"errors"
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
	return Tuning{Z: 1.282, ReviewInterval: 30 * micros.Second, Window: 60 * micros.Second, RecordInterval: 5 * micros.Second}
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

// ParseTuning reads
//
//	<caperlatch><staffing><z>1.282</z><review_s>30</review_s>
//	<window_s>60</window_s><record_s>5</record_s></staffing></caperlatch>
//
// where every element may be left out and no other may stand.
func ParseTuning(r io.Reader) (Tuning, error) {
	t := DefaultTuning()
	c := &checker{}
	seconds := func(to *micros.Micros) func(string, float64) {
		return func(name string, v float64) {
			c.amount(name, v, 1)
			c.that(v <= 3600, name, "must be at most 3600")
			*to = micros.FromSeconds(v)
		}
	}
	fields := map[string]func(string, float64){
		"z": func(name string, v float64) {
			c.amount(name, v, 0)
			c.that(v <= 10, name, "must be at most 10")
			t.Z = v
		},
		"review_s": seconds(&t.ReviewInterval),
		"window_s": seconds(&t.Window),
		"record_s": seconds(&t.RecordInterval),
	}
	d := xml.NewDecoder(r)
	var open []string
	seen := map[string]bool{}
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Tuning{}, fmt.Errorf("tuning: %w", err)
		}
		switch e := token.(type) {
		case xml.StartElement:
			name := e.Name.Local
			read := fields[name]
			switch {
			case len(open) == 0 && name == "caperlatch", len(open) == 1 && name == "staffing":
				open = append(open, name)
			case len(open) == 2 && read != nil && !seen[name]:
				seen[name] = true
				var v float64
				if err := d.DecodeElement(&v, &e); err != nil {
					return Tuning{}, fmt.Errorf("tuning: %s: %w", name, err)
				}
				read(name, v)
			default:
				return Tuning{}, fmt.Errorf("tuning: element %s is unknown here", name)
			}
		case xml.EndElement:
			open = open[:len(open)-1]
		}
	}
	if c.err != nil {
		return Tuning{}, fmt.Errorf("tuning: %w", c.err)
	}
	return t, nil
}
