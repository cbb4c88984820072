package admin

import (
	"context"
	"net/http"
	"strings"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

type operatorContextKey struct{}

// operatorFromContext returns the operator that requireOperator stored, nil outside authenticated requests.
func operatorFromContext(ctx context.Context) *config.Operator {
	op, _ := ctx.Value(operatorContextKey{}).(*config.Operator)
	return op
}

// requireOperator authenticates the operator and rejects requests without a valid operator key.
func (s *Server) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, err := s.authenticate(r)
		if err != nil {
			writeError(r.Context(), w, err)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, operator)))
	})
}

// authenticate returns the operator whose key is in the Authorization header. The error is an *Error.
func (s *Server) authenticate(r *http.Request) (*config.Operator, error) {
	header := r.Header.Get(headerAuthorization)
	if header == "" {
		return nil, &Error{Code: CodeKeyMissing, Message: "an operator's key is needed: Authorization: Bearer KEY"}
	}
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return nil, &Error{Code: CodeKeyInvalid, Message: "the Authorization header is not of the form Bearer KEY"}
	}
	digest := ident.DigestOf(strings.TrimSpace(key))
	if s.BootstrapOperator != nil && digest == s.BootstrapOperator.KeyDigest {
		return s.BootstrapOperator, nil
	}
	op, ok := s.State().OperatorByKey(digest)
	if !ok {
		return nil, &Error{Code: CodeKeyInvalid, Message: "the operator's key is not known"}
	}
	return op, nil
}

// checkRole returns an *Error with CodeForbidden unless the operator has the role on the path.
func checkRole(op *config.Operator, role config.Role, path ident.Path) error {
	if op.HasRole(role, path) {
		return nil
	}
	return &Error{Code: CodeForbidden, Path: path, Message: "operator " + string(op.ID) + " needs the role " + string(role) + " on " + string(path)}
}
