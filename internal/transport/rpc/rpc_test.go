package rpc

import (
	"context"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/transport/keys"
)

// logBuffer collects log output.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// contains reports whether the log has a text.
func (l *logBuffer) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), s)
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// memberPair is a listening member, quito, and a sending one, usually gate. The test sets the
// clock.
type memberPair struct {
	dir                  string
	now                  atomic.Int64
	received             chan string
	server, client       *keys.Keyring
	serverLog, clientLog *logBuffer
	peer                 *Peer
	addr                 string
}

func (p *memberPair) clock() time.Time { return time.Unix(p.now.Load(), 0) }

// newPair makes the keys of the members.
func newPair(t *testing.T) *memberPair {
	p := &memberPair{dir: t.TempDir(), received: make(chan string, 100), serverLog: &logBuffer{}, clientLog: &logBuffer{}}
	p.now.Store(time.Now().Unix())
	if err := keys.MakeAuthority(p.dir, p.clock(), 1000); err != nil {
		t.Fatal(err)
	}
	for _, m := range []string{"gate", "quito", "xela", "stranger"} {
		if err := keys.Issue(p.dir, m, p.clock(), 10); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

// run lets quito listen with its own keys, and sender send to the member to with the given
// files.
func (p *memberPair) run(t *testing.T, sender string, files keys.Files, to string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	var err error
	if p.server, err = keys.Open(keys.FilesIn(p.dir, "quito"), "quito", p.clock); err != nil {
		t.Fatal(err)
	}
	if p.client, err = keys.Open(files, sender, p.clock); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = ln.Addr().String()
	p.peer = NewPeer(to)
	isMember := func(name string) bool { return name == "gate" || name == "xela" }
	wg.Add(2)
	go func() {
		defer wg.Done()
		Serve(ctx, ln, p.server, isMember, slog.New(slog.NewTextHandler(p.serverLog, nil)), func(from string, data []byte) error {
			if len(data) > 0 {
				select {
				case p.received <- from + ":" + string(data):
				default:
				}
			}
			return nil
		})
	}()
	go func() {
		defer wg.Done()
		p.peer.Run(ctx, p.addr, p.client, slog.New(slog.NewTextHandler(p.clientLog, nil)))
	}()
}

// sendUntilReceived sends messages until one is received and returns it with its sender.
func (p *memberPair) sendUntilReceived(t *testing.T) string {
	t.Helper()
	var v string
	eventually(t, "a message is received", func() bool {
		p.peer.Send([]byte("x"))
		select {
		case v = <-p.received:
			return true
		default:
			return false
		}
	})
	return v
}

// Messages arrive with the name in the sender's certificate.
func TestMessagesCarrySenderName(t *testing.T) {
	p := newPair(t)
	p.run(t, "gate", keys.FilesIn(p.dir, "gate"), "quito")
	if v := p.sendUntilReceived(t); v != "gate:x" {
		t.Errorf("got %q", v)
	}
}

// TestWrongCertificatesAreRefused checks that each refusal is logged in one line with its reason
// and is counted, on the side that refuses.
func TestWrongCertificatesAreRefused(t *testing.T) {
	other := t.TempDir()
	if err := keys.MakeAuthority(other, time.Now(), 1000); err != nil {
		t.Fatal(err)
	}
	if err := keys.Issue(other, "gate", time.Now(), 10); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, sender, to string
		files            func(p *memberPair) keys.Files
		server           string // what the listening side logs
		client           string // what the sending side logs; either may come first
	}{
		{"not a member", "stranger", "quito", func(p *memberPair) keys.Files { return keys.FilesIn(p.dir, "stranger") }, `certificate of \"stranger\", who is no member`, ""},
		{"another authority", "gate", "quito", func(p *memberPair) keys.Files { return keys.FilesIn(other, "gate") }, "is not from our authority", "is not from our authority"},
		{"the sender expects xela and reaches quito", "gate", "xela", func(p *memberPair) keys.Files { return keys.FilesIn(p.dir, "gate") }, "", `certificate is made out to \"quito\", not to \"xela\"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPair(t)
			p.run(t, c.sender, c.files(p), c.to)
			eventually(t, "refused", func() bool {
				p.peer.Send([]byte("x"))
				return (c.server == "" || p.serverLog.contains(c.server) || c.client != "" && p.clientLog.contains(c.client)) && (c.server != "" || p.clientLog.contains(c.client))
			})
			if len(p.received) > 0 {
				t.Error("a message was received")
			}
			if p.server.Refused()+p.client.Refused() == 0 {
				t.Error("the refusal was not counted")
			}
		})
	}
}

// TestCertificateExpiresOrIsRevokedWhileConnected checks that a connection ends when its
// certificate expires or is revoked, and that a renewed certificate takes effect without a
// restart of either side.
func TestCertificateExpiresOrIsRevokedWhileConnected(t *testing.T) {
	for _, c := range []struct {
		name, says string
		invalidate func(p *memberPair)
	}{
		{"expires", "has expired", func(p *memberPair) { p.now.Add(11 * 24 * 3600) }},
		{"is revoked", "is revoked", func(p *memberPair) { keys.Revoke(p.dir, "gate", p.clock()) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPair(t)
			p.run(t, "gate", keys.FilesIn(p.dir, "gate"), "quito")
			p.sendUntilReceived(t)
			c.invalidate(p)
			eventually(t, "refused", func() bool { p.peer.Send([]byte("y")); return p.serverLog.contains(c.says) })
			for _, m := range []string{"gate", "quito"} {
				if err := keys.Issue(p.dir, m, p.clock(), 10); err != nil {
					t.Fatal(err)
				}
			}
			eventually(t, "a message is received after renewal", func() bool {
				p.peer.Send([]byte("renewed"))
				select {
				case v := <-p.received:
					return v == "gate:renewed"
				default:
					return false
				}
			})
		})
	}
}

// TestDeadConnectionIsReplaced checks that a connection on which nothing arrives is replaced,
// though no operation on it fails.
func TestDeadConnectionIsReplaced(t *testing.T) {
	p := newPair(t)
	p.run(t, "gate", keys.FilesIn(p.dir, "gate"), "quito")
	p.sendUntilReceived(t)
	// A listener that accepts connections, reads them and sends nothing.
	blackhole, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer blackhole.Close()
	var conns atomic.Int64
	go func() {
		for {
			c, err := blackhole.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go io.Copy(io.Discard, c)
		}
	}()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	peer := NewPeer("quito")
	go peer.Run(ctx, blackhole.Addr().String(), p.client, slog.New(slog.DiscardHandler))
	peer.Send([]byte("x"))
	eventually(t, "a second connection", func() bool { return conns.Load() >= 2 })
}

// TestKeyErrorsNameFieldAndLimit checks the errors for wrong names, missing and existing
// authorities and other members' certificates, and the validity of issued certificates.
func TestKeyErrorsNameFieldAndLimit(t *testing.T) {
	dir := t.TempDir()
	now := time.Now()
	if err := keys.Issue(dir, "gate", now, 10); err == nil {
		t.Error("a certificate was issued without an authority")
	}
	if err := keys.MakeAuthority(dir, now, 10); err != nil {
		t.Fatal(err)
	}
	if err := keys.MakeAuthority(dir, now, 10); err == nil || !strings.Contains(err.Error(), "has an authority already") {
		t.Errorf("a second authority: %v", err)
	}
	if err := keys.Issue(dir, "../gate", now, 10); err == nil || !strings.Contains(err.Error(), `member name "../gate": 1 to 40 of`) {
		t.Errorf("a name that is a path: %v", err)
	}
	if err := keys.Issue(dir, "gate", now, 10000); err != nil {
		t.Fatal(err)
	}
	if c, err := keys.ReadCert(filepath.Join(dir, "gate.pem")); err != nil || c.NotAfter.After(now.Add(11*24*time.Hour)) {
		t.Errorf("certificate outlives its authority: %v %v", c.NotAfter, err)
	}
	if _, err := keys.Open(keys.FilesIn(dir, "gate"), "quito", time.Now); err == nil || !strings.Contains(err.Error(), `made out to "gate", not to "quito"`) {
		t.Errorf("another member's own certificate: %v", err)
	}
	if err := keys.Revoke(dir, "gate", now); err != nil {
		t.Fatal(err)
	}
	lines, err := keys.Describe(dir, now)
	if err != nil || len(lines) != 2 || !strings.Contains(lines[1], "REVOKED") {
		t.Errorf("shown: %q %v", lines, err)
	}
}
