// Package deploy holds the files that operators start from.
package deploy

import _ "embed"

// ExampleSettings is an example of a node's settings, with every field explained.
//
//go:embed settings.example.toml
var ExampleSettings []byte
