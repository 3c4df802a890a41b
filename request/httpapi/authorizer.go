package httpapi

import (
	"crypto/subtle"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wallport/api/configpb"
	"wallport/control/config"
	"wallport/gen/operator"
	"wallport/runtime/process"
)

// tokensPollInterval is the time between two looks at the tokens file.
const tokensPollInterval = time.Second

// authorizer decides what the bearer of an operator token may do: everything with the one token of the settings, or what
// the scopes in a tokens file permit. The file takes effect without a restart; one with faults changes nothing.
type authorizer struct {
	process  *process.Process
	file     string
	lastRead string
	tokens   atomic.Pointer[configpb.Tokens]
}

// openAuthorizer reads the tokens file, if the settings name one, and watches it until over is closed. A file with faults is an
// error: the process does not start.
func openAuthorizer(p *process.Process, over <-chan struct{}) (*authorizer, error) {
	a := &authorizer{process: p, file: p.Kernel.Boot.Settings.OperatorTokensFile}
	if a.file == "" {
		return a, nil
	}
	if err := a.read(); err != nil {
		return nil, err
	}
	go func() {
		for {
			select {
			case <-over:
				return
			case <-time.After(tokensPollInterval):
			}
			if err := a.read(); err != nil {
				p.Log.Warn("operator_tokens_kept", zap.String("file", a.file), zap.Error(err))
			}
		}
	}()
	return a, nil
}

// read takes the tokens of the file, if it changed and has no faults.
func (a *authorizer) read() error {
	content, err := os.ReadFile(a.file)
	if err != nil {
		return err
	}
	if string(content) == a.lastRead {
		return nil
	}
	tokens, found := config.ReadTokens(content)
	a.lastRead = string(content)
	if len(found) > 0 {
		return tokenFaults(a.file, found)
	}
	a.tokens.Store(tokens)
	a.process.Log.Info("operator_tokens", zap.String("file", a.file), zap.Int("tokens", len(tokens.Tokens)))
	return nil
}

// authorize returns whose a token is, or a failure where it does not grant a scope over the indexes. The name is empty
// for the one token of the settings, and where no token is set at all.
func (a *authorizer) authorize(token *string, scope string, indexes []string) (string, error) {
	got := []byte(strings.TrimPrefix(deref(token), "Bearer "))
	matches := func(want string) bool { return want != "" && subtle.ConstantTimeCompare([]byte(want), got) == 1 }
	settingsToken, list := a.process.Kernel.Boot.Settings.OperatorToken, a.tokens.Load()
	if settingsToken == "" && list == nil || matches(settingsToken) {
		return "", nil
	}
	var matched *configpb.Token
	for _, t := range list.GetTokens() {
		if matches(t.Token) {
			matched = t
		}
	}
	a.process.Kernel.Counts.Add("operator_forbidden", 1)
	switch {
	case matched == nil:
		return "", newFailure(FailureForbidden, "the operator token is missing or wrong")
	case matched.Scope == config.ScopeAll, scope == config.ScopeRead:
	case scope == config.ScopeAll || matched.Scope == config.ScopeRead:
		return "", outOfScope(matched, scope)
	default:
		for _, index := range indexes {
			if !slices.Contains(matched.Indexes, index) {
				return "", outOfScope(matched, scope+" of the index "+index)
			}
		}
	}
	a.process.Kernel.Counts.Add("operator_forbidden", -1)
	return matched.Who, nil
}

// outOfScope returns the failure of a token that lacks a scope.
func outOfScope(t *configpb.Token, scope string) *operator.Failure {
	return newFailure(FailureOutOfScope, "the token of "+t.Who+" has the scope "+t.Scope+" and lacks "+scope)
}
