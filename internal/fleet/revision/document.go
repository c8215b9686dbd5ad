package revision

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxDepth is the maximum nesting depth of a revision's objects and lists.
const maxDepth = 64

var (
	errNotObject    = errors.New("a revision must be a JSON object")
	errTrailingText = errors.New("more text follows the JSON object")
)

// document is a JSON object. Its numbers are of type json.Number, so that they are written as they were read.
type document = map[string]any

// decodeDocument decodes a JSON object. Errors name it by file.
func decodeDocument(file string, raw []byte) (document, error) {
	if len(raw) > MaxBytes {
		return nil, &TooLongError{File: file, Bytes: len(raw)}
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	value, err := decodeValue(decoder, "", 0)
	if err == nil {
		if _, more := decoder.Token(); !errors.Is(more, io.EOF) {
			err = errTrailingText
		}
	}
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		line, column := lineAndColumn(raw, decoder.InputOffset())
		return nil, &SyntaxError{File: file, Line: line, Column: column, Err: err}
	}
	doc, ok := value.(document)
	if !ok {
		return nil, &SyntaxError{File: file, Line: 1, Column: 1, Err: errNotObject}
	}
	return doc, nil
}

// decodeValue decodes one value. It rejects an object that contains a key twice. Errors name the value by its path.
func decodeValue(decoder *json.Decoder, path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("%s is nested more than %d levels deep", path, maxDepth)
	}
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return decodeObject(decoder, path, depth)
	case json.Delim('['):
		return decodeList(decoder, path, depth)
	}
	return token, nil
}

// decodeObject decodes an object whose opening brace has been read.
func decodeObject(decoder *json.Decoder, path string, depth int) (document, error) {
	doc := document{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		key, _ := token.(string) // the decoder rejects keys that are not strings
		keyPath := joinKey(path, key)
		if _, twice := doc[key]; twice {
			return nil, &DuplicateKeyError{Key: keyPath}
		}
		if doc[key], err = decodeValue(decoder, keyPath, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := decoder.Token() // the closing brace
	return doc, err
}

// decodeList decodes a list whose opening bracket has been read.
func decodeList(decoder *json.Decoder, path string, depth int) ([]any, error) {
	list := []any{}
	for decoder.More() {
		value, err := decodeValue(decoder, joinIndex(path, len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := decoder.Token() // the closing bracket
	return list, err
}

// joinKey returns the path of a key in the object at a path.
func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// joinIndex returns the path of an element in the list at a path.
func joinIndex(path string, index int) string { return path + "[" + strconv.Itoa(index) + "]" }

// lineAndColumn returns the line and column of an offset in a text. Both count from 1.
func lineAndColumn(raw []byte, offset int64) (line, column int) {
	before := raw[:min(offset, int64(len(raw)))]
	line = bytes.Count(before, []byte{'\n'}) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
