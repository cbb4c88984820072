package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
)

// copyBuffer is the most that is read of a stream at once, in bytes.
const copyBuffer = 16 << 10

// keptAnswer is a whole answer that is passed on unless a better one comes.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (k *keptAnswer) write(c *call) {
	c.head(k.status, k.header, int64(len(k.body)))
	if c.firstAt.IsZero() {
		c.firstAt = time.Now()
	}
	_, _ = c.w.Write(k.body)
}

// receive judges an answer and passes it on.
func (c *call) receive(
	ctx context.Context, resp *http.Response, choice *place.Choice, work *place.Request, ticket *place.Tracker,
) (verdict, Reason) {
	defer resp.Body.Close()
	answer := c.Dialect.ParseResponse(resp.StatusCode, resp.Header)
	c.Placer.SetWeightVersion(choice.Upstream, work.Model, answer.WeightVersion)
	switch {
	case answer.ID != "" && answer.ID != c.req.ID:
		c.sent()
		ticket.End(place.OutcomeBroken)
		klog.InfoS("Answer to another request", "request", c.req.ID, "upstream", choice.Upstream.ID, "got", answer.ID)
		return c.after(ReasonResponseMismatch)
	case answer.NotRun:
		return c.rejected(resp, choice, ticket)
	case c.headed && resp.StatusCode != http.StatusOK:
		// The caller has the head of a stream already: a failure can't follow it.
		ticket.End(place.OutcomeFailed)
		return c.after(ReasonUpstreamBroken)
	case resp.StatusCode >= http.StatusInternalServerError && c.mayRepeat():
		c.sent()
		return c.keep(ctx, resp, choice, ticket)
	default:
		c.sent()
		return c.pass(ctx, resp, choice, ticket)
	}
}

// after returns the verdict on an attempt that may have run.
func (c *call) after(reason Reason) (verdict, Reason) {
	if c.route.Repeatable() {
		return verdictElsewhere, reason
	}
	return verdictFailed, reason
}

// mayRepeat reports whether another attempt may follow one that ran.
func (c *call) mayRepeat() bool {
	return c.route.Repeatable() && c.runs() < c.route.MaxAttempts
}

// rejected handles an upstream that did not run the request.
func (c *call) rejected(resp *http.Response, choice *place.Choice, ticket *place.Tracker) (verdict, Reason) {
	outcome := place.OutcomeRejected
	if resp.StatusCode == http.StatusMisdirectedRequest {
		outcome = place.OutcomeMisdirected
	}
	ticket.End(outcome)
	c.rejections++
	klog.InfoS("Upstream refused", "request", c.req.ID, "upstream", choice.Upstream.ID, "status", resp.StatusCode,
		"weights", choice.WeightVersion)
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, copyBuffer))
	return verdictElsewhere, ReasonUpstreamsRefused
}

// keep reads a failure that another attempt may better.
func (c *call) keep(
	ctx context.Context, resp *http.Response, choice *place.Choice, ticket *place.Tracker,
) (verdict, Reason) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, keepMost))
	ticket.End(c.outcome(ctx, err, resp.StatusCode))
	klog.InfoS("Upstream failed", "request", c.req.ID, "upstream", choice.Upstream.ID, "status", resp.StatusCode)
	if err == nil && !c.headed {
		c.kept = &keptAnswer{status: resp.StatusCode, header: c.Dialect.CallerHeaders(resp.Header), body: body}
	}
	return verdictElsewhere, ReasonUpstreamBroken
}

// outcome classifies the end of an answer.
func (c *call) outcome(ctx context.Context, err error, status int) place.Outcome {
	switch {
	case c.gone():
		return place.OutcomeCancelled
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded), errors.Is(context.Cause(ctx), errSilent):
		return place.OutcomeTimeout
	case err != nil:
		return place.OutcomeBroken
	case status >= http.StatusInternalServerError:
		return place.OutcomeFailed
	default:
		return place.OutcomeSucceeded
	}
}

// head sends the head of an answer once.
func (c *call) head(status int, header http.Header, length int64) {
	if c.headed {
		return
	}
	h := c.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing.
		h["Content-Type"] = nil
	}
	if _, ok := header["Date"]; !ok {
		h["Date"] = nil
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(status)
	c.headed, c.status = true, status
}

// pass sends the answer to the caller.
func (c *call) pass(
	ctx context.Context, resp *http.Response, choice *place.Choice, ticket *place.Tracker,
) (verdict, Reason) {
	if !c.isStream(resp) {
		return c.passWhole(ctx, resp, choice, ticket)
	}
	c.head(resp.StatusCode, c.Dialect.CallerHeaders(resp.Header), -1)
	err := c.copyStream(resp, ticket)
	outcome := c.outcome(ctx, err, resp.StatusCode)
	ticket.End(outcome)
	if err == nil {
		return verdictDone, ""
	}
	klog.InfoS("Stream broke", "request", c.req.ID, "upstream", choice.Upstream.ID, "lastEvent", c.delivered,
		"error", err.Error(), "gone", c.gone(), "weights", choice.WeightVersion)
	if outcome == place.OutcomeTimeout && !errors.Is(context.Cause(ctx), errSilent) {
		return verdictFailed, ReasonTimeout
	}
	if outcome == place.OutcomeCancelled {
		return verdictFailed, ReasonUpstreamBroken
	}
	return c.after(ReasonUpstreamBroken)
}

func (c *call) isStream(resp *http.Response) bool {
	return resp.ContentLength < 0 && resp.StatusCode < http.StatusBadRequest && c.route.Kind == kindStream
}

// passWhole reads a whole answer before its head is sent, so that one that breaks off never looks complete.
func (c *call) passWhole(
	ctx context.Context, resp *http.Response, choice *place.Choice, ticket *place.Tracker,
) (verdict, Reason) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, keepMost))
	if err == nil && len(body) == keepMost {
		c.head(resp.StatusCode, c.Dialect.CallerHeaders(resp.Header), resp.ContentLength)
		_, err = io.Copy(c.w, io.MultiReader(bytes.NewReader(body), resp.Body))
	}
	outcome := c.outcome(ctx, err, resp.StatusCode)
	ticket.End(outcome)
	if err == nil {
		if !c.headed {
			(&keptAnswer{status: resp.StatusCode, header: c.Dialect.CallerHeaders(resp.Header), body: body}).write(c)
		}
		return verdictDone, ""
	}
	klog.InfoS("Answer broke", "request", c.req.ID, "upstream", choice.Upstream.ID, "status", resp.StatusCode,
		"bytes", len(body), "error", err.Error())
	if c.headed {
		return verdictFailed, ReasonUpstreamBroken
	}
	if outcome == place.OutcomeTimeout && !errors.Is(context.Cause(ctx), errSilent) {
		return verdictFailed, ReasonTimeout
	}
	return c.after(ReasonUpstreamBroken)
}

// copyStream passes bytes on as they come; of a resumable stream only whole events.
func (c *call) copyStream(resp *http.Response, ticket *place.Tracker) error {
	rc := http.NewResponseController(c.w)
	if err := rc.Flush(); err != nil {
		return err
	}
	var events splitter
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if c.firstAt.IsZero() {
				c.firstAt = time.Now()
			}
			ticket.MarkActive()
			ticket.MarkFirstEvent()
			out := buf[:n]
			if c.route.Resumable {
				out = events.whole(out)
			}
			if werr := c.deliver(rc, out, &events); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			if events.partial() {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (c *call) deliver(rc *http.ResponseController, out []byte, events *splitter) error {
	if len(out) == 0 {
		return nil
	}
	if _, err := c.w.Write(out); err != nil {
		return err
	}
	if events.lastID != "" {
		c.delivered = events.lastID
	}
	return rc.Flush()
}
