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

type scopes struct {
	p    *process.Process
	file string
	last string
	now  atomic.Pointer[configpb.Tokens]
}

// openScopes reads the file before anything is served: one with faults ends the start.
func openScopes(p *process.Process, over <-chan struct{}) (*scopes, error) {
	s := &scopes{p: p, file: p.Kernel.Boot.Settings.OperatorTokensFile}
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
func (s *scopes) read() error {
	b, err := os.ReadFile(s.file)
	if err != nil {
		return err
	}
	if string(b) == s.last {
		return nil
	}
	t, found := config.ReadTokens(b)
	s.last = string(b)
	if len(found) > 0 {
		return tokenFaults(s.file, found)
	}
	s.now.Store(t)
	s.p.Log.Info("operator_tokens", zap.String("file", s.file), zap.Int("tokens", len(t.Tokens)))
	return nil
}

// may tells who a token is, or why it may not do what needs a scope over some indexes.
func (s *scopes) may(token *string, scope string, indexes []string) (string, error) {
	got := []byte(strings.TrimPrefix(deref(token), "Bearer "))
	same := func(want string) bool { return want != "" && subtle.ConstantTimeCompare([]byte(want), got) == 1 }
	master, list := s.p.Kernel.Boot.Settings.OperatorToken, s.now.Load()
	if master == "" && list == nil || same(master) {
		return "", nil
	}
	var mine *configpb.Token
	for _, t := range list.GetTokens() {
		if same(t.Token) {
			mine = t
		}
	}
	s.p.Kernel.Counts.Add("operator_forbidden", 1)
	switch {
	case mine == nil:
		return "", fail("forbidden", "the operator token is missing or wrong")
	case mine.Scope == config.ScopeAll, scope == config.ScopeRead:
	case scope == config.ScopeAll || mine.Scope == config.ScopeRead:
		return "", lacks(mine, scope)
	default:
		for _, x := range indexes {
			if !slices.Contains(mine.Indexes, x) {
				return "", lacks(mine, scope+" of the index "+x)
			}
		}
	}
	s.p.Kernel.Counts.Add("operator_forbidden", -1)
	return mine.Who, nil
}

func lacks(t *configpb.Token, scope string) *operator.Failure {
	return fail("out_of_scope", "the token of "+t.Who+" has the scope "+t.Scope+" and lacks "+scope)
}
