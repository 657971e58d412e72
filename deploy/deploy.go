// Package deploy contains example configuration files for operators.
package deploy

import _ "embed"

// ExampleSettings is an example of a node's settings file, with comments on every field.
//
//go:embed settings.example.toml
var ExampleSettings []byte
