package state

import "slices"

// ImageCache estimates which container images a machine has cached, from the tasks that ran on it. The protocol
// specifies that workers keep the most recently used images.
type ImageCache struct {
	Names  []string           // image names, least recently used first
	sizeGB map[string]float64 // by image name
}

// Use records that a task used an image. It evicts the least recently used images until the others fit within limitGB,
// but never the image itself.
func (c *ImageCache) Use(name string, sizeGB, limitGB float64) {
	if c.sizeGB == nil {
		c.sizeGB = map[string]float64{}
	}
	if i := slices.Index(c.Names, name); i >= 0 {
		c.Names = slices.Delete(c.Names, i, i+1)
	}
	c.Names = append(c.Names, name)
	c.sizeGB[name] = sizeGB
	totalGB := 0.0
	for _, n := range c.Names {
		totalGB += c.sizeGB[n]
	}
	for totalGB > limitGB && len(c.Names) > 1 {
		totalGB -= c.sizeGB[c.Names[0]]
		delete(c.sizeGB, c.Names[0])
		c.Names = c.Names[1:]
	}
}
