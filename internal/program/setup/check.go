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

// idPattern is what ids may look like: they occur in paths of the configuration and in metrics.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	register(v, "id", idPattern.MatchString)
	register(v, "ipport", isIPPort)
	register(v, "ipurl", isIPURL)
	registerField(v, "risesTo", risesTo)
	return v
}

func register(v *validator.Validate, tag string, ok func(string) bool) {
	registerField(v, tag, func(fl validator.FieldLevel) bool { return ok(fl.Field().String()) })
}

func registerField(v *validator.Validate, tag string, ok validator.Func) {
	if err := v.RegisterValidation(tag, ok); err != nil {
		panic(err)
	}
}

// risesTo reports whether a list of whole numbers rises from above 0 to the parameter.
func risesTo(fl validator.FieldLevel) bool {
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

// Validate checks the tags of a settings struct and returns every fault.
func Validate(s any) []Problem {
	err := checker.Struct(s)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil
	}
	faults := make([]Problem, 0, len(invalid))
	for _, fe := range invalid {
		_, path, _ := strings.Cut(fe.Namespace(), ".")
		faults = append(faults, Problem{Path: path, Reason: describe(fe)})
	}
	return faults
}

func describe(fe validator.FieldError) string {
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

// checkCombinations checks settings that are only wrong together.
func checkCombinations(s *Settings) []Problem {
	var faults []Problem
	faults = append(faults, checkAddresses("listen", s.Listen)...)
	faults = append(faults, checkAddresses("advertise", s.Advertise)...)
	if !s.TLS.Peers.Enabled() {
		faults = append(faults, checkPlainPeers(s)...)
	}
	if s.TLS.Peers.Enabled() && s.TLS.Peers.CAFile == "" {
		faults = append(faults, Problem{Path: "tls.peers.caFile", Reason: "is missing, daemons check each other's certificates against it"})
	}
	if !s.TLS.Admin.Enabled() && !isLoopback(s.Listen.Admin) {
		faults = append(faults, Problem{Path: "tls.admin", Reason: "is missing, without TLS only a loopback address is allowed for listen.admin"})
	}
	if s.Limits.AdmitWaitMs > s.Limits.RequestTimeoutMs {
		faults = append(faults, Problem{Path: "limits.admitWaitMs", Reason: "is above limits.requestTimeoutMs, so waiting requests could never run"})
	}
	return faults
}

func checkPlainPeers(s *Settings) []Problem {
	if s.SharedToken == "" {
		return []Problem{{Path: "tls.peers", Reason: "is missing, daemons need TLS certificates or, on loopback, sharedToken"}}
	}
	if !isLoopback(s.Listen.Peers) || !isLoopback(s.Advertise.Peers) {
		return []Problem{{Path: "sharedToken", Reason: "is allowed on loopback addresses only, use tls.peers"}}
	}
	return nil
}

func checkAddresses(path string, a Addresses) []Problem {
	seen := map[string]string{}
	var faults []Problem
	for _, entry := range []struct{ name, addr string }{{"callers", a.Callers}, {"peers", a.Peers}, {"admin", a.Admin}} {
		if strings.HasSuffix(entry.addr, ":0") {
			continue
		}
		if first, taken := seen[entry.addr]; taken {
			faults = append(faults, Problem{Path: path + "." + entry.name, Reason: fmt.Sprintf("is the same address as %s.%s, each listener needs its own", path, first)})
		}
		seen[entry.addr] = entry.name
	}
	return faults
}

func isLoopback(addr string) bool {
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Addr().IsLoopback()
}

func sortedKeys(m map[string]any) []string {
	return slices.Sorted(maps.Keys(m))
}
