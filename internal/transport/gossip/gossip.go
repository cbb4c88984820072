// Package gossip carries beats between daemons in datagrams, and records that a daemon misses in calls.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
)

const (
	// maxDatagram is what fits into one datagram on all links.
	maxDatagram = 60 << 10
	// urgentGather is how long an urgent beat waits for more news.
	urgentGather = 60 * time.Millisecond
	callTimeout  = 600 * time.Millisecond
	headerLimit  = 4 << 10
)

// Round is what a daemon sends at one moment.
type Round struct {
	Messages []Message
	// NextAfter is the time until the next round, unless an urgent one comes first.
	NextAfter time.Duration
}

// Message is a beat and the peer addresses that it goes to.
type Message struct {
	Heartbeat *wire.Beat
	Targets   []string
}

// Node sends and receives beats. Its fields are set before Run.
type Node struct {
	// Address is the IP:PORT for datagrams and calls.
	Address string
	// NextRound returns what is to be sent now, and when the next round is due.
	NextRound func() Round
	// OnHeartbeat is called for each beat that arrives.
	OnHeartbeat func(*wire.Beat)
	// HandleChanges answers a daemon that misses records.
	HandleChanges func(*wire.ChangesRequest) *wire.ChangesReply

	socket   *net.UDPConn
	server   *http.Server
	client   *http.Client
	sequence atomic.Uint64
	urgent   chan struct{}
	once     sync.Once
}

func (n *Node) init() {
	n.once.Do(func() {
		n.urgent = make(chan struct{}, 1)
		n.client = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     2 * time.Second,
		}}
	})
}

// Listen opens the sockets.
func (n *Node) Listen(ctx context.Context) (net.Listener, error) {
	n.init()
	address, err := netip.ParseAddrPort(n.Address)
	if err != nil {
		return nil, fmt.Errorf("address of peers: %w", err)
	}
	n.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("datagrams of peers: %w", err)
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp4", n.Address)
	if err != nil {
		_ = n.socket.Close()
		return nil, fmt.Errorf("calls of peers: %w", err)
	}
	return l, nil
}

// Run exchanges beats and answers calls until ctx ends.
func (n *Node) Run(ctx context.Context, l net.Listener) {
	mux := http.NewServeMux()
	mux.Handle(wire.NewFleetServiceHandler(service{n}))
	n.server = &http.Server{Handler: mux, ReadHeaderTimeout: callTimeout, MaxHeaderBytes: headerLimit}
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := n.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Calls of peers ended")
		}
	})
	wg.Go(n.receive)
	wg.Go(func() { n.send(ctx) })
	<-ctx.Done()
	_ = n.server.Close()
	_ = n.socket.Close()
	wg.Wait()
}

// SendSoon sends a beat soon.
func (n *Node) SendSoon() {
	n.init()
	select {
	case n.urgent <- struct{}{}:
	default:
	}
}

func (n *Node) send(ctx context.Context) {
	for ctx.Err() == nil {
		round := n.NextRound()
		for _, m := range round.Messages {
			n.beat(m)
		}
		select {
		case <-ctx.Done():
		case <-n.urgent:
			// Many changes in a row go out in one beat.
			time.Sleep(min(round.NextAfter/10, urgentGather))
		case <-time.After(round.NextAfter):
		}
	}
}

func (n *Node) beat(m Message) {
	if len(m.Targets) == 0 {
		return
	}
	m.Heartbeat.Sequence = n.sequence.Add(1)
	raw, err := proto.Marshal(m.Heartbeat)
	if err != nil || len(raw) > maxDatagram {
		klog.ErrorS(err, "Beat not sent", "bytes", len(raw))
		return
	}
	for _, target := range m.Targets {
		to, err := netip.ParseAddrPort(target)
		if err != nil {
			continue
		}
		// A datagram that can't be sent is lost like any other; the next beat tells the same.
		_, _ = n.socket.WriteToUDPAddrPort(raw, to)
	}
}

func (n *Node) receive() {
	buf := make([]byte, maxDatagram)
	for {
		size, _, err := n.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		b := &wire.Beat{}
		if err := proto.Unmarshal(buf[:size], b); err != nil {
			klog.InfoS("Beat ignored", "bytes", size, "reason", err.Error())
			continue
		}
		n.OnHeartbeat(b)
	}
}

// Fetch asks a peer for records.
func (n *Node) Fetch(ctx context.Context, peer string, req *wire.ChangesRequest) (*wire.ChangesReply, error) {
	n.init()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := wire.NewFleetServiceClient(n.client, "http://"+peer).Changes(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("records from %s: %w", peer, err)
	}
	return resp.Msg, nil
}

type service struct {
	n *Node
}

// Changes answers a daemon that misses records.
func (s service) Changes(
	_ context.Context, r *connect.Request[wire.ChangesRequest],
) (*connect.Response[wire.ChangesReply], error) {
	return connect.NewResponse(s.n.HandleChanges(r.Msg)), nil
}
