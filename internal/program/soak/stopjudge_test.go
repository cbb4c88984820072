package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const (
	// lossSlack is how long after its last byte a request that is not passed on may wait for its answer in a planned stop.
	lossSlack = 200 * time.Millisecond
	// sentInStop is how long after SIGTERM a request may come whose answer may be cut at the end.
	sentInStop = 3 * time.Second
	// applyTime is how long daemons may take to apply changed settings.
	applyTime = 2 * time.Second
	// expirySlack is how much earlier than its deadline an answer may end, as upstreams get the time that is left in whole milliseconds.
	expirySlack = 10 * time.Millisecond
	// maxCutInTouch is how many requests on kept connections daemons may pass on and leave without an answer while nothing disturbs them.
	maxCutInTouch = 3
)

// outcome is what became of a request around a planned stop.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeRefused  outcome = "refused"
	outcomeCrossed  outcome = "closed before it was passed on"
	outcomeExcused  outcome = "cut, excused"
	outcomeCut      outcome = "cut without a stop"
	outcomeLost     outcome = "lost"
)

// judge checks each answer against what the upstreams recorded.
func (s *stopRun) judge() {
	runs, signed := s.stopRuns()
	s.checkRuns(runs)
	counts, mixed, passedOn := map[outcome]int{}, 0, 0
	inTouch := 0
	for _, q := range s.calls {
		if why := q.mixed(signed); why != "" {
			mixed++
			s.reportViolation("%s: request %s", why, s.describe(q, runs[q.id]))
		}
		o, why := s.outcome(q, runs[q.id])
		at, stopping := lastBefore(s.terms[q.daemon], q.endedAt)
		if o == outcomeCut {
			if q.reused && len(runs[q.id]) > 0 && q.daemon.undisturbedAt(q.endedAt, stabilityWindow+q.endedAt.Sub(q.startedAt)) {
				inTouch++
			}
			s.cluster.t.Logf("seed %d: cut without a stop: %s", s.seed, s.describe(q, runs[q.id]))
		}
		if stopping && q.endedAt.Sub(at) <= stopGrace+time.Second || o != outcomeAnswered && o != outcomeRefused {
			counts[o]++
			if len(runs[q.id]) > 0 {
				passedOn++
			}
		}
		if o == outcomeLost && !s.bad {
			s.reportViolation("lost (%s): request %s", why, s.describe(q, runs[q.id]))
		}
	}
	if inTouch > maxCutInTouch && !s.bad {
		s.reportViolation("%d requests to undisturbed daemons got no answer, see above", inTouch)
	}
	stops := 0
	for _, all := range s.terms {
		stops += len(all)
	}
	s.cluster.t.Logf("seed %d: %d stops, %d requests, %d served; around stops %v, %d of them passed on; %d mixed",
		s.seed, stops, len(s.calls), s.served.Load(), counts, passedOn, mixed)
}

// stopRuns returns the runs of all upstreams by the ids of their requests and by the signatures of their answers.
func (s *stopRun) stopRuns() (byID map[string][]run, signed map[string]string) {
	byID, signed = map[string][]run{}, map[string]string{}
	for _, u := range s.upstreams {
		executions, keys := u.Runs()
		if keys > 0 {
			s.reportViolation("an upstream received the keys of %d requests", keys)
		}
		for id, all := range executions {
			for _, e := range all {
				if id != "" && e.Body != "" && e.Body != "body of "+id {
					s.reportViolation("request %s ran with body %.60q", id, e.Body)
				}
				byID[id] = append(byID[id], run{e, &disturbances{}})
				signed[e.Signature] = id
			}
		}
	}
	delete(byID, "")
	return byID, signed
}

// sound reports whether the upstream answers the request in full and as the protocol says.
func (q *call) sound() bool {
	return q.script.Form != standin.FormEarlyReset && !slices.Contains(standin.MalformedForms, q.script.Form)
}

// mixed returns what makes the answer one that the caller must not get; empty if nothing does.
func (q *call) mixed(signed map[string]string) string {
	success := q.status/100 == 2
	switch {
	case q.junk:
		return "bytes that are no answer"
	case q.status != 0 && (q.status < 200 || q.status > 599):
		return fmt.Sprint("status ", q.status)
	case success && q.signature == "":
		return "success without a signature"
	case q.signature != "" && (signed[q.signature] != q.id || q.answeredID != q.id):
		return "answer of request " + signed[q.signature]
	case q.signature != "" && slices.Contains(standin.MalformedForms, q.script.Form):
		return "malformed answer"
	case q.signature != "" && q.status != http.StatusOK:
		return "the upstream's signature with another status"
	case q.other != "":
		return "not the upstream's body"
	}
	return ""
}

// outcome judges a request by the rule on lost answers; why tells what was lost.
func (s *stopRun) outcome(q *call, runs []run) (o outcome, why string) {
	took := q.endedAt.Sub(q.startedAt)
	expired := took+expirySlack >= min(q.deadline, s.routeTimeouts[q.kind])
	at, signalled := lastBefore(s.terms[q.daemon], q.endedAt)
	inStop := signalled && q.endedAt.Sub(at) <= stopGrace+time.Second
	hup, reloaded := lastBefore(s.hups[q.daemon], q.endedAt)
	inReload := reloaded && q.sentAt.Sub(hup) <= applyTime
	late := at.Add(stopGrace * 5 / 6)
	worksLate := q.endedAt.After(late) && slices.ContainsFunc(runs, func(r run) bool { return r.End.IsZero() || r.End.After(late) })
	switch {
	case isPromise(q.status) && q.complete:
		return outcomeRefused, ""
	case q.complete:
		return outcomeAnswered, ""
	case !q.sound() || expired:
		return outcomeExcused, ""
	case len(runs) == 0 && (q.sentAt.IsZero() || q.endedAt.Sub(q.sentAt) <= lossSlack):
		return outcomeCrossed, ""
	case len(runs) == 0 && inStop:
		return outcomeLost, "neither passed on nor refused in time"
	case len(runs) == 0:
		return outcomeCut, ""
	case inStop && q.sentAt.Sub(at) <= sentInStop && worksLate:
		return outcomeExcused, ""
	case inStop:
		return outcomeLost, "cut in a planned stop"
	case inReload:
		return outcomeLost, "cut after SIGHUP"
	default:
		return outcomeCut, ""
	}
}

// describe tells what is known of a request, with times since the SIGTERM of its daemon.
func (s *stopRun) describe(q *call, runs []run) string {
	at, ok := lastBefore(s.terms[q.daemon], q.endedAt)
	origin := "SIGTERM"
	if !ok {
		at, origin = q.startedAt, "no SIGTERM, begun"
	}
	since := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return t.Sub(at).Round(time.Millisecond).String()
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s %+v to %s, %s at %s: kept connection %t, begun %s, sent %s, ended %s after it, status %d, %v %s",
		q.id, q.kind, q.script, q.daemon.id, origin, at.Format("05.000"), q.reused, since(q.startedAt), since(q.sentAt), since(q.endedAt), q.status, q.err, q.other)
	for _, r := range runs {
		fmt.Fprintf(&out, "; at %s from %s to %s, whole %t", r.Upstream, since(r.Start), since(r.End), r.Whole)
	}
	for _, p := range s.processes {
		if t, ok := lastBefore(s.terms[p], q.endedAt); ok && p != q.daemon && t.After(q.startedAt.Add(-stopGrace)) {
			fmt.Fprintf(&out, "; SIGTERM of %s %s", p.id, since(t))
		}
	}
	return out.String()
}

// lastBefore returns the last of the times that is not after t.
func lastBefore(times []time.Time, t time.Time) (at time.Time, ok bool) {
	for _, x := range times {
		if !x.After(t) && x.After(at) {
			at, ok = x, true
		}
	}
	return at, ok
}
