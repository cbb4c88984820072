package cmds

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// maxLogLineBytes is the longest line of a log that can be read, in bytes.
const maxLogLineBytes = 1 << 20

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:     "explain REQUEST-ID [LOG...]",
		Short:   "Tell a request's way from the logs of one or more daemons (standard input without files)",
		Example: "  gooseberryway explain 0591dd12d8af5edc daemon-*.log",
		Args:    withUsageError(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:], args[0])
			if err != nil {
				return err
			}
			return explain(cmd.OutOrStdout(), args[0], lines)
		},
	}
}

// UnknownRequestError reports that the logs have no line about the request.
type UnknownRequestError struct {
	ID string
}

func (e *UnknownRequestError) Error() string { return "no line on request " + e.ID }

// logLine is a parsed line of a daemon's structured log (klog).
type logLine struct {
	time, message string
	fields        map[string]string
}

var (
	logLinePattern  = regexp.MustCompile(`[IWEF]\d{4} (\d\d:\d\d:\d\d\.\d+)\s+\d+ \S+\] "((?:[^"\\]|\\.)*)"(.*)`)
	logFieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// parseLogLine parses a line. It returns false if the line is not a structured klog line.
func parseLogLine(text string) (logLine, bool) {
	m := logLinePattern.FindStringSubmatch(text)
	if m == nil {
		return logLine{}, false
	}
	l := logLine{time: m[1], message: m[2], fields: map[string]string{}}
	for _, f := range logFieldPattern.FindAllStringSubmatch(m[3], -1) {
		l.fields[f[1]] = strings.Trim(f[2], `"`)
	}
	return l, true
}

// readLogs returns the lines about a request from the files, sorted by time. Without files it reads in and keeps its order.
func readLogs(in io.Reader, files []string, id string) ([]logLine, error) {
	if len(files) == 0 {
		return scanLog(in, id)
	}
	var all []logLine
	for _, name := range files {
		f, err := os.Open(name) // #nosec G304 -- the operator names the file.
		if err != nil {
			return nil, &UsageError{Err: err}
		}
		lines, err := scanLog(f, id)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	return all, nil
}

func scanLog(in io.Reader, id string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), id) {
			continue
		}
		if l, ok := parseLogLine(scanner.Text()); ok && l.fields["request"] == id {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func explain(out io.Writer, id string, lines []logLine) error {
	if len(lines) == 0 {
		return &UnknownRequestError{ID: id}
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(out, "%s  %s\n", l.time, describeLine(l)); err != nil {
			return err
		}
	}
	return nil
}

// cacheSourceTexts describes the values of the log key cached: where the prefix of the prompt is cached.
var cacheSourceTexts = map[string]string{
	"none":    "it shares no prompt",
	"here":    "which holds its prompt",
	"engine":  "which fetches its prompt from another engine",
	"store":   "which fetches its prompt from the KV cache store",
	"nowhere": "which reads its prompt for the first time",
	"stray":   "which reads its prompt although another engine did",
}

// describeOldWeights tells from the fields of a sent request that it asked for a version that had been replaced.
func describeOldWeights(f map[string]string) string {
	if f["replacedMs"] == "" || f["replacedMs"] == "0" {
		return ""
	}
	known := "observed"
	if f["namedObserved"] != "true" {
		known = "estimated"
	}
	return fmt.Sprintf(" Its weights, version %s, were replaced %s ms before; version %s was named %s ms before (%s, record %s).",
		f["weights"], f["replacedMs"], f["named"], f["namedAgeMs"], known, f["namedOffset"])
}

// describeLine describes a log line in a sentence. A message that it does not know is returned with its fields.
func describeLine(l logLine) string {
	f := l.fields
	switch l.message {
	case "Request sent":
		return fmt.Sprintf("Attempt %s went to %s, %s; some %s tokens of work were ahead, %s ms were left.%s",
			f["attempt"], f["upstream"], cacheSourceTexts[f["cached"]], f["cost"], f["leftMs"], describeOldWeights(f))
	case "Request over its organisation's limit":
		return fmt.Sprintf("Organisation %s was over its limit: the request costs %s, %s were left over all daemons.",
			f["organisation"], f["cost"], f["balance"])
	case "No upstream takes the request":
		return fmt.Sprintf("No upstream took it (%s); the caller may come back after %s ms.", f["reason"], f["retryAfterMs"])
	case "Upstream refused":
		return fmt.Sprintf("%s did not run it (status %s).", f["upstream"], f["status"])
	case "Upstream failed":
		return fmt.Sprintf("%s ran it and failed (status %s).", f["upstream"], f["status"])
	case "Attempt failed":
		return fmt.Sprintf("No answer came from %s: %s (sent: %s).", f["upstream"], f["error"], f["sent"])
	case "Request began on replaced weights":
		return fmt.Sprintf("%s began it after %s ms on version %s, which had been replaced %s ms before; %s ms were expected, %s at most.",
			f["upstream"], f["waitMs"], f["weights"], f["replacedMs"], f["estimatedMs"], f["longestMs"])
	case "Request called back from replaced weights":
		return fmt.Sprintf("%s had not begun it after %s ms, and its weights, version %s, neared their limit: it was called back; it may run again: %s.",
			f["upstream"], f["waitMs"], f["weights"], f["repeatable"])
	case "Upstream of an attempt silent", "Peer of an attempt silent":
		return explainSilence(f)
	case "Success without a signature":
		return fmt.Sprintf("%s sent a success (status %s) that lacks its signature, which is no answer.", cmp.Or(f["upstream"], f["peer"]), f["status"])
	case "Request tried elsewhere before the stop":
		return fmt.Sprintf("Its upstream was silent and the daemon about to stop: %s was asked as well (answered: %s).", f["upstream"], f["answered"])
	case "Stop ends request":
		return fmt.Sprintf("It was still open when the daemon stopped; it came %s ms after the signal, and was expected to take %s ms (%s answers known).",
			f["arrivedAfterSignalMs"], f["takesMs"], f["samples"])
	case "Stream broke", "Answer broke":
		if f["gone"] == "true" {
			return fmt.Sprintf("The caller's connection ended while %s answered; it has events up to %q.", f["upstream"], f["lastEvent"])
		}
		return fmt.Sprintf("The answer of %s broke off: %s.", f["upstream"], f["error"])
	case "Answer to another request":
		if f["rejection"] == "true" {
			return fmt.Sprintf("%s sent an earlier refusal once more (status %s); it may run there.", f["upstream"], f["status"])
		}
		return fmt.Sprintf("%s answered request %s instead; the answer was thrown away.", f["upstream"], f["got"])
	case "Status of an upstream that would promise too much":
		return fmt.Sprintf("%s answered with status %s without saying that it has not run; it may have.", f["upstream"], f["status"])
	case "Request passed on":
		return fmt.Sprintf("No upstream of %s could be reached from here; it went to %s, with %s ms left.", f["service"], f["peer"], f["leftMs"])
	case "Peer answered":
		if f["refusal"] != "" {
			return fmt.Sprintf("%s refused it with status %s: %s.", f["peer"], f["status"], f["refusal"])
		}
		return fmt.Sprintf("%s answered after %s ms with status %s.", f["peer"], f["sinceSentMs"], f["status"])
	case "Peer did not answer", "Answer of a peer broke":
		return fmt.Sprintf("No whole answer came from %s: %s.", f["peer"], f["error"])
	case "Request has quarantined prompt parts":
		if strings.HasPrefix(f["reason"], "request ") {
			return fmt.Sprintf("It crashes the upstreams that begin it: %s.", f["reason"])
		}
		return fmt.Sprintf("It has prompt parts that crash upstreams: %s.", f["reason"])
	case "Request ended":
		return fmt.Sprintf("It ended after %s ms with status %s: %s (first byte after %s ms, attempts %s, configuration %s, patience %s ms).",
			f["totalMs"], f["status"], f["outcome"], f["firstMs"], f["attempts"], f["config"], f["patienceMs"])
	default:
		return fmt.Sprintf("%s %v", l.message, f)
	}
}

// explainSilence explains a line on an upstream or peer that sends nothing.
func explainSilence(f map[string]string) string {
	who := cmp.Or(f["upstream"], f["peer"])
	if f["givenUp"] == "true" {
		return fmt.Sprintf("%s had fallen silent: another attempt was secured and this one given up.", who)
	}
	return fmt.Sprintf("%s had fallen silent and was waited for, as no other attempt could follow (%s).", who, f["obstacle"])
}
