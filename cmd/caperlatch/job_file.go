package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// readJobDescription reads the description of a job from a file, in the form in which it is submitted.
func readJobDescription(in io.Reader, file string) (job map[string]any, err error) {
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
		if job[key], err = convertNumber(value); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", file, key, err)
		}
	}
	return job, nil
}

// readFile reads a file, or standard input if the file is "-".
func readFile(in io.Reader, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(file)
}

// convertNumber converts a JSON number to an integer if it is one, and to a floating-point number otherwise, as counts
// must not be sent as floating-point numbers. It returns other values unchanged.
func convertNumber(value any) (any, error) {
	number, ok := value.(json.Number)
	if !ok {
		return value, nil
	}
	if n, err := number.Int64(); err == nil {
		return n, nil
	}
	return number.Float64()
}
