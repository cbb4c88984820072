package crowd

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// largeCrowd is the number of connections of a crowd that holds little by each.
const largeCrowd = 1200

// Paths of requests to entry whose answers are large.
const (
	largePath   = "/lookup/large"
	chunkedPath = "/lookup/chunked"
	flushedPath = "/lookup/flushed"
)

// largeAnswer answers the requests for large answers in the place of the upstream: with a length, in chunks, and in chunks that are sent one by one.
func largeAnswer(w http.ResponseWriter, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, largePath) && r.URL.Path != chunkedPath && r.URL.Path != flushedPath {
		return false
	}
	w.Header().Set("X-Gooseberryway-Attempt-Id", r.Header.Get("X-Gooseberryway-Attempt-Id"))
	w.Header().Set("X-Gooseberryway-Response-Signature", "sig-app-0")
	if r.URL.Path == largePath {
		w.Header().Set("Content-Length", strconv.Itoa(legalBody))
	}
	for sent := 0; sent < legalBody; sent += pieceSize {
		if _, err := w.Write(content[:pieceSize]); err != nil {
			return true
		}
		if r.URL.Path == flushedPath {
			_ = http.NewResponseController(w).Flush()
		}
	}
	return true
}

func request(c net.Conn, l listener) error {
	_, err := c.Write(start(l, "Content-Length: 0\r\n\r\n"))
	return err
}

// playAnswers lets a crowd that reads nothing ask entry for large answers.
func playAnswers(t *testing.T, size int) {
	t.Helper()
	p := startEntry(t, manyDescriptors)
	for _, path := range []string{largePath, chunkedPath, flushedPath} {
		t.Run(path, func(t *testing.T) {
			ordinary := p.listeners[0]
			large := ordinary
			large.path = path
			p.usage.reset()
			release := gather(large, form{send: request, size: size})
			t.Cleanup(release)
			p.requireWithinLimits(t)
			p.requireAnswer(t, ordinary)
			release()
			p.requireAnswer(t, ordinary)
			p.requireWithinLimits(t)
		})
	}
}

func TestCrowdThatReadsNoAnswers(t *testing.T) { playAnswers(t, crowdSize) }

func TestLargeCrowdThatReadsNoAnswers(t *testing.T) { playAnswers(t, largeCrowd) }

// requestThenBytes sends a request for a large answer, and then bytes that the process doesn't read while it answers.
func requestThenBytes(c net.Conn, l listener) error {
	if err := request(c, l); err != nil {
		return err
	}
	return sendPieces(c, mebibyte)
}

func TestLargeCrowdThatSendsOnDuringAnswers(t *testing.T) {
	p := startEntry(t, manyDescriptors)
	l := p.listeners[0]
	l.path = largePath
	p.playAt(t, l, form{send: requestThenBytes, size: largeCrowd})
}

// requests sends ordinary requests one after the other and reads no answer.
func requests(c net.Conn, l listener) error {
	for range 8 {
		if err := request(c, l); err != nil {
			return err
		}
	}
	return nil
}

// Answers that the process writes itself, to whoever asks.
func TestLargeCrowdThatReadsNoReports(t *testing.T) {
	f := form{send: requests, size: largeCrowd}
	for _, p := range []*process{startEntry(t, manyDescriptors), startServe(t, manyDescriptors)} {
		for _, l := range p.listeners {
			if l.name != "metrics" && l.name != "admin" {
				continue
			}
			for _, path := range []string{"", "/metrics", "/"} {
				report := l
				report.path, report.method = path, http.MethodGet
				t.Run(p.cmd.Args[1]+" "+l.name+" "+path, func(t *testing.T) {
					p.usage.reset()
					release := gather(report, f)
					t.Cleanup(release)
					p.requireWithinLimits(t)
					release()
					p.requireAnswer(t, l)
					p.requireWithinLimits(t)
				})
			}
		}
	}
}

// A crowd whose clients stop short of the end of their bodies and connect again as soon as they are refused or closed.
func TestOrdinaryCallersBesideCrowdThatReturns(t *testing.T) {
	for _, size := range []int{legalBody, pieceSize, pieceSize / 2} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			p := startEntry(t, manyDescriptors)
			l := p.listeners[0]
			stop := make(chan struct{})
			var wg sync.WaitGroup
			for range largeCrowd {
				wg.Go(func() { returnUntil(stop, l, body(size, 1)) })
			}
			for range 20 {
				p.requireAnswer(t, l)
			}
			close(stop)
			wg.Wait()
			p.requireAnswer(t, l)
			p.requireWithinLimits(t)
		})
	}
}

// returnUntil connects and sends, waits until the connection ends, and does so again until stop is closed.
func returnUntil(stop <-chan struct{}, l listener, f form) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := net.DialTimeout("tcp4", l.address, sendTime)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(sendTime))
		if f.sendTo(c, l) == nil {
			_, _ = io.Copy(io.Discard, c)
		}
		_ = c.Close()
	}
}
