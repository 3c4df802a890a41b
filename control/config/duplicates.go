// Names given twice: a decoder keeps one of two equal names and says nothing, so
// what an operator sent is looked through before anything decodes it.

package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"wallport/runtime/wire"
)

// DuplicateNames lists every name that an object anywhere in a JSON text gives twice.
// A text that is no JSON has none: whoever decodes it says so.
func DuplicateNames(body []byte) []wire.Finding {
	f := &collector{}
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	f.duplicateNames(d, "")
	return f.found
}

func (f *collector) duplicateNames(d *json.Decoder, place string) bool {
	tok, err := d.Token()
	if err != nil {
		return false
	}
	switch tok {
	case json.Delim('{'):
		seen := map[string]bool{}
		for d.More() {
			k, err := d.Token()
			if err != nil {
				return false
			}
			name, at := k.(string), place
			if at != "" {
				at += "."
			}
			at += name
			if seen[name] {
				f.add(at, "is given twice")
			}
			seen[name] = true
			if !f.duplicateNames(d, at) {
				return false
			}
		}
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			if !f.duplicateNames(d, fmt.Sprintf("%s[%d]", place, i)) {
				return false
			}
		}
	default:
		return true
	}
	_, err = d.Token()
	return err == nil
}
