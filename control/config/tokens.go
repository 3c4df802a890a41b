package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"wallport/api/configpb"
	"wallport/runtime/wire"
)

// Scopes of an operator's token. Each scope includes the permissions of the previous one.
const (
	// ScopeRead permits reading everything.
	ScopeRead = "read"
	// ScopeRows permits editing the rows of the indexes listed in the token.
	ScopeRows = "rows"
	// ScopeAll permits everything.
	ScopeAll = "all"
)

const minTokenBytes = 8

// ReadTokens decodes and checks the file of the operators' tokens. Even if there are findings, it returns the
// tokens that could be decoded.
func ReadTokens(body []byte) (*configpb.Tokens, []wire.Finding) {
	c := &collector{found: DuplicateNames(body)}
	tokens := new(configpb.Tokens)
	var file struct {
		Tokens []json.RawMessage `json:"tokens"`
	}
	if err := json.Unmarshal(body, &file); err != nil {
		c.add("tokens", "cannot be read: %v", err)
		return tokens, c.found
	}
	seen := map[string]int{}
	for i, text := range file.Tokens {
		path := fmt.Sprintf("tokens[%d]", i)
		token := new(configpb.Token)
		c.row(path, text, token)
		tokens.Tokens = append(tokens.Tokens, token)
		c.checkToken(path, token, seen)
		seen[token.Token] = i
	}
	if len(file.Tokens) == 0 {
		c.add("tokens", "at least one is needed: without tokens no operator could do anything")
	}
	return tokens, c.found
}

// checkToken checks one token. seen maps the preceding tokens to their positions in the file.
func (c *collector) checkToken(path string, token *configpb.Token, seen map[string]int) {
	if len(token.Token) < minTokenBytes {
		c.add(path+".token", "must have at least %d characters", minTokenBytes)
	} else if first, duplicate := seen[token.Token]; duplicate {
		c.add(path+".token", "is the same as the token of tokens[%d]", first)
	}
	if token.Who == "" {
		c.add(path+".who", "is needed for the audit")
	}
	if !slices.Contains([]string{ScopeRead, ScopeRows, ScopeAll}, token.Scope) {
		c.add(path+".scope", "%q is not one of read, rows, all", token.Scope)
	}
	if (token.Scope == ScopeRows) != (len(token.Indexes) > 0) {
		c.add(path+".indexes", "must be listed if the scope is rows, and only then")
	}
}
