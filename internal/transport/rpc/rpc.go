// Package rpc carries messages between the members of a gateway, on gRPC streams over mutual
// TLS. Callers encode the messages (FlatBuffers). A message may be lost or arrive late. The
// only guarantee is that it comes from the member named as its sender.
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

// maxMessage limits the size of a message.
const maxMessage = 8 << 20

// AckTimeout is how long a sent message may stay unacknowledged before its connection is
// replaced.
const AckTimeout = 4 * time.Second

// recheckInterval is how often the certificate of an open connection is checked again, since
// it may expire or be revoked.
const recheckInterval = 2 * time.Second

// codec is a gRPC codec for messages that are encoded already.
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

// streamMethod and streamDesc name the only method of the service.
const streamMethod = "/dapplestage.Gateway/Talk"

var streamDesc = grpc.StreamDesc{StreamName: "Talk", ServerStreams: true, ClientStreams: true}

// ackMessage acknowledges a message.
var ackMessage = []byte{1}

// Serve receives messages of other members on ln until ctx ends. Certificates of names for
// which isMember is false are refused. handle is called with the sender's name and the message;
// if it returns an error the stream ends.
func Serve(ctx context.Context, ln net.Listener, keyring *keys.Keyring, isMember func(string) bool, log *slog.Logger, handle func(from string, data []byte) error) error {
	handler := func(_ any, stream grpc.ServerStream) error {
		from, cert, err := peerIdentity(stream.Context())
		if err != nil {
			return err
		}
		log.Info("member connected", "member", from)
		lastCheck := time.Now()
		for {
			var data []byte
			if err := stream.RecvMsg(&data); err != nil {
				return nil
			}
			if now := time.Now(); now.Sub(lastCheck) > recheckInterval {
				lastCheck = now
				if err := keyring.Check(cert, from); err != nil {
					log.Warn("member refused", "member", from, "why", err)
					return status.Error(codes.Unauthenticated, err.Error())
				}
			}
			if err := handle(from, data); err != nil {
				log.Warn("message refused", "member", from, "why", err)
				return status.Error(codes.InvalidArgument, err.Error())
			}
			if err := stream.SendMsg(&ackMessage); err != nil {
				return nil
			}
		}
	}
	desc := streamDesc
	desc.Handler = handler
	srv := grpc.NewServer(grpc.Creds(credentials.NewTLS(keyring.ServerConfig(isMember, func(err error) { log.Warn("member refused", "why", err) }))),
		grpc.ForceServerCodec(codec{}), grpc.MaxRecvMsgSize(maxMessage), grpc.ConnectionTimeout(10*time.Second), grpc.MaxConcurrentStreams(4))
	srv.RegisterService(&grpc.ServiceDesc{ServiceName: "dapplestage.Gateway", HandlerType: (*any)(nil), Streams: []grpc.StreamDesc{desc}}, struct{}{})
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	if err := srv.Serve(ln); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// peerIdentity returns the name and the certificate of the member at the other end.
func peerIdentity(ctx context.Context) (string, *x509.Certificate, error) {
	remote, ok := peer.FromContext(ctx)
	if !ok {
		return "", nil, status.Error(codes.Unauthenticated, "no peer")
	}
	info, ok := remote.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return "", nil, status.Error(codes.Unauthenticated, "no certificate")
	}
	cert := info.State.PeerCertificates[0]
	return keys.MemberName(cert), cert, nil
}

// Peer sends messages to one member.
type Peer struct {
	name    string
	out     chan []byte
	dropped atomic.Int64
}

// NewPeer makes the sending side of a connection. Messages are sent while Run runs.
func NewPeer(name string) *Peer { return &Peer{name: name, out: make(chan []byte, 1024)} }

// Send queues a message. If the queue is full the message is dropped, since it would arrive
// late.
func (p *Peer) Send(data []byte) {
	select {
	case p.out <- data:
	default:
		p.dropped.Add(1)
	}
}

// Dropped returns how many messages were dropped instead of sent.
func (p *Peer) Dropped() int64 { return p.dropped.Load() }

// errNoAck ends a stream on which messages are not acknowledged.
var errNoAck = errors.New("messages are not acknowledged")

// Run keeps a stream to the member at addr until ctx ends, and sends the queued messages on it.
func (p *Peer) Run(ctx context.Context, addr string, keyring *keys.Keyring, log *slog.Logger) error {
	var lastError string // the last refusal that was logged; the same one is not logged again
	onRefusal := func(err error) {
		if lastError != err.Error() {
			lastError = err.Error()
			log.Warn("member refused", "member", p.name, "why", err)
		}
	}
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(credentials.NewTLS(keyring.ClientConfig(p.name, onRefusal))),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{}), grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 2 * time.Second}),
		grpc.WithNoProxy())
	if err != nil {
		return err
	}
	defer conn.Close()
	connected := false
	for ctx.Err() == nil {
		err := p.stream(ctx, conn, func() {
			if !connected {
				connected = true
				log.Info("connected to member", "member", p.name)
			}
		})
		if connected && ctx.Err() == nil {
			log.Info("connection to member lost", "member", p.name, "why", err)
		}
		connected = false
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

// dropQueued drops the messages that were queued for a stream that has ended.
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

// stream opens a stream and sends queued messages on it until it fails. It gives the stream up
// if messages stay unacknowledged for AckTimeout: after a network partition, what is written
// to the old connection is lost or arrives minutes late. onConnected is called with the first
// acknowledgement.
func (p *Peer) stream(ctx context.Context, conn *grpc.ClientConn, onConnected func()) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// unackedSince is when the first message after the last acknowledgement was sent, as
	// nanoseconds since startTime plus one, or 0 if there is none. Opening the stream counts
	// as a message.
	var unackedSince, acks atomic.Int64
	ticker := time.NewTicker(AckTimeout / 8)
	defer ticker.Stop()
	startTime := time.Now()
	unackedSince.Store(int64(time.Since(startTime)) + 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if since := unackedSince.Load(); since != 0 && time.Since(startTime)-time.Duration(since) > AckTimeout {
					cancel(errNoAck)
					return
				}
			}
		}
	}()
	clientStream, err := conn.NewStream(ctx, &streamDesc, streamMethod)
	if err != nil {
		return err
	}
	go func() {
		for {
			var data []byte
			if err := clientStream.RecvMsg(&data); err != nil {
				cancel(err)
				return
			}
			if acks.Add(1) == 1 {
				onConnected()
			}
			unackedSince.Store(0)
		}
	}()
	// An empty message opens the stream; its acknowledgement shows that the other side
	// accepts it.
	data := []byte{}
	for {
		if err := clientStream.SendMsg(&data); err != nil {
			return context.Cause(ctx)
		}
		unackedSince.CompareAndSwap(0, int64(time.Since(startTime))+1)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case data = <-p.out:
		}
	}
}
