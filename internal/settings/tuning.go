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

// Elements that hold the tuned values.
const (
	rootElement    = "caperlatch"
	sectionElement = "staffing"
)

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
	p := &tuningParser{decoder: xml.NewDecoder(r), read: map[string]bool{}}
	p.fields = map[string]func(string, float64){
		"z":        p.number(&tuning.Z),
		"review_s": p.seconds(&tuning.ReviewInterval),
		"window_s": p.seconds(&tuning.Window),
		"record_s": p.seconds(&tuning.RecordInterval),
	}
	err := p.parse()
	if err == nil {
		err = p.checker.err
	}
	if err != nil {
		return Tuning{}, fmt.Errorf("tuning: %w", err)
	}
	return tuning, nil
}

// tuningParser reads the elements of a tuning file.
type tuningParser struct {
	decoder *xml.Decoder
	checker checker
	fields  map[string]func(name string, v float64) // by element
	read    map[string]bool                         // fields that have been read
	open    int                                     // how many elements are open
}

// number checks a value without a unit and keeps it.
func (p *tuningParser) number(to *float64) func(string, float64) {
	return func(name string, v float64) {
		p.checker.amount(name, v, 0)
		p.checker.that(v <= maxZ, name, fmt.Sprintf("must be at most %d", maxZ))
		*to = v
	}
}

// seconds checks a time and keeps it.
func (p *tuningParser) seconds(to *micros.Micros) func(string, float64) {
	return func(name string, v float64) {
		p.checker.amount(name, v, 1)
		p.checker.that(v <= maxSeconds, name, fmt.Sprintf("must be at most %d", maxSeconds))
		*to = micros.FromSeconds(v)
	}
}

// parse reads the whole file.
func (p *tuningParser) parse() error {
	for {
		token, err := p.decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch element := token.(type) {
		case xml.StartElement:
			if err := p.begin(&element); err != nil {
				return err
			}
		case xml.EndElement:
			p.open--
		}
	}
}

// begin reads an element that holds a value, or enters one that holds others.
func (p *tuningParser) begin(element *xml.StartElement) error {
	name := element.Name.Local
	field := p.fields[name]
	switch {
	case p.open == 0 && name == rootElement, p.open == 1 && name == sectionElement:
		p.open++
		return nil
	case p.open == 2 && field != nil && !p.read[name]:
		p.read[name] = true
		var v float64
		if err := p.decoder.DecodeElement(&v, element); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		field(name, v)
		return nil
	}
	return fmt.Errorf("element %s is unknown here", name)
}
