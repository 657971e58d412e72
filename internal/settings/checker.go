package settings

import (
	"fmt"
	"math"
	"net"
)

// checker keeps the first thing found wrong.
type checker struct{ err error }

// that notes what is wrong with a field unless ok.
func (c *checker) that(ok bool, field, wrong string) {
	if c.err == nil && !ok {
		c.err = fmt.Errorf("%s %s", field, wrong)
	}
}

// text checks that a field is there.
func (c *checker) text(field, v string) { c.that(v != "", field, "is missing") }

// addr checks that a field is a host with a port.
func (c *checker) addr(field, v string) {
	c.text(field, v)
	_, _, err := net.SplitHostPort(v)
	c.that(err == nil, field, "is no address with a port")
}

// amount checks that a field is a finite number of at least the given one.
func (c *checker) amount(field string, v, least float64) {
	c.that(!math.IsNaN(v) && !math.IsInf(v, 0) && v >= least, field,
		fmt.Sprintf("must be a number of at least %v", least))
}
