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

// rootElement is the root element of the optional XML files.
const rootElement = "caperlatch"

// section describes an element below the root element, which contains fields.
type section struct {
	fields map[string]field // by element name
	check  func() error     // checks the values against each other once the file is read; may be nil
}

// field describes an element that contains a single value.
type field struct {
	// store parses the text of the element and stores the value. It returns an error if the text cannot be parsed,
	// and reports a value out of range to the checker.
	store      func(c *checker, name, text string) error
	repeatable bool // whether the element may occur more than once
}

// readFile opens the file at path and parses it. Errors of opening the file begin with subject.
func readFile[T any](subject, path string, parse func(io.Reader) (T, error)) (T, error) {
	f, err := os.Open(path)
	if err != nil {
		return *new(T), fmt.Errorf("%s: %w", subject, err)
	}
	defer f.Close()
	return parse(f)
}

// parseElements reads a whole file that may contain the given sections, by element name, and returns which of them
// are present. If several things are wrong, the error reports the first element that cannot be parsed, else the first
// value out of range, else the first contradiction between values, in the order of section names.
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

// elementParser reads a file that consists of sections.
type elementParser struct {
	decoder  *xml.Decoder
	checker  checker
	sections map[string]section
	depth    int             // number of open elements
	section  string          // the open section, or the last one
	present  map[string]bool // sections found so far
	seen     map[string]bool // fields read so far, as section/field
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
	return unexpectedElement(name)
}

// readField reads a field of the open section, including its end tag.
func (p *elementParser) readField(element *xml.StartElement) error {
	name := element.Name.Local
	key := p.section + "/" + name
	f, known := p.sections[p.section].fields[name]
	if !known || p.seen[key] && !f.repeatable {
		return unexpectedElement(name)
	}
	p.seen[key] = true
	var text string
	if err := p.decoder.DecodeElement(&text, element); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return f.store(&p.checker, name, strings.TrimSpace(text))
}

// unexpectedElement returns the error for an element that is unknown, misplaced, or repeated though not repeatable.
func unexpectedElement(name string) error {
	return fmt.Errorf("element %s is unknown, misplaced or repeated", name)
}

// numberField returns a field that contains a number in a range, and passes the number to store without converting it.
func numberField(minimum, maximum float64, store func(c *checker, name string, value float64)) field {
	return field{store: func(c *checker, name, text string) error {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		c.inRange(name, value, minimum, maximum)
		store(c, name, value)
		return nil
	}}
}

// asRepeatable returns the field with its element allowed any number of times.
func asRepeatable(f field) field {
	f.repeatable = true
	return f
}

// namesField returns a repeatable field that appends its text, which must not be empty, to a list.
func namesField(target *[]string) field {
	return asRepeatable(field{store: func(c *checker, name, text string) error {
		c.notEmpty(name, text)
		*target = append(*target, text)
		return nil
	}})
}

// plainNumberField returns a field that contains a number without a unit, from 0 to maximum.
func plainNumberField(target *float64, maximum float64) field {
	return numberField(0, maximum, func(_ *checker, _ string, value float64) { *target = value })
}

// integerField returns a field that contains an integer in a range.
func integerField(target *int, minimum, maximum int) field {
	return numberField(float64(minimum), float64(maximum), func(c *checker, name string, value float64) {
		c.require(value == float64(int(value)), name, "must be a whole number")
		*target = int(value)
	})
}

// percentField returns a field that contains a percentage, from minimum to 100, and stores it as a share of 1.
func percentField(minimum float64, store func(share float64)) field {
	return numberField(minimum, 100, func(_ *checker, _ string, value float64) { store(value / 100) })
}

// shareField returns a field that contains a percentage, from 0 to 100, and sets target to it as a share of 1.
func shareField(target *float64) field {
	return percentField(0, func(share float64) { *target = share })
}

// secondsField returns a field that contains a duration in seconds, from 1 to maximum.
func secondsField(target *micros.Micros, maximum float64) field {
	return numberField(1, maximum, func(_ *checker, _ string, value float64) { *target = micros.FromSeconds(value) })
}

// millisecondsField returns a field that contains a duration in milliseconds, in a range.
func millisecondsField(target *micros.Micros, minimum, maximum float64) field {
	return numberField(minimum, maximum, func(_ *checker, _ string, value float64) {
		*target = micros.Micros(value * float64(micros.Millisecond))
	})
}
