package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"wallport/runtime/wire"
)

// DuplicateNames returns a finding for every duplicate name in an object, at any depth of a JSON text. A decoder
// silently keeps only one of two members with the same name, so operators' input is searched before it is
// decoded. Invalid JSON is searched up to the error, which is reported when the text is decoded.
func DuplicateNames(text []byte) []wire.Finding {
	c := &collector{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	c.duplicateNames(decoder, "")
	return c.found
}

// duplicateNames searches the next value of the decoder. It returns false if the value is not valid JSON.
func (c *collector) duplicateNames(decoder *json.Decoder, path string) bool {
	token, err := decoder.Token()
	if err != nil {
		return false
	}
	switch token {
	case json.Delim('{'):
		seen := map[string]bool{}
		for decoder.More() {
			key, err := decoder.Token()
			if err != nil {
				return false
			}
			name, namePath := key.(string), path
			if namePath != "" {
				namePath += "."
			}
			namePath += name
			if seen[name] {
				c.add(namePath, "is given twice")
			}
			seen[name] = true
			if !c.duplicateNames(decoder, namePath) {
				return false
			}
		}
	case json.Delim('['):
		for i := 0; decoder.More(); i++ {
			if !c.duplicateNames(decoder, fmt.Sprintf("%s[%d]", path, i)) {
				return false
			}
		}
	default:
		return true
	}
	_, err = decoder.Token()
	return err == nil
}
