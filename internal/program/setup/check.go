package setup

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// idPattern restricts ids to characters that need no escaping in configuration paths and metrics.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

var settingsValidator = newSettingsValidator()

func newSettingsValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	registerStringRule(v, "id", idPattern.MatchString)
	registerStringRule(v, "ipport", isIPPort)
	registerStringRule(v, "ipurl", isIPURL)
	registerRule(v, "risesTo", risesToParameter)
	return v
}

func registerStringRule(v *validator.Validate, tag string, ok func(string) bool) {
	registerRule(v, tag, func(fl validator.FieldLevel) bool { return ok(fl.Field().String()) })
}

func registerRule(v *validator.Validate, tag string, ok validator.Func) {
	if err := v.RegisterValidation(tag, ok); err != nil {
		panic(err)
	}
}

// risesToParameter reports whether a list of integers is strictly increasing, begins above 0 and ends with the parameter of
// the tag.
func risesToParameter(fl validator.FieldLevel) bool {
	end, err := strconv.ParseInt(fl.Param(), 10, 64)
	if err != nil {
		return false
	}
	last := int64(0)
	for i := range fl.Field().Len() {
		n := fl.Field().Index(i).Int()
		if n <= last {
			return false
		}
		last = n
	}
	return last == end
}

func isIPPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func isIPURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	_, err = netip.ParseAddr(u.Hostname())
	return err == nil
}

// Validate checks a settings struct against its validation tags and returns every problem.
func Validate(s any) []Problem {
	err := settingsValidator.Struct(s)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil
	}
	problems := make([]Problem, 0, len(invalid))
	for _, fe := range invalid {
		_, path, _ := strings.Cut(fe.Namespace(), ".")
		problems = append(problems, Problem{Path: path, Reason: violationReason(fe)})
	}
	return problems
}

func violationReason(fe validator.FieldError) string {
	switch fe.Tag() {
	case "required":
		return "is missing, a value is needed"
	case "required_with":
		return "is missing, it is needed beside " + fe.Param()
	case "oneof":
		return fmt.Sprintf("is %q, allowed are %s", fe.Value(), strings.Join(strings.Fields(fe.Param()), ", "))
	case "risesTo":
		return fmt.Sprintf("is %v, numbers above 0 that rise to %s are needed", fe.Value(), fe.Param())
	case "min", "max":
		if fe.Kind() == reflect.Slice {
			return fmt.Sprintf("has the wrong length, the %simum is %s", fe.Tag(), fe.Param())
		}
		return fmt.Sprintf("is %v, the %simum is %s", fe.Value(), fe.Tag(), fe.Param())
	case "id":
		return fmt.Sprintf("is %q, allowed are letters, digits, dot, underscore and hyphen, beginning with a letter or digit", fe.Value())
	case "ipport":
		return fmt.Sprintf("is %q, an IP number with a port is needed, such as 127.0.0.1:8080", fe.Value())
	case "ipurl":
		return fmt.Sprintf("is %q, an http or https URL by IP number is needed, such as http://127.0.0.1:9000", fe.Value())
	case "file":
		return fmt.Sprintf("is %q, an existing file is needed", fe.Value())
	case "len":
		return fmt.Sprintf("has the wrong length, %s characters are needed", fe.Param())
	default:
		return fmt.Sprintf("does not satisfy %s %s", fe.Tag(), fe.Param())
	}
}

// checkCombinations returns the problems of settings that are valid each, but not in combination.
func checkCombinations(s *Settings) []Problem {
	var problems []Problem
	problems = append(problems, checkAddressesDiffer("listen", s.Listen)...)
	problems = append(problems, checkAddressesDiffer("advertise", s.Advertise)...)
	if !s.TLS.Peers.Enabled() {
		problems = append(problems, checkPeersWithoutTLS(s)...)
	}
	if s.TLS.Peers.Enabled() && s.TLS.Peers.CAFile == "" {
		problems = append(problems, Problem{Path: "tls.peers.caFile", Reason: "is missing, daemons check each other's certificates against it"})
	}
	if !s.TLS.Admin.Enabled() && !isLoopback(s.Listen.Admin) {
		problems = append(problems, Problem{Path: "tls.admin", Reason: "is missing, without TLS only a loopback address is allowed for listen.admin"})
	}
	if s.Limits.AdmitWaitMs > s.Limits.RequestTimeoutMs {
		problems = append(problems, Problem{Path: "limits.admitWaitMs", Reason: "is above limits.requestTimeoutMs, so waiting requests could never run"})
	}
	return problems
}

// checkPeersWithoutTLS allows daemons to talk in plain text only with a shared token and on loopback addresses.
func checkPeersWithoutTLS(s *Settings) []Problem {
	if s.SharedToken == "" {
		return []Problem{{Path: "tls.peers", Reason: "is missing, daemons need TLS certificates or, on loopback, sharedToken"}}
	}
	if !isLoopback(s.Listen.Peers) || !isLoopback(s.Advertise.Peers) {
		return []Problem{{Path: "sharedToken", Reason: "is allowed on loopback addresses only, use tls.peers"}}
	}
	return nil
}

// checkAddressesDiffer reports listeners with the same address. Port 0 stands for any free port and never conflicts.
func checkAddressesDiffer(path string, a Addresses) []Problem {
	seen := map[string]string{}
	var problems []Problem
	for _, entry := range []struct{ name, addr string }{{"callers", a.Callers}, {"peers", a.Peers}, {"admin", a.Admin}} {
		if strings.HasSuffix(entry.addr, ":0") {
			continue
		}
		if first, taken := seen[entry.addr]; taken {
			problems = append(problems, Problem{Path: path + "." + entry.name, Reason: fmt.Sprintf("is the same address as %s.%s, each listener needs its own", path, first)})
		}
		seen[entry.addr] = entry.name
	}
	return problems
}

func isLoopback(addr string) bool {
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Addr().IsLoopback()
}

func sortedKeys(m map[string]any) []string {
	return slices.Sorted(maps.Keys(m))
}
