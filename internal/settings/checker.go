package settings

import (
	"fmt"
	"math"
	"net"
)

// checker checks fields and keeps the first error. Its errors name the field as the file has it.
type checker struct{ err error }

// require records an error of a field unless ok.
func (c *checker) require(ok bool, field, problem string) {
	if c.err == nil && !ok {
		c.err = fmt.Errorf("%s %s", field, problem)
	}
}

// notEmpty checks that a text is there.
func (c *checker) notEmpty(field, value string) { c.require(value != "", field, "is missing") }

// hostPort checks that a text is a host with a port.
func (c *checker) hostPort(field, value string) {
	c.notEmpty(field, value)
	_, _, err := net.SplitHostPort(value)
	c.require(err == nil, field, "is no address with a port")
}

// unique checks that a text is not among those seen, to which it is added.
func (c *checker) unique(seen map[string]bool, field, value string) {
	c.require(!seen[value], field, "stands there twice")
	seen[value] = true
}

// atLeast checks that a number is finite and at least the given one.
func (c *checker) atLeast(field string, value, least float64) {
	c.require(!math.IsNaN(value) && !math.IsInf(value, 0) && value >= least, field,
		fmt.Sprintf("must be a number of at least %v", least))
}

// atLeastInt checks that a whole number is at least the given one.
func (c *checker) atLeastInt(field string, value, least int) {
	c.require(value >= least, field, fmt.Sprintf("must be at least %d", least))
}

// within checks that a number is finite and within bounds.
func (c *checker) within(field string, value, least, most float64) {
	c.atLeast(field, value, least)
	c.require(value <= most, field, fmt.Sprintf("must be at most %v", most))
}
