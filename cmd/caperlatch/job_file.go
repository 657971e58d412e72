package main

import (
	"bytes"
	"encoding/json"
	"errors"
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
	if job, err = decodeJobDescription(content); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	for key, value := range job {
		if job[key], err = convertNumber(value); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", file, key, err)
		}
	}
	return job, nil
}

// Errors of job descriptions that cannot be submitted as they are.
var (
	errNotObject    = errors.New("not a JSON object")
	errMoreThanOne  = errors.New("more than one JSON value")
	errKeyNotString = errors.New("a key is not a string")
)

// decodeJobDescription decodes the JSON object in a file. It rejects a key that stands there twice, of which the JSON
// package would take the last value, and anything behind the object.
func decodeJobDescription(content []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	start, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	if start != json.Delim('{') {
		return nil, errNotObject
	}
	job := map[string]any{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		key, isString := token.(string)
		if !isString {
			return nil, errKeyNotString
		}
		if _, isRepeated := job[key]; isRepeated {
			return nil, fmt.Errorf("%s is repeated", key)
		}
		var value any
		if err := decoder.Decode(&value); err != nil {
			return nil, err
		}
		job[key] = value
	}
	if _, err := decoder.Token(); errors.Is(err, io.EOF) { // instead of the end of the object
		return nil, io.ErrUnexpectedEOF
	} else if err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errMoreThanOne
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
