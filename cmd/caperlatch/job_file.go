package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// readJob returns the description of a job in a file, as it is submitted.
func readJob(in io.Reader, file string) (job map[string]any, err error) {
	content, err := readFile(in, file)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	if err := decoder.Decode(&job); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	for key, value := range job {
		if job[key], err = decodeNumber(value); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", file, key, err)
		}
	}
	return job, nil
}

// readFile reads a file, or standard input for -.
func readFile(in io.Reader, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(file)
}

// decodeNumber returns a value or, for a number, an integer if it is one: counts must not be sent
// as fractions.
func decodeNumber(value any) (any, error) {
	number, ok := value.(json.Number)
	if !ok {
		return value, nil
	}
	if n, err := number.Int64(); err == nil {
		return n, nil
	}
	return number.Float64()
}
