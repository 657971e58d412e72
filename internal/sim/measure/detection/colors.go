package detection

import "image/color"

// lineColors are the colors of the lines in a plot, in order of use.
var lineColors = []color.Color{
	color.RGBA{R: 31, G: 119, B: 180, A: 255},
	color.RGBA{R: 214, G: 39, B: 40, A: 255},
	color.RGBA{R: 44, G: 160, B: 44, A: 255},
	color.RGBA{R: 255, G: 127, B: 14, A: 255},
	color.RGBA{R: 148, G: 103, B: 189, A: 255},
	color.RGBA{R: 23, G: 190, B: 207, A: 255},
	color.RGBA{R: 140, G: 86, B: 75, A: 255},
	color.RGBA{R: 127, G: 127, B: 127, A: 255},
}
