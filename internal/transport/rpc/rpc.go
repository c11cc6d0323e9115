// Package rpc carries messages between the members of a gateway: gRPC streams with
// bytes that the callers have encoded (FlatBuffers), over TLS with certificates on
// both sides. A message may be lost, and may come late; nothing is promised but that
// it comes from the member that it says it comes from.
package rpc

import (
	"context"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"dapplestage.example/dapplestage/internal/transport/keys"
)

// maxMessage bounds a message.
const maxMessage = 8 << 20

// AckTimeout is after how long a connection on which nothing is confirmed is made anew.
const AckTimeout = 4 * time.Second

// recheckInterval is how often the certificate of an open connection is looked at again.
const recheckInterval = 2 * time.Second

// codec passes on bytes that are encoded already.
type codec struct{}

func (codec) Name() string { return "flatbuffers" }

func (codec) Marshal(v any) ([]byte, error) {
	b, ok := v.(*[]byte)
	if !ok {
		return nil, fmt.Errorf("message of type %T", v)
	}
	return *b, nil
}

func (codec) Unmarshal(data []byte, v any) error {
	b, ok := v.(*[]byte)
	if !ok {
		return fmt.Errorf("message of type %T", v)
	}
	*b = append([]byte(nil), data...)
	return nil
}

const streamMethod = "/dapplestage.Gateway/Talk"

var streamDesc = grpc.StreamDesc{StreamName: "Talk", ServerStreams: true, ClientStreams: true}

// ackMessage confirms a message.
var ackMessage = []byte{1}

// Serve takes messages of other members on ln until ctx ends. take is called with
// the sender's name; an error of it ends the stream.
func Serve(ctx context.Context, ln net.Listener, ring *keys.Keyring, known func(string) bool, log *slog.Logger, take func(from string, data []byte) error) error {
	handler := func(_ any, s grpc.ServerStream) error {
		from, cert, err := peerIdentity(s.Context())
		if err != nil {
			return err
		}
		log.Info("member connected", "member", from)
		checked := time.Now()
		for {
			var data []byte
			if err := s.RecvMsg(&data); err != nil {
				return nil
			}
			if now := time.Now(); now.Sub(checked) > recheckInterval {
				checked = now
				if err := ring.Check(cert, from); err != nil {
					log.Warn("member refused", "member", from, "why", err)
					return status.Error(codes.Unauthenticated, err.Error())
				}
			}
			if err := take(from, data); err != nil {
				log.Warn("message refused", "member", from, "why", err)
				return status.Error(codes.InvalidArgument, err.Error())
			}
			if err := s.SendMsg(&ackMessage); err != nil {
				return nil
			}
		}
	}
	desc := streamDesc
	desc.Handler = handler
	srv := grpc.NewServer(grpc.Creds(credentials.NewTLS(ring.ServerConfig(known, func(err error) { log.Warn("member refused", "why", err) }))),
		grpc.ForceServerCodec(codec{}), grpc.MaxRecvMsgSize(maxMessage), grpc.ConnectionTimeout(10*time.Second), grpc.MaxConcurrentStreams(4))
	srv.RegisterService(&grpc.ServiceDesc{ServiceName: "dapplestage.Gateway", HandlerType: (*any)(nil), Streams: []grpc.StreamDesc{desc}}, struct{}{})
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	if err := srv.Serve(ln); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// peerIdentity is the member at the other end.
func peerIdentity(ctx context.Context) (string, *x509.Certificate, error) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return "", nil, status.Error(codes.Unauthenticated, "no peer")
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return "", nil, status.Error(codes.Unauthenticated, "no certificate")
	}
	c := info.State.PeerCertificates[0]
	return keys.MemberName(c), c, nil
}

// Peer sends messages to one member.
type Peer struct {
	name    string
	out     chan []byte
	dropped atomic.Int64
}

// NewPeer makes the sending side of a connection; Run serves it.
func NewPeer(name string) *Peer { return &Peer{name: name, out: make(chan []byte, 1024)} }

// Send queues a message. What can't be sent soon is dropped: it would only be late.
func (p *Peer) Send(data []byte) {
	select {
	case p.out <- data:
	default:
		p.dropped.Add(1)
	}
}

// Dropped counts the messages that were not sent.
func (p *Peer) Dropped() int64 { return p.dropped.Load() }

var errNoAck = errors.New("nothing is confirmed")

// Run keeps a stream to addr until ctx ends.
func (p *Peer) Run(ctx context.Context, addr string, ring *keys.Keyring, log *slog.Logger) error {
	var told string
	refuse := func(err error) {
		if told != err.Error() {
			told = err.Error()
			log.Warn("member refused", "member", p.name, "why", err)
		}
	}
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(credentials.NewTLS(ring.ClientConfig(p.name, refuse))),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{}), grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 2 * time.Second}),
		grpc.WithNoProxy())
	if err != nil {
		return err
	}
	defer conn.Close()
	up := false
	for ctx.Err() == nil {
		err := p.stream(ctx, conn, func() {
			if !up {
				up = true
				log.Info("connected to member", "member", p.name)
			}
		})
		if up && ctx.Err() == nil {
			log.Info("connection to member lost", "member", p.name, "why", err)
		}
		up = false
		if conn.GetState() == connectivity.TransientFailure {
			conn.ResetConnectBackoff()
		}
		p.dropQueued()
		select {
		case <-ctx.Done():
		case <-time.After(250 * time.Millisecond):
		}
	}
	return nil
}

// dropQueued forgets what waits: it was meant for a connection that is gone.
func (p *Peer) dropQueued() {
	for {
		select {
		case <-p.out:
			p.dropped.Add(1)
		default:
			return
		}
	}
}

// stream sends until something fails. A connection on which nothing is confirmed
// is given up: what is written to one that the network has cut is lost, or comes
// minutes late.
func (p *Peer) stream(ctx context.Context, conn *grpc.ClientConn, ready func()) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var asked, got atomic.Int64 // when something unconfirmed was first sent, confirmations
	quiet := time.NewTicker(AckTimeout / 8)
	defer quiet.Stop()
	begun := time.Now()
	asked.Store(int64(time.Since(begun)) + 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-quiet.C:
				if at := asked.Load(); at != 0 && time.Since(begun)-time.Duration(at) > AckTimeout {
					cancel(errNoAck)
					return
				}
			}
		}
	}()
	s, err := conn.NewStream(ctx, &streamDesc, streamMethod)
	if err != nil {
		return err
	}
	go func() {
		for {
			var data []byte
			if err := s.RecvMsg(&data); err != nil {
				cancel(err)
				return
			}
			if got.Add(1) == 1 {
				ready()
			}
			asked.Store(0)
		}
	}()
	// An empty message opens the stream and shows that the other side takes it.
	data := []byte{}
	for {
		if err := s.SendMsg(&data); err != nil {
			return context.Cause(ctx)
		}
		asked.CompareAndSwap(0, int64(time.Since(begun))+1)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case data = <-p.out:
		}
	}
}
