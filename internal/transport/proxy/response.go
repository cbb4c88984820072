package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/state/memory"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
	"github.com/gooseberryway/gooseberryway/internal/transport/intake"
)

const (
	// streamBufferBytes is the largest number of bytes that is read from a stream at once.
	streamBufferBytes = 16 << 10
	// firstAnswerBytes is the memory that is taken first for an answer of unknown length, copyBufferBytes that for one that isn't buffered.
	firstAnswerBytes = 4 << 10
	copyBufferBytes  = 8 << 10
	// eventStreamType is the media type of streams of server-sent events.
	eventStreamType = "text/event-stream"
	kindStream      = view.KindStream
)

// bufferedResponse is a response that was read as a whole before any of it is sent to the caller.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// handleResponse decides what follows from an upstream's response and forwards the response if it is the final one.
func (c *call) handleResponse(
	ctx context.Context, resp *http.Response, choice *place.Choice, placeReq *place.Request, tracker *attemptTracker,
) (nextStep, Reason) {
	defer resp.Body.Close()
	parsed := c.Dialect.ParseResponse(resp.StatusCode, resp.Header)
	if !c.isOwnResponse(resp, &parsed) {
		// The upstream may have begun to run this request.
		c.markSent()
		tracker.End(place.OutcomeBroken)
		httpc.Retire(resp)
		klog.InfoS("Answer to another request", "request", c.req.ID, "upstream", choice.Upstream.ID, "got", parsed.ID,
			"status", resp.StatusCode, "rejection", parsed.NotRun, "reused", !httpc.IsFirst(resp))
		countForeignAnswer(parsed.NotRun)
		return c.stepAfterRun(ReasonResponseMismatch)
	}
	httpc.Release(resp)
	if isSuccess(resp.StatusCode) && !parsed.Signed {
		return c.handleUnsigned(resp, &parsed, choice, tracker)
	}
	c.Placer.SetWeightVersion(choice.Upstream, placeReq.Model, parsed.WeightVersion)
	c.observeLimit(resp, &parsed, choice)
	c.observeRejectionLimit(resp, &parsed, choice)
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
	case c.reply.begun() && (!c.isStream(resp) || parsed.ID == ""):
		// The caller has got the beginning of a stream, so that no other response can be forwarded any more.
		c.markSent()
		tracker.End(place.OutcomeFailed)
		klog.InfoS("Answer doesn't go on with a stream", "request", c.req.ID, "upstream", choice.Upstream.ID, "status", resp.StatusCode,
			"contentType", resp.Header.Get("Content-Type"), "got", parsed.ID, "lastEvent", c.reply.position.lastID)
		countRefusedContinuation()
		return c.stepAfterRun(ReasonUpstreamBroken)
	case resp.StatusCode >= http.StatusInternalServerError && c.canRetryAfterRun():
		c.markSent()
		return c.bufferFailure(ctx, resp, choice, tracker)
	default:
		c.markSent()
		return c.forward(ctx, resp, choice, tracker)
	}
}

// handleUnsigned handles a success without the signature of its upstream, which says nothing of the upstream either.
func (c *call) handleUnsigned(resp *http.Response, parsed *Response, choice *place.Choice, tracker *attemptTracker) (nextStep, Reason) {
	c.markSent()
	tracker.End(place.OutcomeFailed)
	klog.InfoS("Success without a signature", "request", c.req.ID, "upstream", choice.Upstream.ID, "status", resp.StatusCode, "got", parsed.ID)
	countUnsignedSuccess()
	return c.stepAfterRun(ReasonUpstreamBroken)
}

// isSuccess reports whether callers take a status for a success.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
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

// observeRejectionLimit does the same for what the response says about rejections.
func (c *call) observeRejectionLimit(resp *http.Response, parsed *Response, choice *place.Choice) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if _, none := parsed.RejectionLimit.(*view.NoRejectionLimit); none && (parsed.NotRun || parsed.ID != c.req.ID) {
		return
	}
	c.RejectionLimits.Observe(choice.Upstream, c.attemptAt, parsed.RejectionLimit)
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

// stepAfterRun returns the next step after an attempt that failed although the request may have run. Of a response that has begun only
// a stream can go on, if it is known how much of it the caller has got. One that a peer passed on goes on from there: the peer knows how many
// upstreams had run it when its response began.
func (c *call) stepAfterRun(reason Reason) (nextStep, Reason) {
	if c.hop != nil && c.reply.begun() {
		return stepFail, reason
	}
	if c.route.Repeatable() && (!c.reply.begun() || c.reply.isStream && !c.reply.position.ambiguous) {
		return stepRetryOther, reason
	}
	return stepFail, reason
}

// canRetryAfterRun reports whether the request may be sent to another upstream after one that ran it.
func (c *call) canRetryAfterRun() bool {
	return c.route.Repeatable() && c.possibleRuns() < c.maxRuns()
}

// isOwnResponse reports whether a response answers this request. An upstream may send an earlier answer once more on a kept
// connection: without an id, as those to reports and orders, or a rejection with that of this request if it was rejected there before. What
// answers a request without an id can't be told.
func (c *call) isOwnResponse(resp *http.Response, parsed *Response) bool {
	switch {
	case parsed.ID != "" && parsed.ID != c.req.ID:
		return false
	case parsed.ID == "" && (c.req.ID != "" || parsed.NotRun):
		return httpc.IsFirst(resp)
	case !parsed.NotRun:
		return true
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
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		c.Placer.MarkFull(choice.Upstream)
	}
	c.rejections++
	klog.InfoS("Upstream refused", "request", c.req.ID, "upstream", choice.Upstream.ID, "status", resp.StatusCode,
		"weights", choice.WeightVersion, "named", parsed.ID != "", "reused", !httpc.IsFirst(resp),
		"sinceSentMs", time.Since(c.attemptAt).Milliseconds())
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, streamBufferBytes))
	return stepRetryOther, ReasonUpstreamsRefused
}

// bufferFailure reads an error response and keeps it as the fallback in case no other attempt succeeds. One that is too large
// to keep is the final response.
func (c *call) bufferFailure(
	ctx context.Context, resp *http.Response, choice *place.Choice, tracker *attemptTracker,
) (nextStep, Reason) {
	body, whole, err := c.bufferAnswer(resp.Body, resp.ContentLength)
	if err == nil && !whole {
		return c.endBuffered(ctx, c.forwardLarge(resp, body), resp, nil, choice, tracker)
	}
	tracker.End(c.outcome(ctx, err, resp.StatusCode))
	klog.InfoS("Upstream failed", "request", c.req.ID, "upstream", choice.Upstream.ID, "status", resp.StatusCode)
	if err == nil {
		c.fallback = &bufferedResponse{status: resp.StatusCode, header: c.Dialect.CallerHeaders(resp.Header), body: body}
	}
	return stepRetryOther, ReasonUpstreamBroken
}

// outcome classifies how a response ended.
func (c *call) outcome(ctx context.Context, err error, status int) place.Outcome {
	switch {
	case c.callerLeft(), c.stopped(), isCalledBack(ctx):
		return place.OutcomeCancelled
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded), errors.Is(context.Cause(ctx), errUnresponsive):
		return place.OutcomeTimeout
	case isContinuationError(err), isEventSizeError(err):
		return place.OutcomeFailed
	case err != nil:
		return place.OutcomeBroken
	case status >= http.StatusInternalServerError:
		return place.OutcomeFailed
	default:
		return place.OutcomeSucceeded
	}
}

// forward sends the response to the caller.
func (c *call) forward(
	ctx context.Context, resp *http.Response, choice *place.Choice, tracker *attemptTracker,
) (nextStep, Reason) {
	if !c.isStream(resp) {
		return c.forwardBuffered(ctx, resp, choice, tracker)
	}
	err := c.copyStream(resp, tracker.markRead, func() {
		tracker.MarkFirstEvent()
		tracker.markBegun()
	})
	outcome := c.outcome(ctx, err, resp.StatusCode)
	tracker.End(outcome)
	if err == nil {
		return stepDone, ""
	}
	klog.InfoS("Stream broke", append([]any{
		"request", c.req.ID, "upstream", choice.Upstream.ID, "lastEvent", c.reply.position.lastID,
		"error", err.Error(), "gone", c.callerLeft(), "weights", choice.WeightVersion, "parts", c.sharedParts(), "fingerprint", c.fingerprint(),
		"reads", tracker.reads, "sinceSentMs", time.Since(c.attemptAt).Milliseconds(),
	}, c.stopDetails()...)...)
	if isContinuationError(err) {
		countRefusedContinuation()
	}
	if outcome == place.OutcomeTimeout && !errors.Is(context.Cause(ctx), errUnresponsive) {
		return stepFail, ReasonTimeout
	}
	return c.stepAfterBreak(ctx, outcome, choice)
}

// stepAfterBreak returns the next step after a response that broke for another reason than time.
func (c *call) stepAfterBreak(ctx context.Context, outcome place.Outcome, choice *place.Choice) (nextStep, Reason) {
	switch {
	case outcome != place.OutcomeCancelled:
		return c.stepAfterRun(ReasonUpstreamBroken)
	case isCalledBack(ctx) && !c.callerLeft() && !c.stopped():
		return c.stepAfterCallBack(choice)
	default:
		return stepFail, c.cancelReason()
	}
}

// isCalledBack reports whether an attempt was cancelled because its weights neared their limit.
func isCalledBack(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errWeightsReplaced) }

// cancelReason returns why an attempt was cancelled.
func (c *call) cancelReason() Reason {
	if c.stopped() {
		return ReasonStopping
	}
	return ReasonUpstreamBroken
}

// isStream reports whether a response is a stream of events. How its body is framed says nothing of that.
func (c *call) isStream(resp *http.Response) bool {
	if c.route.Kind != kindStream || resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Encoding") != "" {
		return false
	}
	mediaType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	mediaType = strings.TrimSpace(mediaType)
	return mediaType == "" || strings.EqualFold(mediaType, eventStreamType)
}

// forwardBuffered forwards a response that is no stream.
func (c *call) forwardBuffered(
	ctx context.Context, resp *http.Response, choice *place.Choice, tracker *attemptTracker,
) (nextStep, Reason) {
	body, err := c.readBuffered(resp, tracker.markBegun)
	return c.endBuffered(ctx, err, resp, body, choice, tracker)
}

// readBuffered reads a response, up to maxBufferedBytes, before any of it is sent, so that a response that breaks off never
// looks complete to the caller. A larger one is sent as well. It calls onBegin with the first byte.
func (c *call) readBuffered(resp *http.Response, onBegin func()) ([]byte, error) {
	body, whole, err := c.bufferAnswer(&beginReader{Reader: resp.Body, onBegin: onBegin}, resp.ContentLength)
	if err == nil && !whole {
		return nil, c.forwardLarge(resp, body)
	}
	return body, err
}

// bufferAnswer reads an answer, up to maxBufferedBytes and as far as there is memory, and reports whether it is whole. length is its length, or negative if
// it isn't known.
func (c *call) bufferAnswer(r io.Reader, length int64) (body []byte, whole bool, err error) {
	size := firstAnswerBytes
	if length >= 0 && length < maxBufferedBytes {
		// One byte more shows the end.
		size = int(length) + 1
	}
	for len(body) < maxBufferedBytes {
		if !intake.TakeAnswer(c.r, memory.Bytes(size)) {
			return body, false, nil
		}
		grown := make([]byte, len(body), size)
		copy(grown, body)
		intake.ReleaseAnswer(c.r, memory.Bytes(cap(body)))
		body = grown
		for len(body) < cap(body) {
			n, err := r.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) {
				return body, true, nil
			}
			if err != nil {
				return body, false, err
			}
		}
		size = min(2*size, maxBufferedBytes)
	}
	return body, false, nil
}

// beginReader calls onBegin with the first byte that is read.
type beginReader struct {
	io.Reader
	onBegin func()
	begun   bool
}

func (r *beginReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && !r.begun {
		r.begun = true
		r.onBegin()
	}
	return n, err
}

// forwardLarge sends a response to the caller of which only the first part is buffered. It gives back the memory of the part.
func (c *call) forwardLarge(resp *http.Response, body []byte) error {
	c.reply.begin(resp.StatusCode, c.Dialect.CallerHeaders(resp.Header), resp.ContentLength)
	if _, err := c.reply.Write(body); err != nil {
		return err
	}
	intake.ReleaseAnswer(c.r, memory.Bytes(cap(body)))
	_, err := io.CopyBuffer(&c.reply, struct{ io.Reader }{resp.Body}, make([]byte, copyBufferBytes))
	if err == nil {
		c.reply.finish()
	}
	return err
}

// endBuffered ends an attempt whose response was read with the given error, and sends the response unless that has begun.
func (c *call) endBuffered(
	ctx context.Context, err error, resp *http.Response, body []byte, choice *place.Choice, tracker *attemptTracker,
) (nextStep, Reason) {
	outcome := c.outcome(ctx, err, resp.StatusCode)
	tracker.End(outcome)
	if err == nil {
		c.sendBuffered(resp, body)
		return stepDone, ""
	}
	klog.InfoS("Answer broke", append([]any{
		"request", c.req.ID, "upstream", choice.Upstream.ID, "status", resp.StatusCode,
		"bytes", len(body), "error", err.Error(), "parts", c.sharedParts(), "fingerprint", c.fingerprint(),
		"sinceSentMs", time.Since(c.attemptAt).Milliseconds(),
	}, c.stopDetails()...)...)
	if outcome == place.OutcomeTimeout && !errors.Is(context.Cause(ctx), errUnresponsive) {
		return stepFail, ReasonTimeout
	}
	return c.stepAfterBreak(ctx, outcome, choice)
}

// sendBuffered sends a response that was read, unless readBuffered has sent it.
func (c *call) sendBuffered(resp *http.Response, body []byte) {
	if !c.reply.begun() {
		c.reply.send(&bufferedResponse{status: resp.StatusCode, header: c.Dialect.CallerHeaders(resp.Header), body: body})
	}
}

// copyStream forwards a stream of events as they arrive. It calls onRead after each read, and onBegin, unless that is nil, once an event has begun.
func (c *call) copyStream(resp *http.Response, onRead, onBegin func()) error {
	f := &streamForwarder{
		reply: &c.reply, header: c.Dialect.CallerHeaders(resp.Header), resumable: c.route.Resumable, onBegin: onBegin,
	}
	f.init()
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			onRead()
			if ferr := f.forward(buf[:n]); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) {
			return f.end(isUnframed(resp))
		}
		if err != nil {
			return err
		}
	}
}

// isUnframed reports whether a response's body has neither a length nor chunks, so that only its content tells whether it
// ended early.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
