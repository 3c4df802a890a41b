package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"wallport/runtime/wire"
)

// DuplicateNames lists every name that an object anywhere in a JSON text gives twice. A decoder keeps one
// of two equal names without a word, so what an operator sent is searched before it is decoded. Text that
// is not JSON is searched up to the error, which whoever decodes it reports.
func DuplicateNames(text []byte) []wire.Finding {
	c := &collector{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	c.duplicateNames(decoder, "")
	return c.found
}

// duplicateNames searches the next value of the decoder. It reports whether the value could be read.
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
