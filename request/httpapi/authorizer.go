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

// tokensPollInterval is the interval at which the tokens file is checked for changes.
const tokensPollInterval = time.Second

// authorizer decides what the bearer of an operator token may do. The token in the settings permits everything. A token
// in the tokens file permits what its scope covers. Changes of the file take effect without a restart. If a changed file
// is invalid, the current tokens stay valid.
type authorizer struct {
	process  *process.Process
	file     string
	lastRead string
	tokens   atomic.Pointer[configpb.Tokens]
}

// openAuthorizer reads the tokens file, if the settings name one, and watches it until over is closed. It returns an
// error for an invalid file, which keeps the process from starting.
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

// read loads the tokens of the file if it has changed. It returns an error, and keeps the current tokens, if the file is
// invalid.
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

// authorize returns the name of a token's holder, or a failure if the token does not grant the scope on the indexes. The
// name is empty for the token in the settings, and if no token is configured at all.
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

// outOfScope returns the failure for a token that does not grant the required scope.
func outOfScope(t *configpb.Token, scope string) *operator.Failure {
	return newFailure(FailureOutOfScope, "the token of "+t.Who+" has the scope "+t.Scope+" and lacks "+scope)
}
