package settings

import (
	"fmt"
	"math"
	"net"
)

// checker validates fields and keeps the first error. Errors name a field as it is named in the file.
type checker struct{ err error }

// require records the problem as an error of the field unless ok is true.
func (c *checker) require(ok bool, field, problem string) {
	if c.err == nil && !ok {
		c.err = fmt.Errorf("%s %s", field, problem)
	}
}

// notEmpty checks that a string is not empty.
func (c *checker) notEmpty(field, value string) { c.require(value != "", field, "is missing") }

// hostPort checks that a string is an address in the form host:port.
func (c *checker) hostPort(field, value string) {
	c.notEmpty(field, value)
	_, _, err := net.SplitHostPort(value)
	c.require(err == nil, field, "must have the form host:port")
}

// unique checks that a string is not in seen, and adds it.
func (c *checker) unique(seen map[string]bool, field, value string) {
	c.require(!seen[value], field, "must be unique")
	seen[value] = true
}

// atLeast checks that a number is finite and not less than the minimum.
func (c *checker) atLeast(field string, value, minimum float64) {
	c.require(!math.IsNaN(value) && !math.IsInf(value, 0) && value >= minimum, field,
		fmt.Sprintf("must be a finite number and at least %v", minimum))
}

// atLeastInt checks that an integer is not less than the minimum.
func (c *checker) atLeastInt(field string, value, minimum int) {
	c.require(value >= minimum, field, fmt.Sprintf("must be at least %d", minimum))
}

// inRange checks that a number is finite and in the range from minimum to maximum, inclusive.
func (c *checker) inRange(field string, value, minimum, maximum float64) {
	c.atLeast(field, value, minimum)
	c.require(value <= maximum, field, fmt.Sprintf("must be at most %v", maximum))
}
