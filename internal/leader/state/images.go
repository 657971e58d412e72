package state

import "slices"

// ImageCache guesses which images a machine has cached, from what ran on it: the protocol states
// that the most recently used ones stay.
type ImageCache struct {
	Names  []string           // least recently used first
	sizeGB map[string]float64 // by name
}

// Use notes that a task ran from an image, and drops the least recently used ones beyond the cache's size.
func (c *ImageCache) Use(name string, sizeGB, limitGB float64) {
	if c.sizeGB == nil {
		c.sizeGB = map[string]float64{}
	}
	if i := slices.Index(c.Names, name); i >= 0 {
		c.Names = slices.Delete(c.Names, i, i+1)
	}
	c.Names = append(c.Names, name)
	c.sizeGB[name] = sizeGB
	sum := 0.0
	for _, n := range c.Names {
		sum += c.sizeGB[n]
	}
	for sum > limitGB && len(c.Names) > 1 {
		sum -= c.sizeGB[c.Names[0]]
		delete(c.sizeGB, c.Names[0])
		c.Names = c.Names[1:]
	}
}
