package settings

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"

	"caperlatch/internal/micros"
)

// rootElement is the outermost element of the operators' files.
const rootElement = "caperlatch"

// field checks a value and keeps it.
type field func(name string, v float64)

// section is an element that holds others, by their names.
type section struct {
	numbers  map[string]field     // each once
	repeated map[string]field     // each any number of times
	names    map[string]*[]string // the same, that hold names
}

// elementParser reads an operators' file: sections within the root element.
type elementParser struct {
	decoder  *xml.Decoder
	checker  checker
	sections map[string]section
	present  string          // section that is open
	read     map[string]bool // elements that may stand once and have been read, by section
	open     int             // how many elements are open
	entered  map[string]bool // sections that have been seen
}

// newElementParser is a parser of r whose sections are still to be set.
func newElementParser(r io.Reader) *elementParser {
	return &elementParser{
		decoder:  xml.NewDecoder(r),
		sections: map[string]section{},
		read:     map[string]bool{},
		entered:  map[string]bool{},
	}
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

// percent keeps a share that is given in percent.
func (p *elementParser) percent(to *float64) field {
	return func(name string, v float64) {
		p.within(name, v, 0, 100)
		*to = v / 100
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
	_, known := p.sections[name]
	switch {
	case p.open == 0 && name == rootElement:
		p.open++
		return nil
	case p.open == 1 && known && !p.entered[name]:
		p.open++
		p.present, p.entered[name] = name, true
		return nil
	case p.open == 2:
		return p.value(element)
	}
	return unknownElement(name)
}

// value reads an element of the present section.
func (p *elementParser) value(element *xml.StartElement) error {
	name, in := element.Name.Local, p.sections[p.present]
	if list := in.names[name]; list != nil {
		return p.name(element, list)
	}
	keep := in.repeated[name]
	if once := p.present + "/" + name; keep == nil && !p.read[once] {
		keep, p.read[once] = in.numbers[name], true
	}
	if keep == nil {
		return unknownElement(name)
	}
	var v float64
	if err := p.decoder.DecodeElement(&v, element); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	keep(name, v)
	return nil
}

// name reads an element that holds a name.
func (p *elementParser) name(element *xml.StartElement, list *[]string) error {
	var v string
	if err := p.decoder.DecodeElement(&v, element); err != nil {
		return fmt.Errorf("%s: %w", element.Name.Local, err)
	}
	v = strings.TrimSpace(v)
	p.checker.text(element.Name.Local, v)
	*list = append(*list, v)
	return nil
}

// unknownElement says that an element must not stand where it does.
func unknownElement(name string) error { return fmt.Errorf("element %s is unknown here", name) }
