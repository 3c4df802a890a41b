package settings

import (
	"bufio"
	"fmt"
	"os"
	"strings"
)

// textFields maps the keys of the file to the string fields that they set.
func (s *Settings) textFields() map[string]*string {
	return map[string]*string{
		"name": &s.Name, "zone": &s.Zone, "mesh": &s.Mesh, "mesh-listen": &s.MeshListen,
		"caller": &s.Caller, "operator": &s.Operator, "data": &s.DataDir, "platform": &s.PlatformURL,
		"operator-token": &s.OperatorToken, "operator-tokens": &s.OperatorTokensFile,
		"fleet-secret": &s.FleetSecret, "fleet-secret-too": &s.SecondFleetSecret,
	}
}

// readFile sets the fields that the flags left empty from the lines of EnvFile, and returns the errors that
// it finds in the file. Each key may occur only once, except seed; seeds in the file are ignored if the flags
// set any.
func (s *Settings) readFile() (found Findings) {
	f, err := os.Open(s.EnvFile)
	if err != nil {
		return Findings{{s.EnvFile, err.Error()}}
	}
	defer f.Close()
	firstLine := map[string]int{}
	useFileSeeds := len(s.Seeds) == 0
	fields := s.textFields()
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		location := fmt.Sprintf("%s:%d", s.EnvFile, n)
		key, value, ok := strings.Cut(line, "=")
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		if !ok {
			found = append(found, Finding{location, "not a key=value line"})
			continue
		}
		if key == "seed" {
			if useFileSeeds {
				s.Seeds = append(s.Seeds, value)
			}
			continue
		}
		field, known := fields[key]
		if !known {
			found = append(found, Finding{location, "unknown key " + key})
			continue
		}
		if first := firstLine[key]; first > 0 {
			found = append(found, Finding{location, fmt.Sprintf("duplicate key %s: already set on line %d", key, first)})
			continue
		}
		firstLine[key] = n
		if *field == "" {
			*field = value
		}
	}
	if err := lines.Err(); err != nil {
		found = append(found, Finding{s.EnvFile, err.Error()})
	}
	return found
}
