package config

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Check returns an *InvalidError if the entity is invalid regardless of the rest of the state, else nil. Replay depends on
// it, so all daemons must get the same result: if a rule changes, daemons of different software versions that run side by
// side end up with different configurations.
func Check(e Entity) error {
	path := PathOf(e)
	if reason := checkPath(path); reason != "" {
		return &InvalidError{Path: path, Reason: reason}
	}
	if reason := checkEntity(e); reason != "" {
		return &InvalidError{Path: path, Reason: reason}
	}
	return nil
}

func checkPath(path ident.Path) string {
	if len(path) > maxPathBytes {
		return fmt.Sprintf("the path is longer than %d bytes", maxPathBytes)
	}
	parts := strings.Split(string(path), "/")
	if len(parts) < 3 || parts[0] != "" {
		return "the path does not start with / and two names"
	}
	for _, part := range parts[1:] {
		if reason := checkName(part); reason != "" {
			return reason
		}
	}
	return ""
}

func checkName(name string) string {
	if name == "" {
		return "an id or a part of the path is empty"
	}
	if len(name) > maxIDBytes {
		return fmt.Sprintf("an id is longer than %d bytes", maxIDBytes)
	}
	if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f }) {
		return "an id holds a space, a slash or a control character"
	}
	return ""
}

func checkEntity(e Entity) string {
	switch e := e.(type) {
	case *Operator:
		return checkOperator(e)
	case *Organisation:
		return checkOrganisation(e)
	case *Route:
		return checkRoute(e)
	case *Upstream:
		return checkUpstream(e)
	case *Model:
		if e.BlockTokens <= 0 {
			return "blockTokens is not above 0"
		}
	case *Version:
		if e.Weights == "" || len(e.Weights) > maxTextBytes {
			return "weights is empty or too long"
		}
	case *Setting:
		return checkSetting(e)
	case *Member:
		return checkMember(e)
	case *Move:
		return checkMove(e)
	case *Key:
	}
	return ""
}

func checkOperator(e *Operator) string {
	if len(e.Grants) > maxListLength {
		return "there are too many grants"
	}
	for _, grant := range e.Grants {
		if len(grant.Subtree) > maxPathBytes {
			return "a subtree is too long"
		}
		if !strings.HasPrefix(string(grant.Subtree), "/") {
			return "a subtree does not start with /"
		}
		if grant.Role.rank() == 0 {
			return fmt.Sprintf("the role %q is none of viewer, editor and admin", grant.Role)
		}
	}
	return ""
}

func checkOrganisation(e *Organisation) string {
	if e.Rate <= 0 || e.Rate > maxRateTokens {
		return "rateTokensPerSecond is not above 0 or too large"
	}
	if e.Burst <= 0 || e.Burst > maxRateTokens {
		return "burstTokens is not above 0 or too large"
	}
	return ""
}

func checkRoute(e *Route) string {
	if e.OnKeyWithdrawal != WithdrawalFinish && e.OnKeyWithdrawal != WithdrawalCut {
		return fmt.Sprintf("onKeyWithdrawal %q is neither finish nor cut", e.OnKeyWithdrawal)
	}
	if e.Timeout < 0 {
		return "the timeout is below 0"
	}
	switch e.Kind {
	case RouteModel:
		if e.Model == "" {
			return "a route of kind model names no model"
		}
	case RoutePlain:
		return checkPlainRoute(e)
	default:
		return fmt.Sprintf("the kind %q is neither model nor plain", e.Kind)
	}
	return ""
}

func checkPlainRoute(e *Route) string {
	if !strings.HasPrefix(e.PathPrefix, "/") {
		return "the path prefix of a plain route does not start with /"
	}
	if len(e.PathPrefix) > maxPathBytes {
		return "the path prefix is too long"
	}
	if len(e.Upstreams) == 0 || len(e.Upstreams) > maxListLength {
		return "a route of kind plain names no upstream or too many"
	}
	if len(e.IdempotentMethods) > len(knownMethods) {
		return "a method is named twice"
	}
	for _, method := range e.IdempotentMethods {
		if !slices.Contains(knownMethods, method) {
			return fmt.Sprintf("%q is no HTTP method", method)
		}
	}
	return ""
}

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut,
	http.MethodDelete, http.MethodPost, http.MethodPatch,
}

func checkUpstream(e *Upstream) string {
	base, err := url.Parse(e.BaseURL)
	if len(e.BaseURL) > maxTextBytes {
		return "baseUrl is too long"
	}
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return "baseUrl is no http or https URL"
	}
	switch e.Kind {
	case UpstreamEngine:
		if e.Model == "" {
			return "an engine names no model"
		}
	case UpstreamKVStore, UpstreamPlain:
	default:
		return fmt.Sprintf("the kind %q is none of engine, kvStore and plain", e.Kind)
	}
	return ""
}

func checkSetting(e *Setting) string {
	if len(e.Value) > maxSettingBytes {
		return fmt.Sprintf("the value is longer than %d bytes", maxSettingBytes)
	}
	if !json.Valid([]byte(e.Value)) {
		return "the value is not JSON"
	}
	if !isSettingPath(e.Path) {
		return "settings live under /platform/settings or /teams/<team>/settings"
	}
	return ""
}

func isSettingPath(path ident.Path) bool {
	parts := strings.Split(string(path), "/")
	if len(parts) > 3 && parts[1] == "platform" && parts[2] == "settings" {
		return true
	}
	return len(parts) > 4 && parts[1] == "teams" && parts[3] == "settings"
}

func checkMember(e *Member) string {
	if e.Incarnation == 0 {
		return "the incarnation is 0"
	}
	switch e.State {
	case MemberJoined, MemberLeaving, MemberRemoved, MemberDead:
		return ""
	default:
		return fmt.Sprintf("the state %q is none of joined, leaving, removed and dead", e.State)
	}
}

func checkMove(e *Move) string {
	if e.From == e.To {
		return "from and to are the same version"
	}
	if e.Share < 0 || e.Share > 1000 {
		return "the share is not between 0 and 1000 thousandths"
	}
	if len(e.Routes) > maxListLength || len(e.Reason) > maxTextBytes {
		return "there are too many routes or the reason is too long"
	}
	if e.Step < 0 {
		return "the step is below 0"
	}
	switch e.State {
	case MoveRunning, MovePaused, MoveSoaking, MoveDone, MoveTakenBack:
		return ""
	default:
		return fmt.Sprintf("the state %q is no state of a move", e.State)
	}
}
