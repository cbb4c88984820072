package crowd

import (
	"crypto/tls"
	"errors"
	"net"
	"testing"
)

// deafConn is a connection of which nothing is read.
type deafConn struct{ net.Conn }

var errDeaf = errors.New("nothing is read")

func (deafConn) Read([]byte) (int, error) { return 0, errDeaf }

// secured returns a form that sends over TLS what another one sends.
func secured(f form) form {
	return form{size: f.size, send: func(c net.Conn, l listener) error {
		conn := tls.Client(c, &tls.Config{RootCAs: l.roots, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS12})
		if err := conn.Handshake(); err != nil {
			return err
		}
		return f.sendTo(conn, l)
	}}
}

// helloWithoutRest begins a handshake and reads nothing.
func helloWithoutRest(c net.Conn, l listener) error {
	return tls.Client(deafConn{c}, &tls.Config{RootCAs: l.roots, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS12}).Handshake()
}

// partOfHello sends most of the largest record of a handshake.
func partOfHello(c net.Conn, _ listener) error {
	_, err := c.Write(append([]byte{22, 3, 1, 0x40, 0}, make([]byte, 0x3fff)...))
	return err
}

func playSecured(t *testing.T, f form) {
	t.Helper()
	p := startServing(t, true)
	p.playAt(t, p.listeners[0], f)
}

// framed returns a form that sends HTTP/2 frames over TLS.
func framed(send func(c net.Conn, l listener) error) form {
	return form{send: func(c net.Conn, l listener) error {
		cfg := &tls.Config{RootCAs: l.roots, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS12, NextProtos: []string{"h2"}}
		conn := tls.Client(c, cfg)
		if err := conn.Handshake(); err != nil {
			return err
		}
		return send(conn, l)
	}}
}

func TestCrowdsOfFramesOverTLS(t *testing.T) {
	p := startServing(t, true)
	for name, send := range map[string]func(c net.Conn, l listener) error{"reset": streamsReset, "left open": streamsOpened, "pings": pings} {
		t.Run(name, func(t *testing.T) { p.playAt(t, p.listeners[0], framed(send)) })
	}
}

func TestCrowdOfHandshakesThatStop(t *testing.T) {
	playSecured(t, form{send: helloWithoutRest, size: largeCrowd})
}

func TestCrowdOfHandshakesThatStopInARecord(t *testing.T) {
	playSecured(t, form{send: partOfHello, size: largeCrowd})
}

func TestCrowdOfLongHeadsOverTLS(t *testing.T) { playSecured(t, secured(whole(longHead, shortLine))) }

func TestCrowdOfBodiesOverTLS(t *testing.T) { playSecured(t, secured(body(legalBody, 1))) }
