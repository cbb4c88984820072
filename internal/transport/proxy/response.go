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
	"github.com/gooseberryway/gooseberryway/internal/state/view"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// streamBufferBytes is the largest number of bytes that is read from a stream at once.
const streamBufferBytes = 16 << 10

// bufferedResponse is a response that was read as a whole before any of it is sent to the caller.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (b *bufferedResponse) write(c *call) {
	c.writeHeader(b.status, b.header, int64(len(b.body)))
	c.markFirstByte()
	_, _ = c.w.Write(b.body)
}

// handleResponse decides what follows from an upstream's response and forwards the response if it is the final one.
func (c *call) handleResponse(
	ctx context.Context, resp *http.Response, choice *place.Choice, placeReq *place.Request, tracker *attemptTracker,
) (nextStep, Reason) {
	defer resp.Body.Close()
	parsed := c.Dialect.ParseResponse(resp.StatusCode, resp.Header)
	c.Placer.SetWeightVersion(choice.Upstream, placeReq.Model, parsed.WeightVersion)
	c.observeLimit(resp, &parsed, choice)
	if !c.isOwnResponse(resp, &parsed) {
		// The upstream may have begun to run this request.
		c.markSent()
		tracker.End(place.OutcomeBroken)
		httpc.Retire(resp)
		klog.InfoS("Answer to another request", "request", c.req.ID, "upstream", choice.Upstream.ID, "got", parsed.ID,
			"status", resp.StatusCode, "rejection", parsed.NotRun)
		countForeignAnswer(parsed.NotRun)
		return c.stepAfterRun(ReasonResponseMismatch)
	}
	c.observeNotice(resp, &parsed, choice)
	switch {
	case parsed.NotRun:
		return c.handleRejection(resp, &parsed, choice, tracker)
	case promisesNotRun(resp.StatusCode) && !c.route.Repeatable():
		// Only the header says that the request has not run, but callers go by the status.
		c.markSent()
		tracker.End(place.OutcomeFailed)
		klog.InfoS("Status of an upstream that would promise too much", "request", c.req.ID, "upstream", choice.Upstream.ID,
			"status", resp.StatusCode)
		countUnstatedPromise(resp.StatusCode)
		return stepFail, ReasonUpstreamBroken
	case c.headerSent && resp.StatusCode != http.StatusOK:
		// The caller has already got the header of a stream with status 200, so an error response can't be forwarded
		// any more.
		tracker.End(place.OutcomeFailed)
		return c.stepAfterRun(ReasonUpstreamBroken)
	case resp.StatusCode >= http.StatusInternalServerError && c.canRetryAfterRun():
		c.markSent()
		return c.bufferFailure(ctx, resp, choice, tracker)
	default:
		c.markSent()
		return c.forward(ctx, resp, choice, tracker)
	}
}

// observeLimit records what the response says about the upstream's limit. A misdirected response comes from another
// upstream, and only a response to a request that ran can say that a limit no longer holds.
func (c *call) observeLimit(resp *http.Response, parsed *Response, choice *place.Choice) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if _, none := parsed.Limit.(*view.NoLimit); none && (parsed.NotRun || parsed.ID != c.req.ID) {
		return
	}
	c.UpstreamLimits.Observe(choice.Upstream, c.attemptAt, parsed.Limit)
}

// observeNotice records what the upstream says about requests to come. A misdirected response comes from another upstream.
func (c *call) observeNotice(resp *http.Response, parsed *Response, choice *place.Choice) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if parsed.Leaving {
		c.Placer.MarkLeaving(choice.Upstream)
	}
	if parsed.RetryAfter > 0 {
		c.Placer.Pause(choice.Upstream, parsed.RetryAfter)
	}
}

// stepAfterRun returns the next step after an attempt that failed although the request may have run.
func (c *call) stepAfterRun(reason Reason) (nextStep, Reason) {
	if c.route.Repeatable() {
		return stepRetryOther, reason
	}
	return stepFail, reason
}

// canRetryAfterRun reports whether the request may be sent to another upstream after one that ran it.
func (c *call) canRetryAfterRun() bool {
	return c.route.Repeatable() && c.possibleRuns() < c.route.MaxAttempts
}

// isOwnResponse reports whether a response answers this request. An upstream may send an earlier rejection once more on a kept
// connection: without an id, or with that of this request if it was rejected there before.
func (c *call) isOwnResponse(resp *http.Response, parsed *Response) bool {
	switch {
	case parsed.ID != "" && parsed.ID != c.req.ID:
		return false
	case !parsed.NotRun:
		return true
	case parsed.ID == "":
		return httpc.IsFirst(resp)
	default:
		return httpc.NoteOnce(resp, string(parsed.ID))
	}
}

// handleRejection handles a response that says that the upstream did not run the request.
func (c *call) handleRejection(resp *http.Response, parsed *Response, choice *place.Choice, tracker *attemptTracker) (nextStep, Reason) {
	outcome := place.OutcomeRejected
	if resp.StatusCode == http.StatusMisdirectedRequest {
		outcome = place.OutcomeMisdirected
	}
	tracker.End(outcome)
	c.rejections++
	klog.InfoS("Upstream refused", "request", c.req.ID, "upstream", choice.Upstream.ID, "status", resp.StatusCode,
		"weights", choice.WeightVersion, "named", parsed.ID != "")
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, streamBufferBytes))
	return stepRetryOther, ReasonUpstreamsRefused
}

// bufferFailure reads an error response and keeps it as the fallback in case no other attempt succeeds. One that is too large
// to keep is the final response.
func (c *call) bufferFailure(
	ctx context.Context, resp *http.Response, choice *place.Choice, tracker *attemptTracker,
) (nextStep, Reason) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err == nil && len(body) == maxBufferedBytes && !c.headerSent {
		return c.endBuffered(ctx, c.forwardLarge(resp, body), resp, body, choice, tracker)
	}
	tracker.End(c.outcome(ctx, err, resp.StatusCode))
	klog.InfoS("Upstream failed", "request", c.req.ID, "upstream", choice.Upstream.ID, "status", resp.StatusCode)
	if err == nil && !c.headerSent {
		c.fallback = &bufferedResponse{status: resp.StatusCode, header: c.Dialect.CallerHeaders(resp.Header), body: body}
	}
	return stepRetryOther, ReasonUpstreamBroken
}

// outcome classifies how a response ended.
func (c *call) outcome(ctx context.Context, err error, status int) place.Outcome {
	switch {
	case c.callerLeft():
		return place.OutcomeCancelled
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded), errors.Is(context.Cause(ctx), errUnresponsive):
		return place.OutcomeTimeout
	case err != nil:
		return place.OutcomeBroken
	case status >= http.StatusInternalServerError:
		return place.OutcomeFailed
	default:
		return place.OutcomeSucceeded
	}
}

// writeHeader sends the status and the header of the response, unless they have been sent before.
func (c *call) writeHeader(status int, header http.Header, length int64) {
	if c.headerSent {
		return
	}
	h := c.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from sniffing the content type.
		h["Content-Type"] = nil
	}
	if _, ok := header["Date"]; !ok {
		h["Date"] = nil
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(status)
	c.headerSent, c.status = true, status
}

// forward sends the response to the caller.
func (c *call) forward(
	ctx context.Context, resp *http.Response, choice *place.Choice, tracker *attemptTracker,
) (nextStep, Reason) {
	if !c.isStream(resp) {
		return c.forwardBuffered(ctx, resp, choice, tracker)
	}
	c.writeHeader(resp.StatusCode, c.Dialect.CallerHeaders(resp.Header), -1)
	err := c.copyStream(resp, tracker)
	outcome := c.outcome(ctx, err, resp.StatusCode)
	tracker.End(outcome)
	if err == nil {
		return stepDone, ""
	}
	klog.InfoS("Stream broke", "request", c.req.ID, "upstream", choice.Upstream.ID, "lastEvent", c.lastEventID,
		"error", err.Error(), "gone", c.callerLeft(), "weights", choice.WeightVersion, "parts", c.sharedParts(), "fingerprint", c.fingerprint(),
		"reads", tracker.reads, "sinceSentMs", time.Since(c.attemptAt).Milliseconds())
	if outcome == place.OutcomeTimeout && !errors.Is(context.Cause(ctx), errUnresponsive) {
		return stepFail, ReasonTimeout
	}
	if outcome == place.OutcomeCancelled {
		return stepFail, ReasonUpstreamBroken
	}
	return c.stepAfterRun(ReasonUpstreamBroken)
}

func (c *call) isStream(resp *http.Response) bool {
	return resp.ContentLength < 0 && resp.StatusCode < http.StatusBadRequest && c.route.Kind == kindStream
}

// forwardBuffered reads the response, up to maxBufferedBytes, before it sends the header, so that a response that
// breaks off never looks complete to the caller.
func (c *call) forwardBuffered(
	ctx context.Context, resp *http.Response, choice *place.Choice, tracker *attemptTracker,
) (nextStep, Reason) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err == nil && len(body) == maxBufferedBytes {
		err = c.forwardLarge(resp, body)
	}
	return c.endBuffered(ctx, err, resp, body, choice, tracker)
}

// forwardLarge sends a response to the caller of which only the first part is buffered.
func (c *call) forwardLarge(resp *http.Response, body []byte) error {
	c.writeHeader(resp.StatusCode, c.Dialect.CallerHeaders(resp.Header), resp.ContentLength)
	c.markFirstByte()
	_, err := io.Copy(c.w, io.MultiReader(bytes.NewReader(body), resp.Body))
	return err
}

// markFirstByte records that the first byte of a response is ready for the caller.
func (c *call) markFirstByte() {
	if c.firstByteAt.IsZero() {
		c.firstByteAt = time.Now()
	}
}

// endBuffered ends an attempt whose response was read with the given error, and sends the response unless that has begun.
func (c *call) endBuffered(
	ctx context.Context, err error, resp *http.Response, body []byte, choice *place.Choice, tracker *attemptTracker,
) (nextStep, Reason) {
	outcome := c.outcome(ctx, err, resp.StatusCode)
	tracker.End(outcome)
	if err == nil {
		if !c.headerSent {
			(&bufferedResponse{status: resp.StatusCode, header: c.Dialect.CallerHeaders(resp.Header), body: body}).write(c)
		}
		return stepDone, ""
	}
	klog.InfoS("Answer broke", "request", c.req.ID, "upstream", choice.Upstream.ID, "status", resp.StatusCode,
		"bytes", len(body), "error", err.Error(), "parts", c.sharedParts(), "fingerprint", c.fingerprint(),
		"sinceSentMs", time.Since(c.attemptAt).Milliseconds())
	if c.headerSent {
		return stepFail, ReasonUpstreamBroken
	}
	if outcome == place.OutcomeTimeout && !errors.Is(context.Cause(ctx), errUnresponsive) {
		return stepFail, ReasonTimeout
	}
	return c.stepAfterRun(ReasonUpstreamBroken)
}

// copyStream forwards bytes as they arrive; of a resumable stream it forwards complete events only.
func (c *call) copyStream(resp *http.Response, tracker *attemptTracker) error {
	rc := http.NewResponseController(c.w)
	if err := rc.Flush(); err != nil {
		return err
	}
	var events eventSplitter
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			c.markFirstByte()
			tracker.MarkActive()
			tracker.MarkFirstEvent()
			out := buf[:n]
			if c.route.Resumable {
				out = events.add(out)
			} else {
				events.advance(out)
			}
			if werr := c.writeStream(rc, out, &events); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return events.checkEnd(resp)
		}
		if err != nil {
			return err
		}
	}
}

// checkEnd returns an error if the stream was broken off, though its connection ended like that of a complete one.
func (p *eventPosition) checkEnd(resp *http.Response) error {
	if p.hasPartialEvent() || !p.started && isUnframed(resp) {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// isUnframed reports whether a response's body has neither a length nor chunks, so that only its content tells whether it
// ended early.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func (c *call) writeStream(rc *http.ResponseController, out []byte, events *eventSplitter) error {
	if len(out) == 0 {
		return nil
	}
	if _, err := c.w.Write(out); err != nil {
		return err
	}
	if events.lastID != "" {
		c.lastEventID = events.lastID
	}
	return rc.Flush()
}
