package settings

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"

	"caperlatch/internal/micros"
)

// rootElement is the outermost element of the operators' files.
const rootElement = "caperlatch"

// field checks a value and keeps it.
type field func(name string, v float64)

// elementParser reads an operators' file: a section of elements that hold numbers, within
// the root element.
type elementParser struct {
	decoder *xml.Decoder
	checker checker
	section string
	fields  map[string]field // by element
	read    map[string]bool  // fields that have been read
	open    int              // how many elements are open
	entered bool             // the section has been seen
}

// newElementParser is a parser of the section in r, whose fields are still to be set.
func newElementParser(r io.Reader, section string) *elementParser {
	return &elementParser{decoder: xml.NewDecoder(r), section: section, read: map[string]bool{}}
}

// number keeps a value without a unit, which may be at most so much.
func (p *elementParser) number(to *float64, most float64) field {
	return func(name string, v float64) {
		p.within(name, v, 0, most)
		*to = v
	}
}

// count keeps a whole number within bounds.
func (p *elementParser) count(to *int, least, most int) field {
	return func(name string, v float64) {
		p.within(name, v, float64(least), float64(most))
		p.checker.that(v == float64(int(v)), name, "must be a whole number")
		*to = int(v)
	}
}

// seconds keeps a time of at least a second.
func (p *elementParser) seconds(to *micros.Micros, most float64) field {
	return func(name string, v float64) {
		p.within(name, v, 1, most)
		*to = micros.FromSeconds(v)
	}
}

// milliseconds keeps a time within bounds.
func (p *elementParser) milliseconds(to *micros.Micros, least, most float64) field {
	return func(name string, v float64) {
		p.within(name, v, least, most)
		*to = micros.Micros(v * float64(micros.Millisecond))
	}
}

// within checks that a value is a number within bounds.
func (p *elementParser) within(name string, v, least, most float64) {
	p.checker.amount(name, v, least)
	p.checker.that(v <= most, name, fmt.Sprintf("must be at most %v", most))
}

// parse reads the whole file.
func (p *elementParser) parse() error {
	for {
		token, err := p.decoder.Token()
		if errors.Is(err, io.EOF) {
			return p.checker.err
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
func (p *elementParser) begin(element *xml.StartElement) error {
	name := element.Name.Local
	keep := p.fields[name]
	switch {
	case p.open == 0 && name == rootElement:
		p.open++
		return nil
	case p.open == 1 && name == p.section:
		p.open++
		p.entered = true
		return nil
	case p.open == 2 && keep != nil && !p.read[name]:
		p.read[name] = true
		var v float64
		if err := p.decoder.DecodeElement(&v, element); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		keep(name, v)
		return nil
	}
	return fmt.Errorf("element %s is unknown here", name)
}
