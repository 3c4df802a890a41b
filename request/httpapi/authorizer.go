// Who may do what on the operator API: one token for everything (--operator-token), or
// a file of tokens with scopes (--operator-tokens), which is looked at every second and
// takes effect without a restart. A file with faults changes nothing.

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

type authorizer struct {
	process  *process.Process
	file     string
	lastRead string
	tokens   atomic.Pointer[configpb.Tokens]
}

// openAuthorizer reads the file before anything is served: one with faults ends the start.
func openAuthorizer(p *process.Process, over <-chan struct{}) (*authorizer, error) {
	s := &authorizer{process: p, file: p.Kernel.Boot.Settings.OperatorTokensFile}
	if s.file == "" {
		return s, nil
	}
	if err := s.read(); err != nil {
		return nil, err
	}
	go func() {
		for {
			select {
			case <-over:
				return
			case <-time.After(time.Second):
			}
			if err := s.read(); err != nil {
				p.Log.Warn("operator_tokens_kept", zap.String("file", s.file), zap.String("why", err.Error()))
			}
		}
	}()
	return s, nil
}

// read takes the file's tokens if it changed and has no faults.
func (s *authorizer) read() error {
	b, err := os.ReadFile(s.file)
	if err != nil {
		return err
	}
	if string(b) == s.lastRead {
		return nil
	}
	t, found := config.ReadTokens(b)
	s.lastRead = string(b)
	if len(found) > 0 {
		return tokenFaults(s.file, found)
	}
	s.tokens.Store(t)
	s.process.Log.Info("operator_tokens", zap.String("file", s.file), zap.Int("tokens", len(t.Tokens)))
	return nil
}

// authorize tells who a token is, or why it may not do what needs a scope over some indexes.
func (s *authorizer) authorize(token *string, scope string, indexes []string) (string, error) {
	got := []byte(strings.TrimPrefix(deref(token), "Bearer "))
	same := func(want string) bool { return want != "" && subtle.ConstantTimeCompare([]byte(want), got) == 1 }
	master, list := s.process.Kernel.Boot.Settings.OperatorToken, s.tokens.Load()
	if master == "" && list == nil || same(master) {
		return "", nil
	}
	var mine *configpb.Token
	for _, t := range list.GetTokens() {
		if same(t.Token) {
			mine = t
		}
	}
	s.process.Kernel.Counts.Add("operator_forbidden", 1)
	switch {
	case mine == nil:
		return "", newFailure("forbidden", "the operator token is missing or wrong")
	case mine.Scope == config.ScopeAll, scope == config.ScopeRead:
	case scope == config.ScopeAll || mine.Scope == config.ScopeRead:
		return "", outOfScope(mine, scope)
	default:
		for _, x := range indexes {
			if !slices.Contains(mine.Indexes, x) {
				return "", outOfScope(mine, scope+" of the index "+x)
			}
		}
	}
	s.process.Kernel.Counts.Add("operator_forbidden", -1)
	return mine.Who, nil
}

func outOfScope(t *configpb.Token, scope string) *operator.Failure {
	return newFailure("out_of_scope", "the token of "+t.Who+" has the scope "+t.Scope+" and lacks "+scope)
}
