package dfppeer

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/coder/websocket"
)

// The headers of the handshake, in the request and in its response.
const (
	headerNode        = "X-Dragonflyport-Node"
	headerIncarnation = "X-Dragonflyport-Incarnation"
	headerNonce       = "X-Dragonflyport-Nonce"
	headerProof       = "X-Dragonflyport-Proof"
)

const nonceSize = 16 // bytes

var errHello = errors.New("bad handshake")

// hello is what one side says of itself in the handshake.
type hello struct {
	node        string
	incarnation uint64
	nonce       string
}

func (m *Mesh) hello() hello {
	var nonce [nonceSize]byte
	_, _ = rand.Read(nonce[:]) // It never fails.
	return hello{node: m.cfg.Self, incarnation: m.cfg.Incarnation, nonce: hex.EncodeToString(nonce[:])}
}

func (h hello) write(header http.Header) {
	header.Set(headerNode, h.node)
	header.Set(headerIncarnation, strconv.FormatUint(h.incarnation, 16))
	header.Set(headerNonce, h.nonce)
}

func readHello(header http.Header) (hello, error) {
	h := hello{node: header.Get(headerNode), nonce: header.Get(headerNonce)}
	var err error
	h.incarnation, err = strconv.ParseUint(header.Get(headerIncarnation), 16, 64)
	if err != nil || h.node == "" || len(h.nonce) != 2*nonceSize {
		return hello{}, errHello
	}
	return h, nil
}

// prove returns the proof of one side that it knows the secret. It covers both
// sides' names and nonces, so that it serves for no other handshake.
func prove(secret []byte, side string, dialer, acceptor hello) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, s := range []string{
		side,
		dialer.node, strconv.FormatUint(dialer.incarnation, 16), dialer.nonce,
		acceptor.node, strconv.FormatUint(acceptor.incarnation, 16), acceptor.nonce,
	} {
		fmt.Fprintf(mac, "%d:%s", len(s), s)
	}
	return mac.Sum(nil)
}

// Handler returns the handler of the upgrade, to be mounted at Path.
func (m *Mesh) Handler() http.Handler {
	return http.HandlerFunc(m.accept)
}

func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	theirs, err := readHello(r.Header)
	if err != nil {
		m.stats.badHandshakes.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !m.knowsSecret() {
		http.Error(w, "not taking links yet", http.StatusServiceUnavailable)
		return
	}
	if m.closed.Load() || m.handshakes.Add(1) > maxHandshakes {
		m.handshakes.Add(-1)
		http.Error(w, "not taking links now", http.StatusServiceUnavailable)
		return
	}
	defer m.handshakes.Add(-1)
	ours := m.hello()
	ours.write(w.Header())
	w.Header().Set(headerProof, hex.EncodeToString(prove(*m.secret.Load(), "acceptor", theirs, ours)))
	ws, err := websocket.Accept(bufferingWriter{w}, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		m.stats.badHandshakes.Add(1)
		return
	}
	ws.SetReadLimit(maxMessage)
	if err := m.checkAuth(ws, prove(*m.secret.Load(), "dialer", theirs, ours)); err != nil {
		m.stats.badHandshakes.Add(1)
		m.cfg.Log.WithField("node", theirs.node).WithError(err).Warn("link refused")
		_ = ws.CloseNow()
		return
	}
	m.adopt(m.peer(theirs.node), ws, theirs.incarnation, false)
}

// checkAuth reads the dialer's first frame and checks its proof.
func (m *Mesh) checkAuth(ws *websocket.Conn, want []byte) error {
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.DialTimeout)
	defer cancel()
	_, data, err := ws.Read(ctx)
	if err != nil {
		return err
	}
	f, rest, err := decode(data)
	if err != nil {
		return err
	}
	if f.Kind != kindAuth || len(rest) > 0 || !hmac.Equal(f.Proof, want) {
		return ErrSecretMismatch
	}
	return nil
}

// connect dials another node and proves the secret to it.
func (m *Mesh) connect(ctx context.Context, to string) (*websocket.Conn, uint64, error) {
	if !m.knowsSecret() {
		return nil, 0, fmt.Errorf("%w: the secret is not known yet", ErrUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout)
	defer cancel()
	ours := m.hello()
	header := make(http.Header)
	ours.write(header)
	ws, resp, err := websocket.Dial(ctx, "ws://"+to+Path, &websocket.DialOptions{
		HTTPClient:      m.client,
		HTTPHeader:      header,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, 0, err
	}
	ws.SetReadLimit(maxMessage)
	theirs, err := m.checkAcceptor(to, ours, resp.Header)
	if err == nil {
		err = sendAuth(ctx, ws, prove(*m.secret.Load(), "dialer", ours, theirs))
	}
	if err != nil {
		_ = ws.CloseNow()
		return nil, 0, err
	}
	return ws, theirs.incarnation, nil
}

func (m *Mesh) checkAcceptor(to string, ours hello, header http.Header) (hello, error) {
	theirs, err := readHello(header)
	if err != nil {
		return hello{}, err
	}
	proof, err := hex.DecodeString(header.Get(headerProof))
	if err != nil || !hmac.Equal(proof, prove(*m.secret.Load(), "acceptor", ours, theirs)) {
		return hello{}, ErrSecretMismatch
	}
	if theirs.node != to {
		return hello{}, fmt.Errorf("%w: want %s, got %s", ErrWrongNode, to, theirs.node)
	}
	return theirs, nil
}

func sendAuth(ctx context.Context, ws *websocket.Conn, proof []byte) error {
	buf, err := encode(&frame{Kind: kindAuth, Proof: proof})
	if err != nil {
		return err
	}
	defer release(buf)
	return ws.Write(ctx, websocket.MessageBinary, buf.Bytes())
}

// bufferingWriter bounds the socket's write buffer when the connection is hijacked.
type bufferingWriter struct{ http.ResponseWriter }

// Hijack implements http.Hijacker.
func (w bufferingWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	c, rw, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err == nil {
		boundSocket(c)
	}
	return c, rw, err
}

func boundSocket(c net.Conn) {
	if s, ok := c.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = s.SetWriteBuffer(socketBuffer)
	}
}
