package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// readJob reads a job's description.
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
		if job[key], err = number(value); err != nil {
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

// number is a value, or the number that one stands for; counts stay whole.
func number(value any) (any, error) {
	text, is := value.(json.Number)
	if !is {
		return value, nil
	}
	if n, err := text.Int64(); err == nil {
		return n, nil
	}
	return text.Float64()
}
