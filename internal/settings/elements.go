package settings

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"caperlatch/internal/micros"
)

// rootElement is the outermost element of the operators' XML files.
const rootElement = "caperlatch"

// section is an element within the root element that holds fields.
type section struct {
	fields map[string]field // by the element's name
	check  func() error     // of the values against each other, once the file is read; nil: none
}

// field is an element that holds a value.
type field struct {
	// store parses the element's text and stores the value. Its error is of a text that cannot
	// be parsed; of a value out of bounds it tells the checker.
	store      func(c *checker, name, text string) error
	repeatable bool // whether it may stand any number of times
}

// readFile reads the file at path; subject is what its errors begin with.
func readFile[T any](subject, path string, parse func(io.Reader) (T, error)) (T, error) {
	f, err := os.Open(path)
	if err != nil {
		return *new(T), fmt.Errorf("%s: %w", subject, err)
	}
	defer f.Close()
	return parse(f)
}

// parseElements reads a whole file of these sections, by their elements' names, and returns
// which of them it has. Of several things that are wrong its error is of the first one that
// cannot be read, else of the first value out of bounds, else of values that contradict each
// other, by the sections' names.
func parseElements(r io.Reader, sections map[string]section) (present map[string]bool, err error) {
	p := &elementParser{
		decoder:  xml.NewDecoder(r),
		sections: sections,
		present:  map[string]bool{},
		seen:     map[string]bool{},
	}
	if err := p.parse(); err != nil {
		return nil, err
	}
	if p.checker.err != nil {
		return nil, p.checker.err
	}
	for _, name := range slices.Sorted(maps.Keys(p.present)) {
		if check := sections[name].check; check != nil {
			if err := check(); err != nil {
				return nil, err
			}
		}
	}
	return p.present, nil
}

// elementParser reads a file of sections.
type elementParser struct {
	decoder  *xml.Decoder
	checker  checker
	sections map[string]section
	depth    int             // how many elements are open
	section  string          // that is open, or was last
	present  map[string]bool // sections that the file has
	seen     map[string]bool // fields that were read, by section/field
}

// parse reads the whole file.
func (p *elementParser) parse() error {
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
			if err := p.startElement(&element); err != nil {
				return err
			}
		case xml.EndElement:
			p.depth--
		}
	}
}

// startElement enters the root element or a section, or reads a field.
func (p *elementParser) startElement(element *xml.StartElement) error {
	name := element.Name.Local
	_, known := p.sections[name]
	switch {
	case p.depth == 0 && name == rootElement:
		p.depth++
		return nil
	case p.depth == 1 && known && !p.present[name]:
		p.depth++
		p.section, p.present[name] = name, true
		return nil
	case p.depth == 2:
		return p.readField(element)
	}
	return unknownElement(name)
}

// readField reads a field of the open section, up to its end.
func (p *elementParser) readField(element *xml.StartElement) error {
	name := element.Name.Local
	key := p.section + "/" + name
	f, known := p.sections[p.section].fields[name]
	if !known || p.seen[key] && !f.repeatable {
		return unknownElement(name)
	}
	p.seen[key] = true
	var text string
	if err := p.decoder.DecodeElement(&text, element); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return f.store(&p.checker, name, strings.TrimSpace(text))
}

// unknownElement returns the error of an element that must not stand where it does.
func unknownElement(name string) error { return fmt.Errorf("element %s is unknown here", name) }

// numeric is a field that holds a number within bounds, as the element has it.
func numeric(least, most float64, store func(c *checker, name string, value float64)) field {
	return field{store: func(c *checker, name, text string) error {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		c.within(name, value, least, most)
		store(c, name, value)
		return nil
	}}
}

// repeatable makes a field one whose element may stand any number of times.
func repeatable(f field) field {
	f.repeatable = true
	return f
}

// names is a repeatable field that adds its text, which must not be empty, to a list.
func names(to *[]string) field {
	return repeatable(field{store: func(c *checker, name, text string) error {
		c.notEmpty(name, text)
		*to = append(*to, text)
		return nil
	}})
}

// number is a field that holds a number without a unit, from 0 to most.
func number(to *float64, most float64) field {
	return numeric(0, most, func(_ *checker, _ string, value float64) { *to = value })
}

// wholeNumber is a field that holds a whole number within bounds.
func wholeNumber(to *int, least, most int) field {
	return numeric(float64(least), float64(most), func(c *checker, name string, value float64) {
		c.require(value == float64(int(value)), name, "must be a whole number")
		*to = int(value)
	})
}

// percent is a field that holds a share in percent, from least to 100.
func percent(least float64, store func(share float64)) field {
	return numeric(least, 100, func(_ *checker, _ string, value float64) { store(value / 100) })
}

// share is a field that holds a share in percent, from 0 to 100.
func share(to *float64) field { return percent(0, func(value float64) { *to = value }) }

// seconds is a field that holds a time in seconds, from 1 to most.
func seconds(to *micros.Micros, most float64) field {
	return numeric(1, most, func(_ *checker, _ string, value float64) { *to = micros.FromSeconds(value) })
}

// milliseconds is a field that holds a time in milliseconds within bounds.
func milliseconds(to *micros.Micros, least, most float64) field {
	return numeric(least, most, func(_ *checker, _ string, value float64) {
		*to = micros.Micros(value * float64(micros.Millisecond))
	})
}
